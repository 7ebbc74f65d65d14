"""The ledger of a group of budgets: which holder owns which share.

The ledger is one object of the store and changes only by
compare-and-set.  For each budget, the sum of the granted shares never
exceeds the budget: a holder is granted only what no other holder has,
and a lowered target frees the difference only when the holder has
confirmed it.  Rate shares are multiples of a fixed quantum, so that
transfers are exact and the ledger converges.  The share of a dead
holder stays reserved until every loan and request that it made has
ended.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from gypsummount._core.amounts import Amount
from gypsummount._core.amounts import EPSILON
from gypsummount._core.amounts import sum_amounts
from gypsummount._core.amounts import ZERO


class BudgetKind(Enum):
    """How a budget is divided."""

    RATE = "rate"
    SLOTS = "slots"


class HolderState(Enum):
    """State of a holder in the ledger.

    A replaced holder was succeeded by a process at the same address; a
    gone holder's instance is known to be gone.
    """

    ACTIVE = "active"
    REPLACED = "replaced"
    GONE = "gone"


@dataclass(slots=True)
class Holder:
    """A process that owns shares of budgets.

    ``endpoint`` is its instance and port.  A process that has bound the
    port proves that the previous holder with that endpoint is dead.
    """

    name: str
    instance: str
    endpoint: str
    state: HolderState = HolderState.ACTIVE

    def copy(self) -> "Holder":
        """Return a copy whose state can change separately."""
        return Holder(self.name, self.instance, self.endpoint, self.state)


@dataclass(slots=True)
class Account:
    """The granted and the target amount of a holder for one budget.

    The holder may use the granted amount, which approaches the target as
    other holders confirm lower amounts.

    ``changed_seq`` is the sequence number of the ledger when either was
    last changed.  A confirmation that names this number or a later one
    was made with knowledge of the change.
    """

    granted: Amount = ZERO
    target: Amount = ZERO
    changed_seq: int = 0

    def copy(self) -> "Account":
        """Return a copy; amounts are immutable, so they are shared."""
        return Account(self.granted, self.target, self.changed_seq)

    def set_granted(self, granted: Amount, seq: int) -> None:
        """Set the granted amount and record a change."""
        if granted != self.granted:
            self.granted = granted
            self.changed_seq = seq

    def set_target(self, target: Amount, seq: int) -> None:
        """Set the target amount and record a change."""
        if target != self.target:
            self.target = target
            self.changed_seq = seq


@dataclass(slots=True)
class Budget:
    """A budget, its total, and its accounts by name of the holder."""

    name: str
    kind: BudgetKind
    total: Amount
    accounts: dict[str, Account] = field(default_factory=dict)

    def copy(self) -> "Budget":
        """Return a copy with copies of the accounts."""
        accounts = {
            name: account.copy() for name, account in self.accounts.items()
        }
        return Budget(self.name, self.kind, self.total, accounts)

    @property
    def granted(self) -> Amount:
        """Return the sum of the granted amounts."""
        return sum_amounts(
            [account.granted for account in self.accounts.values()]
        )


@dataclass(slots=True)
class Ledger:
    """All budgets of a group with their holders."""

    scope: str
    seq: int = 0
    config_serial: int = 0
    holders: dict[str, Holder] = field(default_factory=dict)
    budgets: dict[str, Budget] = field(default_factory=dict)

    def copy(self) -> "Ledger":
        """Return a deep copy with the next sequence number."""
        return Ledger(
            self.scope,
            self.seq + 1,
            self.config_serial,
            {name: holder.copy() for name, holder in self.holders.items()},
            {name: budget.copy() for name, budget in self.budgets.items()},
        )

    def set_totals(
        self, kind: BudgetKind, totals: dict[str, Amount], serial: int
    ) -> bool:
        """Apply the totals of a configuration.

        A budget without a total is set to zero.  Return False, without
        any change, unless the serial is newer than the known one.
        """
        if serial <= self.config_serial:
            return False
        self.config_serial = serial
        for name, total in totals.items():
            budget = self.budgets.get(name)
            if budget is None:
                self.budgets[name] = Budget(name, kind, total)
            else:
                budget.total = total
        for name, budget in self.budgets.items():
            if name not in totals:
                budget.total = ZERO
        return True

    def join(self, holder: Holder) -> None:
        """Add a holder; mark earlier ones with its endpoint as replaced.

        They are dead, since the new holder has bound their port.
        """
        for other in self.holders.values():
            is_same_endpoint = other.endpoint == holder.endpoint
            if is_same_endpoint and other.name != holder.name:
                if other.state is HolderState.ACTIVE:
                    other.state = HolderState.REPLACED
        self.holders[holder.name] = holder

    def mark_gone(self, name: str) -> None:
        """Mark an active holder whose instance is known to be gone."""
        holder = self.holders.get(name)
        if holder is not None and holder.state is HolderState.ACTIVE:
            holder.state = HolderState.GONE

    def remove(self, name: str) -> None:
        """Remove a holder all of whose loans and requests have ended."""
        self.holders.pop(name, None)
        for budget in self.budgets.values():
            budget.accounts.pop(name, None)

    def confirm(
        self, holder: str, budget: str, amount: Amount, seq: int
    ) -> bool:
        """Lower a granted amount to what the holder has confirmed.

        ``seq`` is the sequence number of the ledger that the holder
        knew.  Return False if the account was changed after that, or if
        the amount exceeds the granted one.
        """
        known_budget = self.budgets.get(budget)
        account = known_budget.accounts.get(holder) if known_budget else None
        if account is None or seq < account.changed_seq:
            return False
        if not amount.fits(account.granted):
            return False
        account.set_granted(amount, self.seq)
        return True

    def distribute(self) -> None:
        """Set the targets, and grant what no holder of a budget has."""
        active = sorted(
            holder.name
            for holder in self.holders.values()
            if holder.state is HolderState.ACTIVE
        )
        for budget in list(self.budgets.values()):
            _set_targets(budget, active, self.seq)
            _grant_unallocated(budget, self.seq)
            if budget.total.is_zero and budget.granted.is_zero:
                del self.budgets[budget.name]


def _set_targets(budget: Budget, active: list[str], seq: int) -> None:
    for name, account in budget.accounts.items():
        if name not in active:
            account.set_target(ZERO, seq)
    for index, name in enumerate(active):
        account = budget.accounts.setdefault(name, Account())
        target = _compute_target(budget, index, len(active))
        account.set_target(target, seq)
    for name in list(budget.accounts):
        if name not in active and budget.accounts[name].granted.is_zero:
            del budget.accounts[name]


def _compute_target(budget: Budget, index: int, count: int) -> Amount:
    if budget.kind is BudgetKind.RATE:
        return budget.total.scale(1 / count).round_down()
    slots = int(budget.total.burst)
    # The offset gives the remainders of different budgets to different
    # holders.
    offset = sum(map(ord, budget.name))
    position = (index + offset) % count
    base, remainder = divmod(slots, count)
    return Amount(0.0, float(base + (1 if position < remainder else 0)))


def _grant_unallocated(budget: Budget, seq: int) -> None:
    unallocated = (budget.total.round_down() - budget.granted).clip()
    for account in budget.accounts.values():
        missing = (account.target - account.granted).clip()
        added = missing.cap(unallocated)
        if added.rate <= EPSILON and added.burst <= EPSILON:
            continue
        account.set_granted(account.granted + added, seq)
        unallocated = (unallocated - added).clip()
