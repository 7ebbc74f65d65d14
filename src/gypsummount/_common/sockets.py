"""Parsing of addresses and creation of listening sockets."""

from tornado.netutil import bind_sockets

from gypsummount.errors import SettingError


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``host:port`` or ``[IPv6]:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bind_address(flag: str, address: str) -> list:
    """Return bound listening sockets for an address.

    ``flag`` is the setting to name in the error.

    :raises SettingError: when the port is in use or the address is not
        local.
    """
    host, port = split_address(address)
    try:
        return bind_sockets(port, host)
    except OSError as error:
        raise SettingError(
            f"{flag}: cannot listen on {address} ({error.strerror}); "
            "stop the other process or choose another port"
        ) from None
