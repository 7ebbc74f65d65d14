"""Clocks of the running processes."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import time


def read_monotonic() -> float:
    """Return seconds that also pass while the machine sleeps."""
    return clock_gettime(CLOCK_BOOTTIME)


def read_wall() -> float:
    """Return seconds since the epoch."""
    return time()
