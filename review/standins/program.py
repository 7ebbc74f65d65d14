"""The entry point that all cases share."""

from asyncio import CancelledError
from asyncio import run
from collections.abc import Awaitable
from collections.abc import Callable
import os
from pathlib import Path
import signal
import traceback

from standins.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[..., Awaitable[int]]


def run_case(play: Play, record_path: Path) -> int:
    """Run a case and return its exit code.

    ``play`` gets the record, which is written to ``record_path``, and whether
    to cause the trouble.  SIGTERM and SIGINT end the case as not run; the
    processes that it started end too.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(record_path)
    try:
        return run(play(record, trouble=os.environ.get("TROUBLE") != "0"))
    except (Exception, KeyboardInterrupt, CancelledError):
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()
