"""Groups of instances, by failure domain, in a large fleet.

In a small fleet every instance exchanges its state with all others.  From
:data:`MIN_FLEET` on, instances do so only with those of their own domain.
The ablest members of a domain are its relays: they exchange the state of
whole domains with the relays of other domains and pass it on to the
members, so what an instance sends grows with its domain and not with the
fleet.  There is no election: every instance ranks the members that it
hears, and several relays at once do no harm, as all state is dated.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Fleets of this many instances or more are divided into groups.
MIN_FLEET = 32
# Relays of one domain: the second one bridges the loss of the first.
RELAY_COUNT = 2
# Domains of fewer members follow the region's reader without a relay.
MIN_RELAYED_MEMBERS = 4


@dataclass(slots=True, frozen=True)
class Member:
    """An instance of a domain; ``capacity`` is in cores."""

    name: str
    capacity: float


def rank_relays(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the names of a domain's relays, the ablest first."""
    ranked = sorted(
        members, key=lambda member: (-member.capacity, member.name)
    )
    return tuple(member.name for member in ranked[:RELAY_COUNT])
