"""Ranking of the candidates for a duty."""

from collections.abc import Iterable
from dataclasses import dataclass

CANDIDATE_COUNT = 2


@dataclass(slots=True, eq=False)
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
    remaining = [member for member in members if member.name != holder]
    chosen: list[DutyMember] = []
    used = {holder_region}
    while remaining and len(chosen) < CANDIDATE_COUNT:
        preferred = [
            member for member in remaining if member.region not in used
        ]
        best = min(preferred or remaining, key=_build_key)
        chosen.append(best)
        used.add(best.region)
        remaining.remove(best)
    return tuple(chosen)


def _build_key(member: DutyMember) -> tuple[bool, float, str]:
    return (not member.is_connected, -member.capacity, member.name)
