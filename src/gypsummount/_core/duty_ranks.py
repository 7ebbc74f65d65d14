"""Ranking of the candidates for a duty."""

from collections.abc import Iterable
from dataclasses import dataclass

CANDIDATE_COUNT = 2


@dataclass(slots=True, frozen=True)
class DutyMember:
    """A serving instance that can reach the store, as far as is known.

    ``is_connected`` tells that it is known to reach the store;
    ``capacity`` is in cores.
    """

    name: str
    host: str
    region: str
    capacity: float
    is_connected: bool


def rank_candidates(
    members: Iterable[DutyMember], holder: str, holder_region: str
) -> tuple[DutyMember, ...]:
    """Return the first and second candidate to take over from a holder.

    They come from other regions than the holder's and than each other's
    while there are such, so that the loss of a region leaves a candidate.
    """
    ranked = sorted(
        (member for member in members if member.name != holder),
        key=lambda member: (
            not member.is_connected,
            -member.capacity,
            member.name,
        ),
    )
    chosen: list[DutyMember] = []
    used = {holder_region}
    while ranked and len(chosen) < CANDIDATE_COUNT:
        member = next(
            (member for member in ranked if member.region not in used),
            ranked[0],
        )
        chosen.append(member)
        used.add(member.region)
        ranked.remove(member)
    return tuple(chosen)
