"""A holder's share of a rate budget: spending, lending and borrowing.

A share is a token bucket.  Over all holders of a budget, the sum of the
usable rates and bursts never exceeds the budget, and the sum of the
token levels never exceeds the budget's burst.  Hence, over any window
of W seconds, the holders together spend at most ``rate * W + burst``.
"""

from math import inf

from gypsummount._core.amounts import Amount
from gypsummount._core.amounts import EPSILON
from gypsummount._core.amounts import ZERO
from gypsummount._core.demand import Demand
from gypsummount._core.loanbooks import BorrowedLoan
from gypsummount._core.loanbooks import LentLoan
from gypsummount._core.loanbooks import LoanBook
from gypsummount._core.loanbooks import LoanState
from gypsummount._core.loanbooks import PendingRequest
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import compute_lender_wait
from gypsummount._core.loans import Loan
from gypsummount._core.loans import LOAN_S
from gypsummount._core.loans import LoanReturn
from gypsummount._core.loans import ReturnToLender
from gypsummount._core.loans import TOKEN_LOAN_S

# A holder borrows up to, and does not lend below, this multiple of its
# own demand.
DEMAND_HEADROOM = 1.1
# Tokens that a holder keeps in reserve, as seconds of its demand.
RESERVE_S = 0.25
# Smallest reserve in tokens.
MIN_RESERVE_TOKENS = 1.0
# Demand (1/s) below which a holder borrows tokens but no rate.
MIN_DEMAND_TO_BORROW_RATE = 4.0
# Smallest loan: rate in 1/s or tokens.
MIN_LOAN = 0.05
# A shortage of rate up to this fraction of the demand is not borrowed.
RATE_TOLERANCE = 0.1
# A loan is returned when the usable rate without it covers this multiple
# of the demand.
RETURN_HEADROOM = 1.5
# While a process is paused for longer than this, its share may be granted
# to other holders.
PAUSE_LIMIT_S = 10.0


