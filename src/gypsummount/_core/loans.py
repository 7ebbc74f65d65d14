"""Messages by which holders of one budget lend to each other.

A loan moves part of a share for a bounded time.  The borrower counts
the time from when it sent its request, the lender from when it decided,
and the lender waits longer by the allowed clock drift and a margin.  So
the parts never overlap, without synchronised clocks, and a lost message
costs capacity for one loan's time at most.
"""

from dataclasses import dataclass

from gypsummount._core.amounts import Amount

LOAN_S = 4.0
TOKEN_LOAN_S = 0.6
CLOCK_DRIFT = 0.01
LOAN_MARGIN_S = 0.2


@dataclass(slots=True, frozen=True)
class BorrowRequest:
    """A holder asks a peer for a rate and, as burst, for tokens.

    It is urgent when requests wait for the tokens.
    """

    loan_id: str
    budget: str
    wanted: Amount
    is_urgent: bool = False


@dataclass(slots=True, frozen=True)
class Loan:
    """Part of a share, and tokens, lent for ``duration_s`` seconds."""

    loan_id: str
    budget: str
    amount: Amount
    tokens: float
    duration_s: float


@dataclass(slots=True, frozen=True)
class LoanReturn:
    """A borrower ends a loan early and hands back unspent tokens."""

    loan_id: str
    budget: str
    tokens: float


@dataclass(slots=True, frozen=True)
class ReturnToLender:
    """A return and the lender that it goes to."""

    lender: str
    message: LoanReturn


def find_lender_wait(duration_s: float) -> float:
    """Return how long a lender waits for a loan, in seconds."""
    return duration_s * (1 + CLOCK_DRIFT) + LOAN_MARGIN_S


LOAN_HOLD_S = find_lender_wait(LOAN_S) * (1 + CLOCK_DRIFT)
