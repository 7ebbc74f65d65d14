"""Model of budget holders over a faulty network, in virtual time."""

from dataclasses import dataclass
from dataclasses import field

from gypsummount._core.amounts import Amount
from gypsummount._core.amounts import EPSILON
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import HolderState
from gypsummount._core.ledger import Ledger
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import Loan
from gypsummount._core.loans import LOAN_HOLD_S
from gypsummount._core.loans import LoanReturn
from gypsummount._core.pauses import PauseGate
from gypsummount._core.shares import RateShare

BUDGET = "workspace:w"
TOLERANCE = 1e-6


@dataclass(slots=True)
class CentralBucket:
    """The reference: one central bucket for all spending."""

    rate: float
    burst: float
    level: float
    refilled_at: float

    def set_total(self, total: Amount, now: float) -> None:
        self.refill(now)
        self.level = min(self.level, total.burst)
        self.rate, self.burst = total.rate, total.burst

    def refill(self, now: float) -> None:
        accrued = (now - self.refilled_at) * self.rate
        self.level = min(self.burst, self.level + accrued)
        self.refilled_at = now

    def try_spend(self, now: float) -> bool:
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class LedgerView:
    """The part of a ledger that is sent to one holder.

    ``pauses`` is the number of the holder's pauses known to the reader.
    """

    seq: int
    granted: Amount
    target: Amount
    pauses: int


Payload = BorrowRequest | Loan | LoanReturn | LedgerView


@dataclass(slots=True)
class Packet:
    """A message in transit between two holders, or from the ledger."""

    source: str
    target: str
    payload: Payload


@dataclass(slots=True)
class Process:
    """A holder's process with the newest ledger view that it received."""

    name: str
    place: str
    share: RateShare
    seq: int = -1
    view: LedgerView | None = None
    is_alive: bool = True
    gate: PauseGate = field(default_factory=PauseGate)

    def advance(self, now: float) -> None:
        self.share.advance(now)
        self.gate.record(self.share.is_suspended)


@dataclass(slots=True)
class BudgetModel:
    """Holders, the ledger and the network between them."""

    total: Amount
    now: float = 0.0
    ledger: Ledger = field(default_factory=lambda: Ledger("workspaces"))
    processes: dict[str, Process] = field(default_factory=dict)
    network: list[Packet] = field(default_factory=list)
    dead_since: dict[str, float] = field(default_factory=dict)
    serial: int = 0
    created_count: int = 0
    waiting: float = 0.0

    def set_total(self, total: Amount) -> None:
        self.total = total
        self.serial += 1
        updated = self.ledger.copy()
        totals = {BUDGET: total}
        updated.set_totals(BudgetKind.RATE, totals, self.serial)
        self._write(updated)

    def add(self, place: str) -> Process:
        self.created_count += 1
        name = f"{place}.{self.created_count}"
        for process in self.processes.values():
            if process.place == place:
                process.is_alive = False
        share = RateShare(BUDGET, name, self.now)
        process = Process(name, place, share)
        self.processes[name] = process
        updated = self.ledger.copy()
        updated.join(Holder(name, place, place))
        self._write(updated)
        return process

    def tell(self, name: str) -> None:
        """Send the holder's part of the current ledger."""
        account = self.ledger.budgets[BUDGET].accounts.get(name)
        if account is None:
            return
        process = self.processes[name]
        process.advance(self.now)
        view = LedgerView(
            self.ledger.seq,
            account.granted,
            account.target,
            process.gate.count,
        )
        self.network.append(Packet("ledger", name, view))

    def confirm(self, name: str, seq: int, amount: Amount) -> None:
        updated = self.ledger.copy()
        if updated.confirm(name, BUDGET, amount, seq):
            self._write(updated)

    def confirm_if_ready(self, process: Process) -> None:
        view = process.view
        if view is None or not process.is_alive:
            return
        lowered = view.granted.cap(view.target)
        if not view.granted.fits(lowered) and process.share.can_confirm():
            self.confirm(process.name, view.seq, lowered)

    def declare_gone(self, name: str) -> None:
        updated = self.ledger.copy()
        updated.mark_gone(name)
        self._write(updated)

    def recover(self) -> None:
        """Remove dead holders after the loan hold time, as an agent does."""
        for holder in list(self.ledger.holders.values()):
            if holder.state is HolderState.ACTIVE:
                continue
            since = self.dead_since.setdefault(holder.name, self.now)
            if self.now - since >= LOAN_HOLD_S:
                updated = self.ledger.copy()
                updated.remove(holder.name)
                self._write(updated)

    def borrow(self, borrower: Process, lender: Process) -> None:
        request = borrower.share.build_request(
            lender.name, self.now, self.waiting
        )
        if request is not None:
            packet = Packet(borrower.name, lender.name, request)
            self.network.append(packet)

    def return_idle(self, process: Process) -> None:
        for returned in process.share.return_idle(self.now):
            packet = Packet(process.name, returned.lender, returned.message)
            self.network.append(packet)

    def deliver(self, packet: Packet) -> None:
        process = self.processes.get(packet.target)
        if process is None or not process.is_alive:
            return
        payload = packet.payload
        match payload:
            case BorrowRequest():
                loan = process.share.lend(payload, self.now)
                if loan is not None:
                    self.network.append(
                        Packet(process.name, packet.source, loan)
                    )
            case Loan():
                process.share.accept(payload, self.now)
            case LoanReturn():
                process.share.credit_return(payload, self.now)
            case LedgerView():
                self._apply_view(process, payload)

    def list_alive(self) -> list[Process]:
        return [
            process for process in self.processes.values() if process.is_alive
        ]

    def find_limit(self) -> Amount:
        """Return the budget, or the granted sum while that is larger."""
        granted = self.ledger.budgets[BUDGET].granted
        return Amount(
            max(self.total.rate, granted.rate),
            max(self.total.burst, granted.burst),
        )

    def check_sums(self) -> None:
        """Fail if the holders together can use more than the budget."""
        for process in self.list_alive():
            process.advance(self.now)
        shares = [process.share for process in self.list_alive()]
        limit = self.find_limit()
        rate = sum(share.usable.rate for share in shares)
        burst = sum(share.usable.burst for share in shares)
        level = sum(share.level for share in shares)
        assert rate <= limit.rate + TOLERANCE
        assert burst <= limit.burst + TOLERANCE
        assert level <= limit.burst + TOLERANCE

    def _apply_view(self, process: Process, view: LedgerView) -> None:
        process.advance(self.now)
        if view.seq < process.seq or not process.gate.admits(view.pauses):
            return
        process.seq = view.seq
        process.view = view
        owned = view.granted.cap(view.target)
        process.share.apply_granted(owned, self.now)

    def _write(self, updated: Ledger) -> None:
        updated.distribute()
        self.ledger = updated
        total = updated.budgets.get(BUDGET)
        if total is not None:
            limit = max(total.total.rate, total.granted.rate)
            assert total.granted.rate <= limit + EPSILON