class RateShare:
    """One holder's share of one budget; all times are monotonic seconds.

    The owned amount is what the ledger grants to the holder, capped at
    the holder's target.  After a pause of the process of more than
    :data:`PAUSE_LIMIT_S` the share is suspended: it cannot be used until
    :meth:`apply_granted` is called with an amount from a ledger that was
    read after the pause.
    """

    __slots__ = (
        "_accrued_at",
        "_advanced_at",
        "_book",
        "_demand",
        "_holder",
        "_level",
        "_owned",
        "_request_count",
        "_suspended",
        "_usable",
        "budget",
    )

    def __init__(self, budget: str, holder: str, now: float) -> None:
        self.budget = budget
        self._holder = holder
        self._owned = ZERO
        self._usable = ZERO
        self._level = 0.0
        self._accrued_at = now
        self._advanced_at = now
        self._suspended = False
        self._book = LoanBook()
        self._request_count = 0
        self._demand = Demand(now)

    @property
    def owned(self) -> Amount:
        """Return the granted amount, capped at the target."""
        return self._owned

    @property
    def usable(self) -> Amount:
        """Return the usable amount as of the last call given ``now``."""
        return self._usable

    @property
    def level(self) -> float:
        """Return the token level as of the last call given ``now``."""
        return self._level

    @property
    def lent(self) -> Amount:
        """Return the sum of the open loans out of the owned amount."""
        return self._book.sum_lent(is_lent_on=False)

    @property
    def is_suspended(self) -> bool:
        """Tell whether a pause of the process has suspended the share."""
        return self._suspended

    def apply_granted(self, owned: Amount, now: float) -> None:
        """Set the owned amount from a ledger read after the last pause."""
        self.advance(now)
        self._suspended = False
        self._owned = owned
        self._recompute()

    def can_confirm(self) -> bool:
        """Tell whether the holder can confirm a lowered amount.

        It can once its open loans fit into the owned amount.
        """
        return self.lent.fits(self._owned)

    def advance(self, now: float) -> None:
        """Accrue tokens and end expired loans up to ``now``.

        Loans end one after the other, so that tokens accrue at the rate
        that was usable at each moment.
        """
        if now - self._advanced_at > PAUSE_LIMIT_S:
            self._suspend()
        self._advanced_at = max(self._advanced_at, now)
        while True:
            next_end = self._book.get_next_end()
            if next_end > now:
                break
            self._accrue(next_end)
            self._book.drop_ended_loans(next_end)
            self._recompute()
        self._accrue(now)

    def try_spend(self, now: float, count: float = 1.0) -> bool:
        """Spend ``count`` tokens; return False if there are fewer."""
        self.advance(now)
        if self._suspended or self._level + EPSILON < count:
            return False
        self._level = max(0.0, self._level - count)
        return True

    def record_demand(self, now: float, count: float = 1.0) -> None:
        """Count requested units; call once for each arriving request."""
        self._demand.record(now, count)

    def compute_wait(self, count: float = 1.0) -> float:
        """Return the seconds until ``count`` tokens have accrued.

        Loans that may still arrive are not considered.  The result is
        infinity if the usable amount never yields that many tokens.
        """
        missing = count - self._level
        if missing <= EPSILON:
            return 0.0
        if self._usable.rate <= EPSILON or count > self._usable.burst:
            return inf
        return missing / self._usable.rate

    def compute_need(self, now: float, waiting: float = 0.0) -> Amount:
        """Return what to borrow; zero if the share suffices.

        The burst of the result is the number of tokens to borrow.
        ``waiting`` is the number of units that already wait for tokens.
        """
        self.advance(now)
        if self._suspended:
            return ZERO
        demand = self._demand.estimate(now)
        rate = demand * DEMAND_HEADROOM - self._usable.rate
        if (
            rate <= demand * RATE_TOLERANCE
            or demand < MIN_DEMAND_TO_BORROW_RATE
        ):
            rate = 0.0
        reserve = demand * RESERVE_S
        if reserve < MIN_RESERVE_TOKENS or self._level >= reserve / 2:
            reserve = 0.0
        tokens = max(waiting, reserve) - self._level
        return Amount(rate, tokens).clip()

    def build_request(
        self, lender: str, now: float, waiting: float = 0.0
    ) -> BorrowRequest | None:
        """Return a loan request for a peer.

        None means that no loan is needed or that a request is pending.
        The burst of ``wanted`` is the number of tokens to borrow.
        """
        self._book.drop_stale_requests(now)
        wanted = self.compute_need(now, waiting)
        if self._book.pending or wanted.is_zero:
            return None
        self._request_count += 1
        loan_id = f"{self._holder}#{self._request_count}"
        request = BorrowRequest(loan_id, self.budget, wanted, waiting > 0)
        self._book.pending[loan_id] = PendingRequest(request, lender, now)
        return request

    def cancel_request(self, loan_id: str) -> None:
        """Drop a pending request; a late reply to it is ignored."""
        self._book.pending.pop(loan_id, None)

    def lend(
        self, request: BorrowRequest, now: float, waiting: float = 0.0
    ) -> Loan | None:
        """Debit a loan and return it, or None if nothing can be lent.

        A repeated request gets the same loan while that is open.
        ``waiting`` is the number of own units that wait for tokens.
        """
        self.advance(now)
        existing = self._book.lent.get(request.loan_id)
        if existing is not None:
            return existing.loan if existing.state is LoanState.OPEN else None
        if self._suspended:
            return None
        spare_tokens = self._compute_spare_tokens(request, now, waiting)
        loan = self._build_loan_from_owned(request, spare_tokens, now)
        token_loan = self._build_loan_from_borrowed(request, spare_tokens, now)
        is_lent_on = token_loan.tokens > loan.tokens and not loan.amount.rate
        if is_lent_on:
            loan = token_loan
        if max(loan.amount.rate, loan.tokens) < MIN_LOAN:
            return None
        ends_at = now + compute_lender_wait(loan.duration_s)
        self._book.lent[loan.loan_id] = LentLoan(loan, ends_at, is_lent_on)
        self._level -= loan.tokens
        self._recompute()
        return loan

    def accept(self, loan: Loan, now: float) -> bool:
        """Credit a loan once, if its request is still pending."""
        self.advance(now)
        pending = self._book.pending.pop(loan.loan_id, None)
        if pending is None or self._suspended:
            return False
        ends_at = pending.sent_at + loan.duration_s
        if ends_at <= now:
            return False
        self._book.borrowed[loan.loan_id] = BorrowedLoan(
            loan, pending.lender, ends_at
        )
        self._recompute()
        self._level = min(self._usable.burst, self._level + loan.tokens)
        return True

    def return_idle(self, now: float) -> list[ReturnToLender]:
        """Debit borrowed loans that the demand does not need.

        Return the messages to their lenders.
        """
        self.advance(now)
        needed = self._demand.estimate(now) * RETURN_HEADROOM
        returned: list[ReturnToLender] = []
        if not self._book.sum_lent(is_lent_on=True).is_zero:
            return returned
        for loan_id, borrowed in list(self._book.borrowed.items()):
            remaining = self._usable.rate - borrowed.loan.amount.rate
            if needed > remaining:
                continue
            returned.append(self._debit(loan_id, borrowed))
        return returned

    def return_spent(self, now: float) -> list[ReturnToLender]:
        """Debit loans of tokens without rate once the tokens are spent.

        The lender's burst stays reduced until the loan is returned.
        """
        self.advance(now)
        if (
            self._level >= 1
            or not self._book.sum_lent(is_lent_on=True).is_zero
        ):
            return []
        return [
            self._debit(loan_id, borrowed)
            for loan_id, borrowed in list(self._book.borrowed.items())
            if borrowed.loan.amount.rate <= EPSILON
        ]

    def return_all(self, now: float) -> list[ReturnToLender]:
        """Debit every borrowed loan before a planned stop."""
        self.advance(now)
        if not self._book.sum_lent(is_lent_on=True).is_zero:
            return []
        return [
            self._debit(loan_id, borrowed)
            for loan_id, borrowed in list(self._book.borrowed.items())
        ]

    def credit_return(self, message: LoanReturn, now: float) -> bool:
        """Credit a returned loan; return False if it was closed before."""
        self.advance(now)
        lent = self._book.lent.get(message.loan_id)
        if lent is None or lent.state is LoanState.CLOSED:
            return False
        lent.state = LoanState.CLOSED
        self._recompute()
        tokens = min(message.tokens, lent.loan.amount.burst)
        self._level = min(self._usable.burst, self._level + tokens)
        return True

    def _debit(self, loan_id: str, borrowed: BorrowedLoan) -> ReturnToLender:
        del self._book.borrowed[loan_id]
        level_before = self._level
        fraction = self._compute_burst_fraction(borrowed.loan.amount)
        tokens = min(level_before * fraction, borrowed.loan.amount.burst)
        self._level = level_before - tokens
        self._recompute()
        message = LoanReturn(loan_id, self.budget, tokens)
        return ReturnToLender(borrowed.lender, message)

    def _compute_burst_fraction(self, amount: Amount) -> float:
        if self._usable.burst <= EPSILON:
            return 0.0
        return min(1.0, amount.burst / self._usable.burst)

    def _compute_spare_tokens(
        self, request: BorrowRequest, now: float, waiting: float
    ) -> float:
        """Return the number of tokens that can be lent.

        For an urgent request, for which units wait at the borrower, the
        reserve is lent as well.
        """
        reserve = waiting
        if not request.is_urgent:
            demand = self._demand.estimate(now)
            reserve += max(MIN_RESERVE_TOKENS, demand * RESERVE_S)
        spare_tokens = max(0.0, self._level - reserve)
        return min(spare_tokens, request.wanted.burst)

    def _build_loan_from_owned(
        self, request: BorrowRequest, spare_tokens: float, now: float
    ) -> Loan:
        """Return a loan out of the owned amount: rate, burst and tokens."""
        needed = self._demand.estimate(now) * DEMAND_HEADROOM
        owned = (self._owned - self.lent).clip()
        spare_rate = max(0.0, self._usable.rate - needed)
        rate = min(request.wanted.rate, owned.rate, spare_rate)
        if rate < MIN_LOAN:
            rate = 0.0
        tokens = min(spare_tokens, owned.burst)
        burst = tokens
        if rate:
            burst = max(tokens, owned.burst * rate / owned.rate)
        duration_s = LOAN_S if rate else TOKEN_LOAN_S
        amount = Amount(rate, burst)
        return Loan(request.loan_id, self.budget, amount, tokens, duration_s)

    def _build_loan_from_borrowed(
        self, request: BorrowRequest, spare_tokens: float, now: float
    ) -> Loan:
        """Return a short loan of tokens out of a borrowed burst.

        Only borrowed loans that outlast the new loan are lent on;
        otherwise two holders could use the same burst.
        """
        until = now + compute_lender_wait(TOKEN_LOAN_S)
        outlasting_burst = self._book.sum_burst_lasting_until(until)
        lendable_burst = max(
            0.0, outlasting_burst - self._book.sum_lent(is_lent_on=True).burst
        )
        tokens = min(spare_tokens, lendable_burst)
        amount = Amount(0.0, tokens)
        return Loan(request.loan_id, self.budget, amount, tokens, TOKEN_LOAN_S)

    def _suspend(self) -> None:
        self._suspended = True
        self._book.drop_borrowed()
        self._level = 0.0
        self._recompute()

    def _accrue(self, until: float) -> None:
        elapsed = until - self._accrued_at
        if elapsed <= 0:
            return
        accrued = self._usable.rate * elapsed
        self._level = min(self._usable.burst, self._level + accrued)
        self._accrued_at = until

    def _recompute(self) -> None:
        borrowed = self._book.sum_borrowed()
        own = (self._owned - self.lent).clip()
        if self._suspended:
            own = ZERO
        lent_on = self._book.sum_lent(is_lent_on=True)
        self._usable = own + (borrowed - lent_on).clip()
        self._level = min(self._level, self._usable.burst)
