"""Borrows from peers when a share runs low, and returns idle loans."""

from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from asyncio import wait
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.metrics import Metrics
from gypsummount._core.loans import LoanReturn
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.peers import PeerCalls
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.snapshot import Snapshot

FIRST_PAUSE_S = 0.02
LONGEST_RECENT_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
RECENT_S = 2.0


class Borrower:
    """Runs at most one round of borrowing for each budget."""

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
        self._pauses: dict[str, float] = {}
        self._lent_at: dict[str, float] = {}
        self._returns: set[Task[None]] = set()
        self.budgets: EntryBudgets | None = None

    def pull(self, budget: str) -> None:
        """Start a round unless one is under way."""
        if budget in self._rounds:
            return
        task = create_task(self._run_round(budget))
        self._rounds[budget] = task
        task.add_done_callback(lambda _: self._rounds.pop(budget, None))

    def return_idle(self) -> None:
        """Return every loan that the demand no longer needs."""
        for budget in list(self.budgets.rates):
            self.return_idle_of(budget)

    def return_idle_of(self, budget: str) -> None:
        """Return the loans of one budget that are no longer needed."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send(share.return_idle(read_monotonic()))

    def settle(self, budget: str) -> None:
        """Return the loans whose tokens were spent just now."""
        share = self.budgets.rates.get(budget)
        if share is not None:
            self._send(share.return_spent(read_monotonic()))

    async def return_all(self) -> None:
        """Return every loan, for a planned stop."""
        for share in list(self.budgets.rates.values()):
            self._send(share.return_all(read_monotonic()))
        if self._returns:
            await wait(set(self._returns))

    def _send(self, returned: list[tuple[str, LoanReturn]]) -> None:
        for lender, message in returned:
            task = create_task(self._peers.return_loan(lender, message))
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)

    def close(self) -> None:
        """Cancel the rounds under way."""
        for task in (*self._rounds.values(), *self._returns):
            task.cancel()

    async def _run_round(self, budget: str) -> None:
        lent = 0
        for peer in self._list_lenders():
            if not self.budgets.needs_loan(budget):
                break
            lent += await self._borrow_from(peer, budget)
        await sleep(self._find_pause(budget, lent))

    def _find_pause(self, budget: str, lent: int) -> float:
        """Return the pause after a round, in seconds.

        It grows while nobody lends, but little at first: a request
        waits for less than half a second.
        """
        now = read_monotonic()
        if lent:
            self._lent_at[budget] = now
            self._pauses[budget] = FIRST_PAUSE_S
            return FIRST_PAUSE_S
        is_recent = now - self._lent_at.get(budget, 0.0) < RECENT_S
        longest_s = LONGEST_RECENT_PAUSE_S if is_recent else LONGEST_PAUSE_S
        last_s = self._pauses.get(budget, FIRST_PAUSE_S)
        self._pauses[budget] = min(last_s * 2, longest_s)
        return self._pauses[budget]

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
        peers = [
            peer
            for peer in self._snapshot.peers
            if peer.entry.phase in ("serving", "leaving")
        ]
        self._random.shuffle(peers)
        peers.sort(key=lambda peer: peer.region != self._region)
        return peers
