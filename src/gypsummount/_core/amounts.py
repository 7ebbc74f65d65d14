"""Amounts of a budget: a rate and a burst."""

from dataclasses import dataclass
from math import floor

EPSILON = 1e-9
# Amounts are rounded down to multiples of 1 / QUANTA_PER_UNIT.  Sums and
# differences of multiples of a power of two are exact.
QUANTA_PER_UNIT = 2**20


@dataclass(slots=True, frozen=True)
class Amount:
    """A rate in units per second and a burst in units.

    Where an amount says what a holder wants to borrow, the burst is a
    number of tokens.  In budgets of slots, it is the number of slots and
    the rate is zero.
    """

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
        """Return the amount rounded down to multiples of the quantum."""
        return Amount(
            _floor_to_quantum(self.rate), _floor_to_quantum(self.burst)
        )

    def clip(self) -> "Amount":
        """Return the amount with a negative rate or burst set to zero."""
        return Amount(max(0.0, self.rate), max(0.0, self.burst))

    def cap(self, limit: "Amount") -> "Amount":
        """Return the smaller rate and the smaller burst of both."""
        return Amount(min(self.rate, limit.rate), min(self.burst, limit.burst))

    def fits(self, limit: "Amount") -> bool:
        """Tell whether neither rate nor burst exceeds the limit."""
        return (
            self.rate <= limit.rate + EPSILON
            and self.burst <= limit.burst + EPSILON
        )

    @property
    def is_zero(self) -> bool:
        """Tell whether both rate and burst are zero."""
        return self.rate <= EPSILON and self.burst <= EPSILON


ZERO = Amount(0.0, 0.0)


def _floor_to_quantum(units: float) -> float:
    return floor(units * QUANTA_PER_UNIT) / QUANTA_PER_UNIT


def sum_amounts(amounts: "list[Amount]") -> Amount:
    """Return the sum of amounts; zero for an empty list."""
    return Amount(
        sum(amount.rate for amount in amounts),
        sum(amount.burst for amount in amounts),
    )
