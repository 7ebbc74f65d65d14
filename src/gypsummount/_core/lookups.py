"""Look-up answers: the entries that a workspace's callers should use."""

from dataclasses import dataclass
from hashlib import blake2b

from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member

# Time for which a caller may use an answer.
LOOKUP_TTL_S = 10.0
# Time for which a leaving entry continues to serve after the last look-up
# answer that names it has expired.
DRAIN_MARGIN_S = 2.0
# Largest number of entries in one answer.
MAX_ENTRIES = 4
SAME_DOMAIN_WEIGHT = 100
SAME_REGION_WEIGHT = 20
REMOTE_WEIGHT = 1
HASH_BYTES = 8


@dataclass(slots=True, frozen=True)
class CallerLocation:
    """The failure domain and the region of a caller."""

    domain: str
    region: str


@dataclass(slots=True, frozen=True)
class RankedEntry:
    """One entry in a look-up answer, with its weight for the caller."""

    address: str
    token: str
    weight: int


def rank_entries(
    members: list[Member], workspace: str, location: CallerLocation
) -> list[RankedEntry]:
    """Return the serving entries for a workspace, nearest first.

    Entries at the same distance are ordered by rendezvous hashing, so
    that a workspace uses few of them and few tokens must be borrowed.
    """
    ranked = []
    for member in members:
        if member.phase != "serving":
            continue
        weight = _get_weight(member, location)
        for entry in member.entries:
            if entry.phase == "serving":
                score = _compute_score(workspace, entry)
                ranked.append((weight, score, entry))
    ranked.sort(key=lambda row: (-row[0], -row[1]))
    return [
        RankedEntry(entry.http_address, entry.token, weight)
        for weight, _, entry in ranked[:MAX_ENTRIES]
    ]


def _get_weight(member: Member, location: CallerLocation) -> int:
    if member.domain == location.domain:
        return SAME_DOMAIN_WEIGHT
    if member.region == location.region:
        return SAME_REGION_WEIGHT
    return REMOTE_WEIGHT


def _compute_score(workspace: str, entry: EntryInfo) -> int:
    text = f"{workspace}|{entry.http_address}"
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
