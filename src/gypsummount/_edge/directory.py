"""The directory: which instances a caller should connect to."""

from gypsummount._edge.digests import Digest

LEAST_NAMED = 2
MOST_NAMED = 64


def find_addresses(named: list[Digest], region: str) -> list[str]:
    """Return the addresses of a caller's region, or all if too few."""
    near = [one for one in named if one.region == region]
    chosen = near if len(near) >= LEAST_NAMED else named
    return [one.address for one in chosen[:MOST_NAMED]]
