"""Borrowing of rates and tokens from other entries."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from asyncio import TimerHandle
from asyncio import wait
from dataclasses import dataclass
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.metrics import Metrics
from gypsummount._core.backoff import BorrowBackoff
from gypsummount._core.loans import ReturnToLender
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.peer_client import PeerClient
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.snapshot import Snapshot


@dataclass(slots=True, frozen=True)
class _BackoffKey:
    """Identifies a backoff: urgent rounds have their own."""

    budget: str
    is_urgent: bool


class Borrower:
    """Borrows from peers for budgets that run low, and returns loans.

    A borrowing round asks one peer after another until the budget is no
    longer short.  At most one round runs for each budget.  ``budgets``
    must be set before the first call.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        peers: PeerClient,
        metrics: Metrics,
        region: str,
        random: Random,
    ) -> None:
        self._snapshot = snapshot
        self._peers = peers
        self._metrics = metrics
        self._region = region
        self._random = random
        self._borrow_tasks: dict[str, Task[None]] = {}
        self._backoffs: dict[_BackoffKey, BorrowBackoff] = {}
        self._backoff_timers: dict[str, TimerHandle] = {}
        self._return_tasks: set[Task[None]] = set()
        self.budgets: EntryBudgets | None = None

    def start_borrowing(self, budget: str) -> None:
        """Start a borrowing round unless one runs or is backing off.

        A round is urgent if requests wait for tokens.  Urgent rounds
        have their own backoff, so they are not delayed by that of other
        rounds, and they are started as soon as it ends.
        """
        if budget in self._borrow_tasks:
            return
        is_urgent = self.budgets.count_waiting(budget) > 0
        backoff = self._backoffs.setdefault(
            _BackoffKey(budget, is_urgent), BorrowBackoff()
        )
        delay_s = backoff.get_remaining_pause(read_monotonic())
        if delay_s > 0:
            if is_urgent:
                self._schedule_borrowing(budget, delay_s)
            return
        task = create_task(self._run_borrowing_round(budget, backoff))
        self._borrow_tasks[budget] = task
        task.add_done_callback(lambda _: self._end_borrowing_round(budget))

    def _schedule_borrowing(self, budget: str, delay_s: float) -> None:
        if budget not in self._backoff_timers:
            loop = get_running_loop()
            timer = loop.call_later(delay_s, self._resume_borrowing, budget)
            self._backoff_timers[budget] = timer

    def _resume_borrowing(self, budget: str) -> None:
        self._backoff_timers.pop(budget, None)
        if self.budgets.count_waiting(budget):
            self.start_borrowing(budget)

    def _end_borrowing_round(self, budget: str) -> None:
        self._borrow_tasks.pop(budget, None)
        if self.budgets.count_waiting(budget):
            self.start_borrowing(budget)

    def return_idle(self) -> None:
        """Return all loans that the current demand does not need."""
        for budget in list(self.budgets.rates):
            self.return_idle_for(budget)

    def return_idle_for(self, budget: str) -> None:
        """Return the loans of one budget that its demand does not need."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send_returns(share.return_idle(read_monotonic()))

    def return_spent(self, budget: str) -> None:
        """Return the loans of one budget whose tokens are spent."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send_returns(share.return_spent(read_monotonic()))

    async def return_all(self) -> None:
        """Return all loans before a planned stop; wait until they are sent."""
        for share in list(self.budgets.rates.values()):
            self._send_returns(share.return_all(read_monotonic()))
        if self._return_tasks:
            await wait(set(self._return_tasks))

    def _send_returns(self, returned: list[ReturnToLender]) -> None:
        for returned_loan in returned:
            sending = self._peers.return_loan(
                returned_loan.lender, returned_loan.message
            )
            task = create_task(sending)
            self._return_tasks.add(task)
            task.add_done_callback(self._return_tasks.discard)

    def close(self) -> None:
        """Cancel the rounds and returns that are running or scheduled."""
        for timer in self._backoff_timers.values():
            timer.cancel()
        for task in (*self._borrow_tasks.values(), *self._return_tasks):
            task.cancel()

    async def _run_borrowing_round(
        self, budget: str, backoff: BorrowBackoff
    ) -> None:
        loan_count = 0
        for peer in self._list_lenders():
            if not self.budgets.needs_loan(budget):
                break
            loan_count += await self._borrow_from(peer, budget)
        backoff.record_round(read_monotonic(), loan_count > 0)

    async def _borrow_from(self, peer: Peer, budget: str) -> int:
        share = self.budgets.rates[budget]
        address = peer.entry.peer_address
        waiting = self.budgets.count_waiting(budget)
        request = share.build_request(address, read_monotonic(), waiting)
        if request is None:
            return 0
        loan = await self._peers.borrow(address, request)
        if loan is None or not share.accept(loan, read_monotonic()):
            share.cancel_request(request.loan_id)
            return 0
        self._metrics.count("budgets.loans")
        self.budgets.wake(budget)
        return 1

    def _list_lenders(self) -> list[Peer]:
        """Return the peers in random order, own region first."""
        peers = [
            peer
            for peer in self._snapshot.peers
            if peer.entry.phase in ("serving", "leaving")
        ]
        self._random.shuffle(peers)
        peers.sort(key=lambda peer: peer.region != self._region)
        return peers
