"""Addresses and listening sockets."""

from tornado.netutil import bind_sockets

from gypsummount.errors import SettingError


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
