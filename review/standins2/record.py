"""The record of a case: what was sent, answered and run."""

from pathlib import Path
from time import time


class Record:
    """Writes lines with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open(
            "w", encoding="utf-8", errors="backslashreplace"
        )
        self._started_at = time()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time() - self._started_at:8.3f} s  {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line and print it as well."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
