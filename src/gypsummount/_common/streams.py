"""A text stream that drops lines instead of blocking on its reader."""

from json import dumps
import os
from typing import final


@final
class LossyStream:
    """Writes lines to a file descriptor without blocking.

    The part of a line that does not fit is buffered and written first
    on the next call.  Until then, further lines are dropped and counted
    in ``lost``.  The count is written before the next line as a line of
    its own.  Lines that cannot be written for another reason, such as a
    closed reader, are counted in the same way, because there is no other
    place to report them.
    """

    __slots__ = ("_descriptor", "_pending", "lost")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.lost = 0

    def write(self, text: str) -> int:
        """Write a text or drop it; return its length in either case."""
        if not self._write_pending():
            self.lost += 1
            return len(text)
        self._pending = self._build_loss_message() + text.encode()
        self.lost = 0
        self._write_pending()
        return len(text)

    def flush(self) -> None:
        """Try to write the buffered bytes."""
        self._write_pending()

    def _build_loss_message(self) -> bytes:
        if not self.lost:
            return b""
        message = f"logs: Dropped {self.lost} lines: the reader is slow."
        log_line = {"level": "WARNING", "message": message, "lost": self.lost}
        return dumps(log_line).encode() + b"\n"

    def _write_pending(self) -> bool:
        """Write the buffered bytes; return whether none remain."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except OSError:
                return False
            self._pending = self._pending[written:]
        return True
