"""Borrows from peers when a share runs low, and returns idle loans."""

from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.metrics import Metrics
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.peers import PeerCalls
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.snapshot import Snapshot

FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5


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
        self.budgets: EntryBudgets | None = None

    def pull(self, budget: str) -> None:
        """Start a round unless one is under way."""
        if budget in self._rounds:
            return
        task = create_task(self._run_round(budget))
        self._rounds[budget] = task
        task.add_done_callback(lambda _: self._rounds.pop(budget, None))

    async def return_idle(self, *, all_of_it: bool = False) -> None:
        """Return the loans that the demand no longer needs."""
        for share in list(self.budgets.rates.values()):
            now = read_monotonic()
            if all_of_it:
                returned = share.return_all(now)
            else:
                returned = share.return_idle(now)
            for lender, message in returned:
                await self._peers.return_loan(lender, message)

    def close(self) -> None:
        """Cancel the rounds under way."""
        for task in list(self._rounds.values()):
            task.cancel()

    async def _run_round(self, budget: str) -> None:
        lent = 0
        for peer in self._list_lenders():
            share = self.budgets.rates.get(budget)
            total = self.budgets.find_total(budget)
            if share is None or total is None:
                break
            if not share.is_low(read_monotonic()):
                break
            lent += await self._borrow_from(peer, budget)
        pause_s = FIRST_PAUSE_S
        if not lent:
            last_s = self._pauses.get(budget, FIRST_PAUSE_S)
            pause_s = min(last_s * 2, LONGEST_PAUSE_S)
        self._pauses[budget] = pause_s
        await sleep(pause_s)

    async def _borrow_from(self, peer: Peer, budget: str) -> int:
        share = self.budgets.rates[budget]
        total = self.budgets.find_total(budget)
        address = peer.entry.peer_address
        request = share.build_request(address, total, read_monotonic())
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
