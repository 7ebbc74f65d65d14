"""Converters from the text of rule fields to typed, bounded values."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import ipaddress
import re

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_PORT = 65535
BITS_PER_GBIT = 1e9
BITS_PER_BYTE = 8


class FieldError(ValueError):
    """A value is invalid; the message says which values are valid."""


@dataclass(slots=True, frozen=True)
class Field:
    """Converter and default of a named field of a rule.

    The default is text for the converter.  None makes the field
    required; an empty text makes it optional, with None as its value.
    """

    convert: Callable[[str], object]
    default: str | None = None


@dataclass(slots=True, frozen=True)
class RuleSchema:
    """Positional values and named fields that a kind of rule accepts."""

    positional: tuple[str, ...]
    fields: dict[str, Field] = field(default_factory=dict)


def read_name(text: str) -> str:
    """Check and return a lower-case name of at most 63 characters."""
    if not _NAME_PATTERN.fullmatch(text):
        raise FieldError(
            f"'{text}' is not a valid name; use a-z, 0-9, '.', '_' and '-'"
        )
    return text


def read_prefix(text: str) -> str:
    """Check and return a path prefix; '/v1' is reserved."""
    if not text.startswith("/"):
        raise FieldError(f"'{text}' is not a valid path; begin it with '/'")
    if text == "/v1" or text.startswith("/v1/"):
        raise FieldError(
            "'/v1' is reserved for the system's own API; use another path"
        )
    return text


def read_methods(text: str) -> tuple[str, ...]:
    """Return the upper-case HTTP methods of a comma-separated list."""
    methods = tuple(part.upper() for part in text.split(","))
    for method in methods:
        if method not in _METHODS:
            raise FieldError(
                f"'{method}' is not an HTTP method; use {', '.join(_METHODS)}"
            )
    return methods


def read_flag(text: str) -> bool:
    """Return True for 'yes' and False for 'no'."""
    if text not in ("yes", "no"):
        raise FieldError(f"'{text}' is not a flag; use yes or no")
    return text == "yes"


def read_choice(*choices: str) -> Callable[[str], object]:
    """Return a converter that accepts one of the given words."""

    def read(text: str) -> object:
        if text not in choices:
            raise FieldError(
                f"'{text}' is not a valid choice; use {' or '.join(choices)}"
            )
        return text

    return read


def read_number(
    *, low: float, high: float, unit: str
) -> Callable[[str], object]:
    """Return a converter for numbers from ``low`` to ``high``.

    Both bounds are valid; ``unit`` appears in error messages.
    """

    def read(text: str) -> object:
        try:
            value = float(text)
        except ValueError:
            raise FieldError(
                f"'{text}' is not a number; give {unit} as in 10 or 2.5"
            ) from None
        if not low <= value <= high:
            raise FieldError(
                f"{text} is out of bounds; give {low:g} to {high:g} {unit}"
            )
        return value

    return read


def read_count(text: str) -> int:
    """Return an integer from 1 to 100,000."""
    if not text.isdecimal() or not 1 <= int(text) <= 100_000:
        raise FieldError(
            f"'{text}' is not a valid count; give an integer from 1 to 100000"
        )
    return int(text)


def read_steps(text: str) -> tuple[float, ...]:
    """Return the share of the new version in each step, rising to 1."""
    try:
        steps = tuple(float(part) for part in text.split(","))
    except ValueError:
        raise FieldError(
            f"'{text}' is not a list of shares; write it as in 0.05,0.25,1"
        ) from None
    is_rising = all(a < b for a, b in zip(steps, steps[1:], strict=False))
    if not is_rising or steps[0] <= 0 or steps[-1] != 1:
        raise FieldError(
            f"'{text}' must rise from above 0 to 1, as in 0.05,0.25,1"
        )
    return steps


def read_servers(text: str) -> tuple[str, ...]:
    """Return the distinct addresses of a comma-separated list."""
    servers = tuple(text.split(","))
    for server in servers:
        read_address(server)
    if len(set(servers)) != len(servers):
        raise FieldError("a server is listed twice; list each once")
    return servers


def read_address(text: str) -> str:
    """Check and return an address, an IP number with a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise FieldError(
            f"'{text}' is not a valid address; write an IP number and a port, "
            "as in 10.0.0.7:8080"
        ) from None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FieldError(f"'{text}' has no port from 1 to {MAX_PORT}")
    return text
