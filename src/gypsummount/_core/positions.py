"""Positions in the history of a store that may be restored from a copy.

A restore increases the store's era, and revisions of an earlier era are
reused for other changes.  A position combines both into one number that
orders the states of all eras.  It stays below 2^53, so that JSON keeps it
exact.  A store without eras has era 0, and its positions are its revisions.
"""

REVISION_BITS = 40
ERA_BITS = 13
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << ERA_BITS) - 1


def combine_position(era: int, revision: int) -> int:
    """Return the position of a revision in an era.

    :raises ValueError: when the era or, in an era above 0, the revision is
        out of range.
    """
    if era == 0:
        return revision
    if not 0 < era <= MAX_ERA:
        raise ValueError(f"the era {era} is not between 0 and {MAX_ERA}")
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(
            f"the revision {revision} is not between 0 and {MAX_REVISION}"
        )
    return era << REVISION_BITS | revision


def get_era(position: int) -> int:
    """Return the era of a position."""
    return max(0, position >> REVISION_BITS)


def get_revision(position: int) -> int:
    """Return the store's revision at a position."""
    return position & MAX_REVISION
