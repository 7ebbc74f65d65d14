"""The loans of one holder, as lender and as borrower."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import inf

from gypsummount._core.amounts import Amount
from gypsummount._core.amounts import sum_amounts
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import Loan

# A request without a reply is dropped after this time.
REQUEST_TIMEOUT_S = 1.0


class LoanState(Enum):
    """State of a loan at its lender; a closed loan was returned early."""

    OPEN = "open"
    CLOSED = "closed"


@dataclass(slots=True)
class LentLoan:
    """A loan at its lender; ``ends_at`` is in monotonic seconds.

    ``is_lent_on`` marks a loan out of a borrowed burst; all others are
    loans out of the owned amount.
    """

    loan: Loan
    ends_at: float
    is_lent_on: bool = False
    state: LoanState = LoanState.OPEN


@dataclass(slots=True)
class BorrowedLoan:
    """A loan at its borrower; ``ends_at`` is in monotonic seconds."""

    loan: Loan
    lender: str
    ends_at: float


@dataclass(slots=True)
class PendingRequest:
    """A loan request without a reply so far."""

    request: BorrowRequest
    lender: str
    sent_at: float


@dataclass(slots=True)
class LoanBook:
    """Loans and pending requests by loan id."""

    lent: dict[str, LentLoan] = field(default_factory=dict)
    borrowed: dict[str, BorrowedLoan] = field(default_factory=dict)
    pending: dict[str, PendingRequest] = field(default_factory=dict)

    def sum_lent(self, *, is_lent_on: bool) -> Amount:
        """Return the sum of open loans out of the owned amount.

        With ``is_lent_on``, return that of loans out of borrowed bursts.
        """
        return sum_amounts(
            [
                lent.loan.amount
                for lent in self.lent.values()
                if lent.state is LoanState.OPEN
                and lent.is_lent_on == is_lent_on
            ]
        )

    def sum_borrowed(self) -> Amount:
        """Return the sum of the borrowed amounts."""
        return sum_amounts(
            [borrowed.loan.amount for borrowed in self.borrowed.values()]
        )

    def sum_burst_lasting_until(self, until: float) -> float:
        """Return the sum of the bursts borrowed at least until a time (s)."""
        return sum(
            borrowed.loan.amount.burst
            for borrowed in self.borrowed.values()
            if borrowed.ends_at >= until
        )

    def get_next_end(self) -> float:
        """Return when the next loan ends (s); infinity if there is none."""
        due = inf
        for lent in self.lent.values():
            due = min(due, lent.ends_at)
        for borrowed in self.borrowed.values():
            due = min(due, borrowed.ends_at)
        return due

    def drop_ended_loans(self, due: float) -> None:
        """Drop the loans that end at or before a time (s)."""
        self.lent = {
            loan_id: lent
            for loan_id, lent in self.lent.items()
            if lent.ends_at > due
        }
        self.borrowed = {
            loan_id: borrowed
            for loan_id, borrowed in self.borrowed.items()
            if borrowed.ends_at > due
        }

    def drop_stale_requests(self, now: float) -> None:
        """Drop requests older than :data:`REQUEST_TIMEOUT_S`."""
        for loan_id, pending in list(self.pending.items()):
            if now - pending.sent_at > REQUEST_TIMEOUT_S:
                del self.pending[loan_id]

    def drop_borrowed(self) -> None:
        """Drop borrowed loans and pending requests, after a pause."""
        self.borrowed.clear()
        self.pending.clear()
