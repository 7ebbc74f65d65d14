"""A text stream that loses lines rather than wait for its reader."""

from json import dumps
import os
from typing import final


@final
class LossyStream:
    """Writes lines to a descriptor without ever blocking.

    A line that does not fit is kept and sent first the next time; until
    it has left, further lines are counted as lost.  The count goes out
    as a line of its own.  What can't be written for another reason, such
    as a reader that has gone, is counted in the same way, since there is
    no other place to report it.
    """

    __slots__ = ("_descriptor", "_pending", "lost")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.lost = 0

    def write(self, text: str) -> int:
        """Write a text or lose it; return its length in any case."""
        if not self._drain():
            self.lost += 1
            return len(text)
        self._pending = self._build_notice() + text.encode()
        self.lost = 0
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Try to write what is kept."""
        self._drain()

    def _build_notice(self) -> bytes:
        if not self.lost:
            return b""
        message = f"logs: {self.lost} lines were lost to a slow reader."
        notice = {"level": "WARNING", "message": message, "lost": self.lost}
        return dumps(notice).encode() + b"\n"

    def _drain(self) -> bool:
        """Write what is kept; False if some of it has to wait."""
        while self._pending:
            try:
                count = os.write(self._descriptor, self._pending)
            except OSError:
                return False
            self._pending = self._pending[count:]
        return True
