"""The directory: the instances to which callers connect."""

from gypsummount._edge.digests import Digest

LEAST_NAMED = 2
MOST_NAMED = 64


def find_addresses(named: list[Digest], region: str) -> list[str]:
    """Return addresses for callers of a region.

    They are those of the region's instances, or of all instances if
    the region has fewer than :data:`LEAST_NAMED`.
    """
    near = [one for one in named if one.region == region]
    chosen = near if len(near) >= LEAST_NAMED else named
    return [one.address for one in chosen[:MOST_NAMED]]
