"""Structured logs: one JSON object a line, with a prefix for each part."""

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
    """Removes anything that looks like a key from log records."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the message; every record passes."""
        record.msg = redact_keys(record.getMessage())
        record.args = None
        return True


@final
class PartLogger(logging.LoggerAdapter):
    """Puts the prefix of a part before each message."""

    def process(self, msg: object, kwargs: dict) -> tuple[str, dict]:
        """Return the message with its prefix."""
        return f"{self.extra['part']}: {msg}", kwargs


def redact_keys(text: str) -> str:
    """Return a text with every key replaced."""
    return re.sub(KEY_PATTERN, _REDACTED, text)


def get_logger(part: str) -> PartLogger:
    """Return the logger of a part, such as ``steering``."""
    return PartLogger(logging.getLogger(f"gypsummount.{part}"), {"part": part})


def configure_logs(
    level: str, program: str, *, stream: TextIO | LossyStream | None = None
) -> None:
    """Write logs of this process as JSON lines, to standard error."""
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
