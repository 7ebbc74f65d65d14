"""Amounts of a rate budget."""

from dataclasses import dataclass
from math import floor

EPSILON = 1e-9
# Sums and differences of multiples of a power of two are exact.
GRAINS_PER_UNIT = 2**20


@dataclass(slots=True, frozen=True)
class Amount:
    """A rate in units per second and a burst in units."""

    rate: float
    burst: float

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.rate + other.rate, self.burst + other.burst)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.rate - other.rate, self.burst - other.burst)

    def scale(self, factor: float) -> "Amount":
        """Return the amount multiplied by a factor."""
        return Amount(self.rate * factor, self.burst * factor)

    def round_down(self) -> "Amount":
        """Return the amount in whole grains, none of it rounded up."""
        return Amount(_floor_to_grain(self.rate), _floor_to_grain(self.burst))

    def clip(self) -> "Amount":
        """Return the amount with negative parts replaced by zero."""
        return Amount(max(0.0, self.rate), max(0.0, self.burst))

    def cap(self, limit: "Amount") -> "Amount":
        """Return the smaller of each part."""
        return Amount(min(self.rate, limit.rate), min(self.burst, limit.burst))

    def fits(self, limit: "Amount") -> bool:
        """Tell whether no part exceeds the limit."""
        return (
            self.rate <= limit.rate + EPSILON
            and self.burst <= limit.burst + EPSILON
        )

    @property
    def is_zero(self) -> bool:
        """Tell whether both parts are zero."""
        return self.rate <= EPSILON and self.burst <= EPSILON


ZERO = Amount(0.0, 0.0)


def _floor_to_grain(units: float) -> float:
    return floor(units * GRAINS_PER_UNIT) / GRAINS_PER_UNIT


def add_amounts(amounts: "list[Amount]") -> Amount:
    """Return the sum of amounts."""
    return Amount(
        sum(amount.rate for amount in amounts),
        sum(amount.burst for amount in amounts),
    )
