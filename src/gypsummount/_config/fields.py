"""Typed values of rule fields, with the bounds they must keep."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import ipaddress
import re

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_PORT = 65535
BITS_PER_GBIT = 1e9
BITS_PER_BYTE = 8


class FieldError(ValueError):
    """A field value is not acceptable; the text names the remedy."""


@dataclass(slots=True, frozen=True)
class Field:
    """How one named field of a rule is read."""

    convert: Callable[[str], object]
    default: str | None = None


@dataclass(slots=True, frozen=True)
class RuleForm:
    """The positional names and the fields that a kind of rule takes."""

    positional: tuple[str, ...]
    fields: dict[str, Field] = field(default_factory=dict)


def read_name(text: str) -> str:
    """Return a lower-case name of at most 63 characters."""
    if not _NAME.fullmatch(text):
        raise FieldError(
            f"'{text}' is no name; use a-z, 0-9, '.', '_' and '-'"
        )
    return text


def read_prefix(text: str) -> str:
    """Return a path prefix; '/v1' belongs to the system itself."""
    if not text.startswith("/"):
        raise FieldError(f"'{text}' is no path; begin it with '/'")
    if text == "/v1" or text.startswith("/v1/"):
        raise FieldError("'/v1' is the system's own; use another path")
    return text


def read_methods(text: str) -> tuple[str, ...]:
    """Return the HTTP methods of a comma-separated list."""
    methods = tuple(part.upper() for part in text.split(","))
    for method in methods:
        if method not in _METHODS:
            raise FieldError(
                f"'{method}' is no method; use {', '.join(_METHODS)}"
            )
    return methods


def read_flag(text: str) -> bool:
    """Return True for 'yes' and False for 'no'."""
    if text not in ("yes", "no"):
        raise FieldError(f"'{text}' is no flag; use yes or no")
    return text == "yes"


def read_choice(*choices: str) -> Callable[[str], object]:
    """Return a reader that accepts one of the given words."""

    def read(text: str) -> object:
        if text not in choices:
            raise FieldError(
                f"'{text}' is not known; use {' or '.join(choices)}"
            )
        return text

    return read


def read_number(
    *, low: float, high: float, unit: str
) -> Callable[[str], object]:
    """Return a reader of a number within bounds (inclusive)."""

    def read(text: str) -> object:
        try:
            value = float(text)
        except ValueError:
            raise FieldError(
                f"'{text}' is no number; give {unit} as in 10 or 2.5"
            ) from None
        if not low <= value <= high:
            raise FieldError(
                f"{text} is out of bounds; give {low:g} to {high:g} {unit}"
            )
        return value

    return read


def read_count(text: str) -> int:
    """Return a whole number from 1 to 100,000."""
    if not text.isdecimal() or not 1 <= int(text) <= 100_000:
        raise FieldError(
            f"'{text}' is no count; give a whole number from 1 to 100000"
        )
    return int(text)


def read_steps(text: str) -> tuple[float, ...]:
    """Return rising shares that end with 1."""
    try:
        steps = tuple(float(part) for part in text.split(","))
    except ValueError:
        raise FieldError(
            f"'{text}' is no list of shares; write as in 0.05,0.25,1"
        ) from None
    rising = all(a < b for a, b in zip(steps, steps[1:], strict=False))
    if not rising or steps[0] <= 0 or steps[-1] != 1:
        raise FieldError(
            f"'{text}' must rise from above 0 to 1, as in 0.05,0.25,1"
        )
    return steps


def read_servers(text: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated IP:port list."""
    servers = tuple(text.split(","))
    for server in servers:
        read_address(server)
    if len(set(servers)) != len(servers):
        raise FieldError("a server stands twice; name each once")
    return servers


def read_address(text: str) -> str:
    """Return an address made of an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise FieldError(
            f"'{text}' is no address; write an IP number and a port, "
            "as in 10.0.0.7:8080"
        ) from None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FieldError(f"'{text}' has no port from 1 to {MAX_PORT}")
    return text
