"""Owners of workspace rates in a large fleet.

In each region one instance owns the region's share of a workspace's rate.
The others ask it for a token for each request.  Rendezvous hashing over
the live instances names the owner, so there is no election, and a change
of the fleet moves only the workspaces of the instances that changed.
While two instances count as owners, each uses the region's share; a new
owner therefore begins with few tokens and less than an equal share, and
each one uses only the part that live instances have in the region.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from gypsummount._core.placement import combine_hashes
from gypsummount._core.placement import hash_name
from gypsummount._core.quotas import Division

# Announcements until all regions have heard one through the relays.
LAG_ROUNDS = 6
INITIAL_TOKENS = 4.0
# Part of an equal share that a new owner uses until the others have heard of
# its demand: they may still use more than theirs.
NEW_FRACTION = 0.75
# Regions see a workspace often enough for an average over some seconds, but
# a small one only a few times in one.
EQUAL_FRACTION = 0.4
DEMAND_SMOOTHING = 0.08
# Tokens of the smallest bucket: requests of a small workspace come in bursts
# that an equal part of its own burst would not hold.
MIN_BURST = 4.0


def rank_owners(workspace: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return a workspace's owner and its successor, if there is one."""
    seed = hash_name(workspace)
    ranked = sorted(
        names,
        key=lambda name: combine_hashes(seed, hash_name(name)),
        reverse=True,
    )
    return tuple(ranked[:2])


def divide_region(live: int, known: int) -> Division:
    """Return how the owners of a region divide rates.

    ``live`` and ``known`` count the region's instances, this one included.
    """
    return Division(
        LAG_ROUNDS,
        live / max(live, known),
        INITIAL_TOKENS,
        EQUAL_FRACTION,
        DEMAND_SMOOTHING,
        MIN_BURST,
        NEW_FRACTION,
    )
