"""Environment variables with the limits of clients."""

from dataclasses import dataclass
from os import environ

from gypsummount._common.client_limits import ClientLimits
from gypsummount.errors import SettingError

PREFIX = "GYPSUMMOUNT_CLIENT_"


@dataclass(slots=True, frozen=True)
class _Range:
    """The smallest and the largest value of a limit."""

    low: float
    high: float


_RANGES = {
    "head_bytes": _Range(1024, 1_048_576),
    "fields": _Range(8, 10_000),
    "head_s": _Range(0.1, 600),
    "bytes_per_s": _Range(0, 1_000_000),
    "stall_s": _Range(0.1, 600),
    "free_chunks": _Range(1, 1_000_000),
    "chunk_bytes": _Range(1, 65_536),
    "pipelined": _Range(0, 100_000),
    "address_connections": _Range(0, 1_000_000),
}


def read_client_limits() -> ClientLimits:
    """Return the limits of clients from the environment, or the defaults.

    :raises SettingError: when a variable is no number or out of its range.
    """
    values = {}
    for name, allowed in _RANGES.items():
        variable = PREFIX + name.upper()
        text = environ.get(variable)
        if text:
            values[name] = _read_number(variable, text, allowed)
    return ClientLimits(**values)


def _read_number(variable: str, text: str, allowed: _Range) -> float:
    is_duration = variable.endswith("_S") and "BYTES" not in variable
    try:
        value = float(text) if is_duration else int(text)
    except ValueError:
        value = float("nan")
    if allowed.low <= value <= allowed.high:
        return value
    raise SettingError(
        f"{variable}: '{text}' is not valid; use a number from "
        f"{allowed.low:g} to {allowed.high:g}"
    )
