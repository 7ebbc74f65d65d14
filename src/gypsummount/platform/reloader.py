"""Reloading of the settings file while the process serves."""

from asyncio import sleep
from pathlib import Path

from gypsummount._common.logs import get_logger
from gypsummount._edge.process import EdgeProcess
from gypsummount.errors import SettingError
from gypsummount.platform.settings import read_settings

POLL_PERIOD_S = 2.0

_log = get_logger("settings")


class Reloader:
    """Applies the settings file on request and when the file changes."""

    def __init__(self, path: Path, process: EdgeProcess) -> None:
        self._path = path
        self._process = process
        self._modified_ns = self._read_modified_ns()

    def reload(self) -> None:
        """Read and apply the file; an invalid file has no effect."""
        self._modified_ns = self._read_modified_ns()
        try:
            settings = read_settings(self._path)
        except SettingError as error:
            _log.error("Invalid settings; keeping the current ones: %s", error)
            return
        self._process.apply_settings(settings.edge)

    async def watch(self) -> None:
        """Poll the file's modification time and reload on changes."""
        while True:
            await sleep(POLL_PERIOD_S)
            if self._read_modified_ns() != self._modified_ns:
                self.reload()

    def _read_modified_ns(self) -> int | None:
        """Return the modification time (ns), or None if not readable."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return None
