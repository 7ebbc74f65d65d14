"""Messages by which holders of one budget lend to each other.

A loan moves part of a share for a limited time.  The borrower counts
this time from when it sent the request, the lender from when it granted
the loan, and the lender adds the permitted clock drift and a margin.
So lender and borrower never use the same amount at once, although their
clocks are not synchronised, and a lost message costs the amount for at
most the duration of one loan.
"""

from dataclasses import dataclass

from gypsummount._core.amounts import Amount

# Time for which a rate is lent, with the burst and tokens of the same loan.
LOAN_S = 4.0
# Time for which tokens are lent without a rate.
TOKEN_LOAN_S = 0.6
# Permitted difference of the speed of two clocks, as a fraction.
CLOCK_DRIFT = 0.01
# Time that the lender adds to the duration of a loan.
LOAN_MARGIN_S = 0.2


@dataclass(slots=True, frozen=True)
class BorrowRequest:
    """A holder's request for a loan from a peer.

    The rate of ``wanted`` is in units per second, and its burst is the
    number of tokens wanted.  The request is urgent when units wait for
    the tokens.
    """

    loan_id: str
    budget: str
    wanted: Amount
    is_urgent: bool = False


@dataclass(slots=True, frozen=True)
class Loan:
    """An amount and tokens that are lent for ``duration_s`` seconds.

    The amount adds to the borrower's rate and burst, ``tokens`` to the
    level of its token bucket.
    """

    loan_id: str
    budget: str
    amount: Amount
    tokens: float
    duration_s: float


@dataclass(slots=True, frozen=True)
class LoanReturn:
    """Message by which a borrower returns a loan early.

    ``tokens`` is the number of unspent tokens.
    """

    loan_id: str
    budget: str
    tokens: float


@dataclass(slots=True, frozen=True)
class ReturnToLender:
    """A message that returns a loan, and the lender to send it to."""

    lender: str
    message: LoanReturn


def compute_lender_wait(duration_s: float) -> float:
    """Return the seconds after which a lender may reuse a loan."""
    return duration_s * (1 + CLOCK_DRIFT) + LOAN_MARGIN_S


# The share of a dead holder is granted again after this time: its last
# loan has ended by then, by every clock.
LOAN_HOLD_S = compute_lender_wait(LOAN_S) * (1 + CLOCK_DRIFT)
