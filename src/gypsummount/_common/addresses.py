"""Checks of IP addresses that other programs name."""

from functools import lru_cache
from ipaddress import ip_address

MAX_REMEMBERED = 8192


@lru_cache(maxsize=MAX_REMEMBERED)
def check_ip(text: str) -> str:
    """Return the text of an IP address; the same ones come again and again.

    :raises ValueError: when it is no IP address.
    """
    ip_address(text)
    return text
