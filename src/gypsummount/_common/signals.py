"""Signals that end a process."""

from asyncio import get_running_loop
from collections.abc import Callable
from signal import SIGHUP
from signal import SIGINT
from signal import SIGTERM


def on_stop(callback: Callable[[], None]) -> None:
    """Call back when the process is asked to end."""
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, callback)


def on_reload(callback: Callable[[], None]) -> None:
    """Call back when the process is asked to read its settings again."""
    get_running_loop().add_signal_handler(SIGHUP, callback)
