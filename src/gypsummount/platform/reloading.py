"""Reading of the settings file again while the process serves."""

from asyncio import sleep
from pathlib import Path

from gypsummount._common.logs import get_logger
from gypsummount._edge.process import EdgeProcess
from gypsummount.errors import SettingError
from gypsummount.platform.settings import read_settings

POLL_S = 2.0

_log = get_logger("settings")


class Reloader:
    """Applies the settings file when it changes, signalled or not."""

    def __init__(self, path: Path, process: EdgeProcess) -> None:
        self._path = path
        self._process = process
        self._seen = self._read_stamp()

    def reload(self) -> None:
        """Read the file and apply it; a bad one changes nothing."""
        self._seen = self._read_stamp()
        try:
            settings = read_settings(self._path)
        except SettingError as error:
            _log.error("Settings stay as they were: %s", error)
            return
        self._process.apply(settings.edge)

    async def watch(self) -> None:
        """Look for changes of the file for ever."""
        while True:
            await sleep(POLL_S)
            if self._read_stamp() != self._seen:
                self.reload()

    def _read_stamp(self) -> int | None:
        """Return the time of the last change (ns), or None without."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return None
