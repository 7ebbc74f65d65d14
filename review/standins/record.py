"""The record of a case: what was sent, answered and run, with times."""

from pathlib import Path
from time import monotonic


class Record:
    """Writes lines with the time since the start (s) to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = monotonic()

    def now(self) -> float:
        """Return the time since the start (s)."""
        return monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
