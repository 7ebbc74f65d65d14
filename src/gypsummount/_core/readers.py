"""Choice of the instances that read the store.

In each region, the ablest instance that can reach the store reads it; of
equally able ones it is the first by name.  The others follow that reader,
so that the number of calls to the store grows with the regions and not
with the instances.
"""

from dataclasses import dataclass
from enum import Enum


class Contact(Enum):
    """State of an instance's contact with the store.

    An ``IDLE`` instance follows another one: it does not call the store,
    so it does not know whether it could reach it.
    """

    CONNECTED = "connected"
    IDLE = "idle"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class ReaderCandidate:
    """A serving instance and its last known contact with the store.

    ``capacity`` is its share of a processor (cores).
    """

    name: str
    contact: Contact
    capacity: float = 0.0


def choose_reader(candidates: list[ReaderCandidate]) -> str | None:
    """Return the name of the instance that reads for a region.

    None means that every candidate has lost the store.
    """
    reachable = [
        candidate
        for candidate in candidates
        if candidate.contact is not Contact.LOST
    ]
    first = min(
        reachable,
        key=lambda candidate: (-candidate.capacity, candidate.name),
        default=None,
    )
    return first.name if first is not None else None
