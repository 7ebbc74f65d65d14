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
from gypsummount._core.loans import ReturnToLender
from gypsummount._core.pacing import Pacing
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.peers import PeerCalls
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.snapshot import Snapshot


@dataclass(slots=True, frozen=True)
class _Kind:
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
        peers: PeerCalls,
        metrics: Metrics,
        region: str,
        random: Random,
    ) -> None:
        self._snapshot = snapshot
        self._peers = peers
        self._metrics = metrics
        self._region = region
        self._random = random
        self._rounds: dict[str, Task[None]] = {}
        self._pacings: dict[_Kind, Pacing] = {}
        self._timers: dict[str, TimerHandle] = {}
        self._returns: set[Task[None]] = set()
        self.budgets: EntryBudgets | None = None

    def pull(self, budget: str) -> None:
        """Start a borrowing round unless one runs or is backing off.

        A round is urgent if requests wait for tokens.  Urgent rounds
        have their own backoff, so they are not delayed by that of other
        rounds, and they are started as soon as it ends.
        """
        if budget in self._rounds:
            return
        urgent = self.budgets.count_waiting(budget) > 0
        pacing = self._pacings.setdefault(_Kind(budget, urgent), Pacing())
        rest_s = pacing.find_rest(read_monotonic())
        if rest_s > 0:
            if urgent:
                self._pull_later(budget, rest_s)
            return
        task = create_task(self._run_round(budget, pacing))
        self._rounds[budget] = task
        task.add_done_callback(lambda _: self._end_round(budget))

    def _pull_later(self, budget: str, rest_s: float) -> None:
        if budget not in self._timers:
            loop = get_running_loop()
            timer = loop.call_later(rest_s, self._pull_again, budget)
            self._timers[budget] = timer

    def _pull_again(self, budget: str) -> None:
        self._timers.pop(budget, None)
        if self.budgets.count_waiting(budget):
            self.pull(budget)

    def _end_round(self, budget: str) -> None:
        self._rounds.pop(budget, None)
        if self.budgets.count_waiting(budget):
            self.pull(budget)

    def return_idle(self) -> None:
        """Return all loans that the current demand does not need."""
        for budget in list(self.budgets.rates):
            self.return_idle_of(budget)

    def return_idle_of(self, budget: str) -> None:
        """Return the loans of one budget that its demand does not need."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send(share.return_idle(read_monotonic()))

    def settle(self, budget: str) -> None:
        """Return the loans of one budget whose tokens are spent."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send(share.return_spent(read_monotonic()))

    async def return_all(self) -> None:
        """Return all loans before a planned stop; wait until they are sent."""
        for share in list(self.budgets.rates.values()):
            self._send(share.return_all(read_monotonic()))
        if self._returns:
            await wait(set(self._returns))

    def _send(self, returned: list[ReturnToLender]) -> None:
        for one in returned:
            sending = self._peers.return_loan(one.lender, one.message)
            task = create_task(sending)
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)

    def close(self) -> None:
        """Cancel the rounds and returns that are running or scheduled."""
        for timer in self._timers.values():
            timer.cancel()
        for task in (*self._rounds.values(), *self._returns):
            task.cancel()

    async def _run_round(self, budget: str, pacing: Pacing) -> None:
        lent = 0
        for peer in self._list_lenders():
            if not self.budgets.needs_loan(budget):
                break
            lent += await self._borrow_from(peer, budget)
        pacing.note_round(read_monotonic(), lent > 0)

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
