"""Encodes and decodes the objects in the store as JSON."""

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
    """A configuration; ``writer`` identifies the request that wrote it."""

    serial: int = 0
    writer: str = ""
    text: str = ""


@dataclass(slots=True)
class KeysDocument:
    """All granted keys; ``serial`` increases with every change."""

    serial: int = 0
    writer: str = ""
    records: list[KeyRecord] = field(default_factory=list)


@dataclass(slots=True)
class DrainsDocument:
    """Addresses of the upstreams that operators are draining."""

    serial: int = 0
    servers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RolloutsDocument:
    """The state of every rollout that was ever started; none is removed."""

    serial: int = 0
    writer: str = ""
    states: list[RolloutState] = field(default_factory=list)

    def get_state(self, name: str) -> RolloutState:
        """Return the state of a rollout, or an idle one if there is none."""
        for state in self.states:
            if state.name == name:
                return state
        return RolloutState(name)

    def set_state(self, state: RolloutState) -> None:
        """Add the state of a rollout, replacing an earlier one."""
        others = [known for known in self.states if known.name != state.name]
        self.states = [*others, state]


def decode_config(value: bytes | None) -> ConfigDocument:
    """Decode the configuration; without a value it is empty."""
    return ConfigDocument(**loads(value)) if value else ConfigDocument()


def decode_keys(value: bytes | None) -> KeysDocument:
    """Decode the granted keys; without a value there are none."""
    if not value:
        return KeysDocument()
    raw = loads(value)
    records = [KeyRecord(**row) for row in raw["records"]]
    return KeysDocument(raw["serial"], raw["writer"], records)


def decode_drains(value: bytes | None) -> DrainsDocument:
    """Decode the drains; without a value there are none."""
    return DrainsDocument(**loads(value)) if value else DrainsDocument()


def decode_rollouts(value: bytes | None) -> RolloutsDocument:
    """Decode the states of rollouts; without a value there are none."""
    if not value:
        return RolloutsDocument()
    raw = loads(value)
    states = [RolloutState(**row) for row in raw["states"]]
    return RolloutsDocument(raw["serial"], raw["writer"], states)


Document = ConfigDocument | KeysDocument | DrainsDocument | RolloutsDocument


def encode_document(document: Document) -> bytes:
    """Encode a document as JSON."""
    return dumps(asdict(document)).encode()


def decode_ledger(scope: str, value: bytes | None) -> Ledger:
    """Decode the ledger of a scope; without a value it is empty."""
    if not value:
        return Ledger(scope)
    raw = loads(value)
    ledger = Ledger(scope, raw["seq"], raw["config_serial"])
    for name, row in raw["holders"].items():
        state = HolderState(row[2])
        ledger.holders[name] = Holder(name, row[0], row[1], state)
    for name, row in raw["budgets"].items():
        ledger.budgets[name] = _decode_budget(name, row)
    return ledger


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger as compact JSON with sorted keys."""
    raw = {
        "seq": ledger.seq,
        "config_serial": ledger.config_serial,
        "holders": {
            holder.name: [holder.instance, holder.endpoint, holder.state.value]
            for holder in ledger.holders.values()
        },
        "budgets": {
            budget.name: _encode_budget(budget)
            for budget in ledger.budgets.values()
        },
    }
    return dumps(raw, separators=(",", ":"), sort_keys=True).encode()


def _decode_budget(name: str, row: list) -> Budget:
    kind, rate, burst, accounts = row
    budget = Budget(name, BudgetKind(kind), Amount(rate, burst))
    for holder, cells in accounts.items():
        granted = Amount(cells[0], cells[1])
        target = Amount(cells[2], cells[3])
        budget.accounts[holder] = Account(granted, target, cells[4])
    return budget


def _encode_budget(budget: Budget) -> list:
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
