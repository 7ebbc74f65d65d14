"""Structured logs: one JSON object per line, prefixed by component."""

import logging
import re
import sys
from typing import final
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from gypsummount._common.streams import LossyStream
from gypsummount._core.keys import KEY_PATTERN

_REDACTED = "[key]"


@final
class KeyFilter(logging.Filter):
    """Redacts text that matches the format of a key in log records."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the message; return True, so no record is dropped."""
        record.msg = redact_keys(record.getMessage())
        record.args = None
        return True


@final
class PrefixLogger(logging.LoggerAdapter):
    """Prefixes each message with the name of a component."""

    def process(self, msg: object, kwargs: dict) -> tuple[str, dict]:
        """Return the message with its prefix."""
        return f"{self.extra['part']}: {msg}", kwargs


def redact_keys(text: str) -> str:
    """Return a text in which a placeholder replaces every key."""
    return re.sub(KEY_PATTERN, _REDACTED, text)


def get_logger(component: str) -> PrefixLogger:
    """Return the logger of a component, such as ``steering``."""
    return PrefixLogger(
        logging.getLogger(f"gypsummount.{component}"), {"part": component}
    )


def configure_logs(
    level: str, program: str, *, stream: TextIO | LossyStream | None = None
) -> None:
    """Configure the root logger to write JSON lines.

    ``level`` is the lowest level that is logged; ``program`` is added
    to each line.  Lines go to ``stream``, or to standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"program": program},
        )
    )
    handler.addFilter(KeyFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    # At the level of information, it has a line for each malformed message.
    logging.getLogger("tornado.general").setLevel(logging.WARNING)
