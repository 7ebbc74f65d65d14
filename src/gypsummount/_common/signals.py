"""Handlers for the signals that stop a process or reload its settings."""

from asyncio import get_running_loop
from collections.abc import Callable
from signal import SIGHUP
from signal import SIGINT
from signal import SIGTERM


def on_stop(callback: Callable[[], None]) -> None:
    """Register a callback for SIGTERM and SIGINT."""
    loop = get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, callback)


def on_reload(callback: Callable[[], None]) -> None:
    """Register a callback for SIGHUP, the request to reload settings."""
    get_running_loop().add_signal_handler(SIGHUP, callback)
