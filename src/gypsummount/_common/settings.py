"""Settings shared by the programs, and checks with clear errors."""

from asyncio import get_running_loop
from asyncio import run
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import suppress
from signal import SIGINT
from signal import SIGTERM
import sys
from typing import Annotated

from tornado.netutil import bind_sockets
from typer import echo
from typer import Exit
from typer import Option

from gypsummount._config.fields import FieldError
from gypsummount._config.fields import read_address
from gypsummount._config.fields import read_name
from gypsummount.errors import GypsummountError
from gypsummount.errors import SettingError

USAGE_EXIT = 2
LEVELS = ("debug", "info", "warning", "error")

InstanceName = Annotated[
    str,
    Option(envvar="GYPSUMMOUNT_INSTANCE", help="Name of this instance."),
]
DomainName = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_DOMAIN", help="Failure domain of this instance."
    ),
]
RegionName = Annotated[
    str,
    Option(envvar="GYPSUMMOUNT_REGION", help="Region of this instance."),
]
Pepper = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_PEPPER",
        help="Secret for hashing keys, shared by all instances "
        "(16 characters or more); best given by the environment.",
    ),
]
LogLevel = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_LOG_LEVEL",
        help="Least level that is logged: debug, info, warning, error.",
    ),
]
Statsd = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_STATSD",
        help="Address (IP:port) of statsd; empty sends nothing.",
    ),
]


def check_address(flag: str, text: str) -> str:
    """Return an IP:port address.

    :raises SettingError: naming the flag.
    """
    try:
        return read_address(text)
    except FieldError as error:
        raise SettingError(f"{flag}: {error}") from None


def check_addresses(flag: str, text: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(check_address(flag, part) for part in parts if part)


def check_name(flag: str, text: str) -> str:
    """Return a name of a-z, 0-9, '.', '_' and '-'."""
    try:
        return read_name(text)
    except FieldError as error:
        raise SettingError(f"{flag}: {error}") from None


def check_level(text: str) -> str:
    """Return a known log level."""
    if text not in LEVELS:
        raise SettingError(
            f"--log-level: '{text}' is unknown; use {', '.join(LEVELS)}"
        )
    return text


def check_positive(flag: str, value: float, unit: str) -> float:
    """Return a number above zero."""
    if value <= 0:
        raise SettingError(f"{flag}: {value:g} is too small; give {unit} > 0")
    return value


def read_secret(flag: str, text: str) -> bytes:
    """Return a secret of at least 16 bytes, as in an environment."""
    if len(text) < 16:
        raise SettingError(
            f"{flag}: the secret is shorter than 16 characters; "
            "set one that all instances share"
        )
    return text.encode()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bind_address(flag: str, address: str) -> list:
    """Return bound listening sockets for an address.

    :raises SettingError: when the port is taken or not local.
    """
    host, port = split_address(address)
    try:
        return bind_sockets(port, host)
    except OSError as error:
        raise SettingError(
            f"{flag}: cannot listen on {address} ({error.strerror}); "
            "stop the other process or choose another port"
        ) from None


def run_program(main: Callable[[], Coroutine[object, object, None]]) -> None:
    """Run a program; a known error is one line and exit code 2."""
    try:
        with suppress(KeyboardInterrupt):
            run(main())
    except GypsummountError as error:
        echo(f"error: {error}", err=True)
        raise Exit(USAGE_EXIT) from None
    sys.stdout.flush()


def on_stop(callback: Callable[[], None]) -> None:
    """Call back when the process is asked to end."""
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, callback)
