"""Times of a lease, all in proportion to its duration."""

from gypsummount._core.loans import CLOCK_DRIFT

# Time (s) by which the holder's count is shorter and the others' is longer,
# besides the drift.
LEASE_MARGIN_S = 0.1
# Fraction of a lease after which it is renewed, and after which a failed
# renewal is repeated.
RENEWAL_FRACTION = 1 / 3
RETRY_FRACTION = 1 / 12
# Fractions of a lease between two reads of the first and second candidate,
# and the time by which the second one leaves a takeover to the first.
POLL_FRACTIONS = (1 / 3, 2 / 3)
STAGGER_FRACTION = 1 / 6


class LeaseTiming:
    """Times (s) of a lease as its holder and the others count them."""

    __slots__ = ("held_s", "lease_s", "renewal_s", "retry_s", "wait_s")

    def __init__(self, lease_s: float) -> None:
        margin_s = lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        self.lease_s = lease_s
        self.held_s = lease_s - margin_s
        self.wait_s = lease_s + margin_s
        self.renewal_s = lease_s * RENEWAL_FRACTION
        self.retry_s = lease_s * RETRY_FRACTION

    def get_poll_period(self, rank: int | None) -> float:
        """Return the time between two reads of a candidate."""
        return self.lease_s * POLL_FRACTIONS[rank or 0]

    def get_stagger(self, rank: int | None) -> float:
        """Return how long a candidate leaves a takeover to others."""
        return self.lease_s * STAGGER_FRACTION * (rank or 0)
