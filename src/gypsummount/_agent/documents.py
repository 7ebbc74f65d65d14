"""The system's objects in the store, as JSON documents."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from json import loads

from gypsummount._core.amounts import Amount
from gypsummount._core.keys import KeyRecord
from gypsummount._core.ledger import Account
from gypsummount._core.ledger import Budget
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import HolderState
from gypsummount._core.ledger import Ledger
from gypsummount._core.rollouts import RolloutState


@dataclass(slots=True)
class ConfigDocument:
    """A configuration; ``writer`` identifies the apply that wrote it."""

    serial: int = 0
    writer: str = ""
    text: str = ""


@dataclass(slots=True)
class KeysDocument:
    """All granted keys; the serial rises with every change."""

    serial: int = 0
    writer: str = ""
    records: list[KeyRecord] = field(default_factory=list)


@dataclass(slots=True)
class DrainsDocument:
    """Upstream servers that operators are draining."""

    serial: int = 0
    servers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RolloutsDocument:
    """The state of every rollout that was ever started."""

    serial: int = 0
    writer: str = ""
    states: list[RolloutState] = field(default_factory=list)

    def find(self, name: str) -> RolloutState:
        """Return the state of a rollout, idle when unknown."""
        for state in self.states:
            if state.name == name:
                return state
        return RolloutState(name)

    def put(self, state: RolloutState) -> None:
        """Replace the state of a rollout."""
        others = [known for known in self.states if known.name != state.name]
        self.states = [*others, state]


def read_config(value: bytes | None) -> ConfigDocument:
    """Return the configuration of an object; empty if absent."""
    return ConfigDocument(**loads(value)) if value else ConfigDocument()


def read_keys(value: bytes | None) -> KeysDocument:
    """Return the keys of an object; empty if absent."""
    if not value:
        return KeysDocument()
    raw = loads(value)
    records = [KeyRecord(**row) for row in raw["records"]]
    return KeysDocument(raw["serial"], raw["writer"], records)


def read_drains(value: bytes | None) -> DrainsDocument:
    """Return the drains of an object; empty if absent."""
    return DrainsDocument(**loads(value)) if value else DrainsDocument()


def read_rollouts(value: bytes | None) -> RolloutsDocument:
    """Return the rollouts of an object; empty if absent."""
    if not value:
        return RolloutsDocument()
    raw = loads(value)
    states = [RolloutState(**row) for row in raw["states"]]
    return RolloutsDocument(raw["serial"], raw["writer"], states)


Document = ConfigDocument | KeysDocument | DrainsDocument | RolloutsDocument


def write_document(document: Document) -> bytes:
    """Return the JSON bytes of a document."""
    return dumps(asdict(document)).encode()


def read_ledger(scope: str, value: bytes | None) -> Ledger:
    """Return the ledger of an object; empty if absent."""
    if not value:
        return Ledger(scope)
    raw = loads(value)
    ledger = Ledger(scope, raw["seq"], raw["config_serial"])
    for name, row in raw["holders"].items():
        state = HolderState(row[2])
        ledger.holders[name] = Holder(name, row[0], row[1], state)
    for name, row in raw["budgets"].items():
        ledger.budgets[name] = _read_budget(name, row)
    return ledger


def write_ledger(ledger: Ledger) -> bytes:
    """Return the JSON bytes of a ledger, compact and sorted."""
    raw = {
        "seq": ledger.seq,
        "config_serial": ledger.config_serial,
        "holders": {
            holder.name: [holder.instance, holder.place, holder.state.value]
            for holder in ledger.holders.values()
        },
        "budgets": {
            budget.name: _write_budget(budget)
            for budget in ledger.budgets.values()
        },
    }
    return dumps(raw, separators=(",", ":"), sort_keys=True).encode()


def _read_budget(name: str, row: list) -> Budget:
    kind, rate, burst, accounts = row
    budget = Budget(name, BudgetKind(kind), Amount(rate, burst))
    for holder, cells in accounts.items():
        granted = Amount(cells[0], cells[1])
        target = Amount(cells[2], cells[3])
        budget.accounts[holder] = Account(granted, target, cells[4])
    return budget


def _write_budget(budget: Budget) -> list:
    accounts = {
        holder: [
            account.granted.rate,
            account.granted.burst,
            account.target.rate,
            account.target.burst,
            account.changed_seq,
        ]
        for holder, account in budget.accounts.items()
    }
    return [
        budget.kind.value,
        budget.total.rate,
        budget.total.burst,
        accounts,
    ]
