"""The directory: the instances to which callers connect."""

from gypsummount._edge.digests import Digest

MIN_ADDRESSES = 2
MAX_ADDRESSES = 64


def list_addresses(digests: list[Digest], region: str) -> list[str]:
    """Return addresses for callers of a region.

    They are those of the region's instances, or of all instances if
    the region has fewer than :data:`MIN_ADDRESSES`.
    """
    same_region = [digest for digest in digests if digest.region == region]
    chosen = same_region if len(same_region) >= MIN_ADDRESSES else digests
    return [digest.address for digest in chosen[:MAX_ADDRESSES]]
