"""Monotonic and wall clocks."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import time


def read_monotonic() -> float:
    """Return the time (s) of the boot clock, which is monotonic.

    Unlike ``time.monotonic``, it also advances while the system is
    suspended.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def read_wall() -> float:
    """Return the seconds since the Unix epoch."""
    return time()
