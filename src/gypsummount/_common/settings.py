"""Command-line settings that the programs share, and their checks."""

from asyncio import Runner
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import suppress
import sys
from typing import Annotated

from typer import echo
from typer import Exit
from typer import Option

from gypsummount._common.loop_timer import create_timed_loop
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._config.fields import FieldError
from gypsummount._config.fields import read_address
from gypsummount._config.fields import read_name
from gypsummount.errors import GypsummountError
from gypsummount.errors import SettingError

USAGE_EXIT = 2
LOG_LEVELS = ("debug", "info", "warning", "error")

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
        help="Lowest level that is logged: debug, info, warning, error.",
    ),
]
Statsd = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_STATSD",
        help="Address (IP:port) of the statsd server; empty disables it.",
    ),
]


def check_address(flag: str, text: str) -> str:
    """Return the text if it is an IP:port address.

    :raises SettingError: when it is not; the message names the flag.
    """
    try:
        return read_address(text)
    except FieldError as error:
        raise SettingError(f"{flag}: {error}") from None


def check_addresses(flag: str, text: str) -> tuple[str, ...]:
    """Return the IP:port addresses of a comma-separated list.

    Empty elements are skipped.

    :raises SettingError: when one is invalid.
    """
    addresses = [address.strip() for address in text.split(",")]
    return tuple(
        check_address(flag, address) for address in addresses if address
    )


def check_name(flag: str, text: str) -> str:
    """Return the text if it is a name of a-z, 0-9, '.', '_' and '-'.

    :raises SettingError: when it is not.
    """
    try:
        return read_name(text)
    except FieldError as error:
        raise SettingError(f"{flag}: {error}") from None


def check_level(text: str) -> str:
    """Return the text if it is one of :data:`LOG_LEVELS`.

    :raises SettingError: when it is not.
    """
    if text not in LOG_LEVELS:
        raise SettingError(
            f"--log-level: '{text}' is unknown; use {', '.join(LOG_LEVELS)}"
        )
    return text


def check_positive(flag: str, value: float, unit: str) -> float:
    """Return the value if it is above zero.

    ``unit`` is the unit to name in the error.

    :raises SettingError: when the value is zero or less.
    """
    if value <= 0:
        raise SettingError(f"{flag}: {value:g} is too small; give {unit} > 0")
    return value


def read_secret(flag: str, text: str) -> bytes:
    """Return a secret encoded as UTF-8.

    :raises SettingError: when it is shorter than 16 characters.
    """
    if len(text) < 16:
        raise SettingError(
            f"{flag}: the secret is shorter than 16 characters; "
            "set one that all instances share"
        )
    return text.encode()


def run_program(
    main: Callable[[], Coroutine[object, object, None]],
    loop_timer: LoopTimer | None = None,
) -> None:
    """Run a program in an event loop until it ends or is interrupted.

    A :class:`GypsummountError` is printed as one line and ends the
    program with exit code 2.  ``loop_timer`` times the event loop.
    """
    timer = loop_timer or LoopTimer()
    try:
        with (
            suppress(KeyboardInterrupt),
            Runner(loop_factory=lambda: create_timed_loop(timer)) as runner,
        ):
            runner.run(main())
    except GypsummountError as error:
        echo(f"error: {error}", err=True)
        raise Exit(USAGE_EXIT) from None
    sys.stdout.flush()
