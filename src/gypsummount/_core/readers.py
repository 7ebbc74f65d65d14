"""Which instances read the store, and who follows them.

In each region the first able instance reads; the others follow it, so
that calls to the store grow with regions and not with instances.
"""

from dataclasses import dataclass
from enum import Enum


class Contact(Enum):
    """How an instance stands with the store.

    An instance that follows another has no word of its own: ``IDLE``.
    """

    CONNECTED = "connected"
    IDLE = "idle"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class Candidate:
    """An instance that serves, as its region sees it."""

    name: str
    contact: Contact


def choose_reader(candidates: list[Candidate]) -> str | None:
    """Return the instance that reads for a region.

    None means that every candidate has lost the store.
    """
    able = [one for one in candidates if one.contact is not Contact.LOST]
    return min((one.name for one in able), default=None)
