"""An entry's shares of rate and slot budgets, and waiting for tokens."""

from asyncio import Event
from asyncio import wait_for
from collections.abc import Callable

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.peer_messages import pack_amount
from gypsummount._common.peer_messages import unpack_amount
from gypsummount._core.amounts import Amount
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import Loan
from gypsummount._core.loans import LoanReturn
from gypsummount._core.naming import parse_upstream
from gypsummount._core.naming import UpstreamName
from gypsummount._core.pauses import PauseGate
from gypsummount._core.shares import RateShare
from gypsummount._core.slots import SlotShare
from gypsummount._proto import peer_pb2
from gypsummount.errors import RateExceeded

MAX_WAITING_PER_BUDGET = 256
MAX_WAIT_S = 0.4
MIN_SLEEP_S = 0.001


class EntryBudgets:
    """All shares of one entry, updated from the ledgers.

    ``start_borrowing`` is called with the name of a rate budget that runs low.
    ``return_spent`` is called with the name of the budget when a request that
    had to wait has spent its tokens.
    """

    def __init__(
        self,
        holder: str,
        *,
        start_borrowing: Callable[[str], None],
        return_spent: Callable[[str], None],
    ) -> None:
        self._holder = holder
        self._start_borrowing = start_borrowing
        self._return_spent = return_spent
        self._clock = read_monotonic
        self._waiting_counts: dict[str, int] = {}
        self._token_events: dict[str, Event] = {}
        self._views: dict[str, peer_pb2.LedgerView] = {}
        self._totals: dict[str, Amount] = {}
        self._pause_gate = PauseGate()
        self._may_lend = True
        self._is_retired = False
        self.rates: dict[str, RateShare] = {}
        self.slots: dict[UpstreamName, SlotShare] = {}

    @property
    def suspensions(self) -> int:
        """Return how many pauses of the process were detected."""
        return self._pause_gate.count

    @property
    def is_suspended(self) -> bool:
        """Tell whether any share is suspended.

        After a long pause of the process a share is suspended until a
        ledger that was read after the pause arrives.
        """
        return any(
            share.is_suspended
            for group in (self.rates, self.slots)
            for share in group.values()
        )

    def set_totals(self, totals: dict[str, Amount]) -> None:
        """Set the configured totals of the rate budgets, by budget name."""
        self._totals = totals

    def get_total(self, budget: str) -> Amount | None:
        """Return the configured total of a rate budget, None if unknown."""
        return self._totals.get(budget)

    def apply_ledger(self, view: peer_pb2.LedgerView) -> None:
        """Apply a ledger unless a newer version of it was applied.

        After a pause of the process, only ledgers that were read after
        the pause are applied.  Accounts that the new version does not
        contain are set to zero.
        """
        self.advance()
        if self._is_retired:
            return
        if not self._pause_gate.admits(view.suspensions):
            return
        known = self._views.get(view.scope)
        if known is not None and view.seq < known.seq:
            return
        self._views[view.scope] = view
        listed = {account.budget for account in view.accounts}
        if known is not None:
            for account in known.accounts:
                if account.budget not in listed:
                    self._set_owned(account.budget, Amount(0.0, 0.0))
        for account in view.accounts:
            granted = unpack_amount(account.granted)
            target = unpack_amount(account.target)
            self._set_owned(account.budget, granted.cap(target))

    def list_confirmations(self) -> list[peer_pb2.Confirmation]:
        """Return a confirmation for each account lowered to its target.

        Accounts that need not be lowered are left out, and so are
        those that cannot be lowered yet because of open loans or slots
        in use.
        """
        confirmations = []
        for view in self._views.values():
            for account in view.accounts:
                granted = unpack_amount(account.granted)
                lowered = granted.cap(unpack_amount(account.target))
                if granted.fits(lowered):
                    continue
                if self._can_confirm(account.budget):
                    confirmations.append(
                        peer_pb2.Confirmation(
                            scope=view.scope,
                            seq=view.seq,
                            budget=account.budget,
                            amount=pack_amount(lowered),
                        )
                    )
        return confirmations

    def advance(self) -> None:
        """Advance all shares to the current time and detect pauses.

        Call it regularly: a share that is not advanced for too long
        takes this for a pause of the process and is suspended.
        """
        now = self._clock()
        for share in self.rates.values():
            share.advance(now)
        for slot_share in self.slots.values():
            slot_share.advance(now)
        self._pause_gate.record(self.is_suspended)

    async def admit(self, budget: str, count: float, deadline: float) -> None:
        """Spend tokens of a rate budget, waiting for a loan if needed.

        The wait ends at ``deadline`` (boot clock, s) or after
        :data:`MAX_WAIT_S`, whichever comes first.

        :raises RateExceeded: when the budget has no share yet, when too
            many requests wait for it, or when no tokens come in time.
        """
        now = self._clock()
        share = self.rates.get(budget)
        if share is None:
            raise RateExceeded(
                f"no share of '{budget}' has arrived yet; try again in 1 s"
            )
        share.record_demand(now, count)
        waiting = self._waiting_counts.get(budget, 0)
        if waiting == 0 and share.try_spend(now, count):
            if self.needs_loan(budget):
                self._start_borrowing(budget)
            return
        if waiting >= MAX_WAITING_PER_BUDGET:
            raise _build_rate_error(budget)
        self._waiting_counts[budget] = waiting + 1
        try:
            await self._wait_and_spend(share, count, deadline)
        finally:
            self._waiting_counts[budget] -= 1

    async def charge(self, budget: str, count: float, deadline: float) -> None:
        """Spend a large count in chunks that the share's burst can hold.

        A budget without a share is not charged.

        :raises RateExceeded: when a chunk gets no tokens in time; the
            chunks before it stay spent.
        """
        remaining = count
        while remaining > 0:
            share = self.rates.get(budget)
            if share is None:
                return
            chunk = min(remaining, max(1.0, share.usable.burst))
            await self.admit(budget, chunk, deadline)
            remaining -= chunk

    def count_waiting(self, budget: str) -> int:
        """Return how many requests wait for tokens of a budget."""
        return self._waiting_counts.get(budget, 0)

    def needs_loan(self, budget: str) -> bool:
        """Tell whether a budget is short of rate or tokens."""
        share = self.rates.get(budget)
        if share is None:
            return False
        waiting = self.count_waiting(budget)
        return not share.compute_need(self._clock(), waiting).is_zero

    def lend(self, request: BorrowRequest) -> Loan | None:
        """Lend a part of a share to a peer; None if nothing is lent."""
        share = self.rates.get(request.budget)
        if share is None or not self._may_lend:
            return None
        waiting = self.count_waiting(request.budget)
        return share.lend(request, self._clock(), waiting)

    def stop_lending(self) -> None:
        """Refuse all further loans, so that the shares can be retired."""
        self._may_lend = False

    def has_lent_nothing(self) -> bool:
        """Tell whether peers have no open loans from this entry."""
        self.advance()
        return all(share.lent.is_zero for share in self.rates.values())

    def retire(self) -> None:
        """Drop all shares permanently; later ledgers are ignored."""
        self._views.clear()
        self.rates.clear()
        self.slots.clear()
        self._is_retired = True

    def accept_return(self, message: LoanReturn) -> None:
        """Credit a loan that a borrower has returned."""
        share = self.rates.get(message.budget)
        if share is not None:
            share.credit_return(message, self._clock())
            self.wake(message.budget)

    def wake(self, budget: str) -> None:
        """Wake the requests that wait for tokens of a budget."""
        event = self._token_events.pop(budget, None)
        if event is not None:
            event.set()

    async def _wait_and_spend(
        self, share: RateShare, count: float, deadline: float
    ) -> None:
        budget = share.budget
        wait_until = min(deadline, self._clock() + MAX_WAIT_S)
        while True:
            self._start_borrowing(budget)
            now = self._clock()
            if share.try_spend(now, count):
                self._return_spent(budget)
                return
            if now >= wait_until:
                raise _build_rate_error(budget)
            refill_s = max(MIN_SLEEP_S, share.compute_wait(count))
            event = self._token_events.setdefault(budget, Event())
            try:
                await wait_for(event.wait(), min(refill_s, wait_until - now))
            except TimeoutError:
                continue

    def _set_owned(self, budget: str, owned: Amount) -> None:
        now = self._clock()
        if budget.startswith("slot:"):
            upstream = parse_upstream(budget)
            slot_share = self.slots.get(upstream)
            if slot_share is None:
                slot_share = SlotShare(upstream.server, now)
                self.slots[upstream] = slot_share
            slot_share.apply_granted(int(owned.burst), now)
            return
        share = self.rates.get(budget)
        if share is None:
            share = RateShare(budget, self._holder, now)
            self.rates[budget] = share
        share.apply_granted(owned, now)
        self.wake(budget)

    def _can_confirm(self, budget: str) -> bool:
        if budget.startswith("slot:"):
            slot_share = self.slots.get(parse_upstream(budget))
            return slot_share is not None and slot_share.can_confirm()
        share = self.rates.get(budget)
        return share is not None and share.can_confirm()


def _build_rate_error(budget: str) -> RateExceeded:
    return RateExceeded(
        f"'{budget}' is over its rate; send less or try again in 1 s"
    )
