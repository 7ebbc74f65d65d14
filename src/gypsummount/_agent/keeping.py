"""Reconciles the ledgers in the store.

Adds entries as holders, applies their confirmations, recovers the
shares of dead holders and distributes the budgets.
"""

from dataclasses import dataclass

from gypsummount._agent.documents import read_ledger
from gypsummount._agent.documents import write_ledger
from gypsummount._agent.state import AgentState
from gypsummount._agent.state import AttachedEntry
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.wire import unpack_amount
from gypsummount._config.model import RuleSet
from gypsummount._core.amounts import Amount
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import HolderState
from gypsummount._core.ledger import Ledger
from gypsummount._core.loans import LOAN_HOLD_S
from gypsummount._core.naming import name_ledger_object
from gypsummount._core.naming import name_links_scope
from gypsummount._core.naming import name_slots_scope
from gypsummount._core.naming import WORKSPACES_SCOPE
from gypsummount._core.totals import list_link_totals
from gypsummount._core.totals import list_slot_totals
from gypsummount._core.totals import list_workspace_totals
from gypsummount._store.base import Store
from gypsummount._store.updates import update_object
from gypsummount.errors import StoreError

# Added to the longest request timeout before the slots of an inactive
# holder are granted to others.
SLOT_MARGIN_S = 1.0

_log = get_logger("ledger")


@dataclass(slots=True, frozen=True)
class _Ghost:
    """A replaced or gone holder that a ledger still lists."""

    scope: str
    holder: str


@dataclass(slots=True, frozen=True)
class _EntryStanding:
    """The state of one entry, as far as ledgers depend on it."""

    holder: str
    phase: str
    is_fresh: bool
    retired: bool


@dataclass(slots=True, frozen=True)
class _Basis:
    """The inputs of a ledger's next state, while no timer is running."""

    seq: int
    config_serial: int
    entries: tuple[_EntryStanding, ...]


class LedgerKeeper:
    """Reconciles the ledgers in which this instance holds shares.

    Any agent may write any change of a ledger.  When several write at
    once, compare-and-set in the store lets only one succeed.
    """

    def __init__(self, state: AgentState, store: Store) -> None:
        self._state = state
        self._store = store
        self._ghosts: dict[_Ghost, float] = {}
        self._settled: dict[str, _Basis] = {}

    def list_scopes(self) -> list[str]:
        """Return the scopes of this instance's ledgers.

        These are the workspaces, the links that leave its region, and
        the slots of its failure domain.
        """
        settings = self._state.settings
        return [
            WORKSPACES_SCOPE,
            name_links_scope(settings.region),
            name_slots_scope(settings.domain),
        ]

    async def reconcile(self) -> None:
        """Write each ledger that needs a change.

        Nothing is written before the first configuration is known.
        """
        if self._state.config.serial == 0:
            return
        for scope in self.list_scopes():
            try:
                await self._reconcile_scope(scope)
            except StoreError as error:
                if self._state.note_no_contact():
                    _log.warning("Lost the store: %s", error)

    async def _reconcile_scope(self, scope: str) -> None:
        known = self._state.ledgers.get(scope)
        if known is not None:
            self._note_ghosts(known.ledger)
            if self._is_settled(known.ledger):
                await self._reread_after_pause(scope, known.read_at)
                return
        began = read_monotonic()

        def change(value: bytes | None) -> bytes | None:
            following = self._build_next(read_ledger(scope, value))
            return write_ledger(following) if following else None

        written = await update_object(
            self._store, name_ledger_object(scope), change
        )
        self._state.note_contact()
        ledger = read_ledger(scope, written.value)
        if written.changed and known is not None:
            _report_recovery(known.ledger, ledger)
        self._state.take_ledger(ledger, began)

    async def _reread_after_pause(self, scope: str, read_at: float) -> None:
        """Read a ledger again if an entry was suspended since its read.

        A suspended entry uses its shares again only after it received
        a ledger that was read later.
        """
        paused = any(
            entry.suspended_at >= read_at
            for entry in self._state.list_fresh_entries()
        )
        if not paused:
            return
        began = read_monotonic()
        found = await self._store.get(name_ledger_object(scope))
        if found is not None:
            self._state.note_contact()
            self._state.take_ledger(read_ledger(scope, found.value), began)

    def _is_settled(self, ledger: Ledger) -> bool:
        """Tell whether the ledger needs no change.

        The inputs of a positive result are kept, so that it is not
        computed again while they stay the same.
        """
        basis = self._find_basis(ledger)
        if basis is not None and self._settled.get(ledger.scope) == basis:
            return True
        if self._build_next(ledger) is not None:
            return False
        if basis is not None:
            self._settled[ledger.scope] = basis
        return True

    def _find_basis(self, ledger: Ledger) -> _Basis | None:
        """Return the inputs of a ledger's next state.

        Returns None while the next state also depends on the time or
        on confirmations of entries.
        """
        entries = self._state.entries.values()
        confirms = any(entry.report.confirmations for entry in entries)
        if confirms or self._state.gone_since or self._ghosts:
            return None
        fresh = {entry.holder for entry in self._state.list_fresh_entries()}
        standings = tuple(
            _EntryStanding(
                entry.holder,
                entry.report.entry.phase,
                entry.holder in fresh,
                entry.report.retired,
            )
            for entry in entries
        )
        return _Basis(ledger.seq, self._state.config.serial, standings)

    def _build_next(self, ledger: Ledger) -> Ledger | None:
        """Return the next state of a ledger, or None without a change."""
        following = ledger.copy()
        self._take_totals(following)
        self._add_and_remove(following)
        self._confirm(following)
        self._mark_gone(following)
        self._remove_ghosts(following)
        following.distribute()
        following.seq = ledger.seq
        if following == ledger:
            return None
        following.seq += 1
        return following

    def _take_totals(self, ledger: Ledger) -> None:
        rules = self._state.rules
        serial = self._state.config.serial
        kind, totals = self._find_totals(ledger.scope, rules)
        ledger.set_totals(kind, totals, serial)

    def _find_totals(
        self, scope: str, rules: RuleSet
    ) -> tuple[BudgetKind, dict[str, Amount]]:
        settings = self._state.settings
        if scope == WORKSPACES_SCOPE:
            return BudgetKind.RATE, list_workspace_totals(rules)
        if scope == name_links_scope(settings.region):
            totals = list_link_totals(rules, settings.region)
            return BudgetKind.RATE, totals
        return BudgetKind.SLOTS, list_slot_totals(rules, settings.domain)

    def _add_and_remove(self, ledger: Ledger) -> None:
        for entry in self._state.list_fresh_entries():
            if entry.report.entry.phase == "leaving":
                continue
            known = ledger.holders.get(entry.holder)
            if known is None or known.state is not HolderState.ACTIVE:
                ledger.join(self._build_holder(entry))
        for entry in self._state.entries.values():
            if entry.report.retired:
                ledger.remove(entry.holder)

    def _build_holder(self, entry: AttachedEntry) -> Holder:
        instance = self._state.settings.instance
        return Holder(entry.holder, instance, entry.report.place)

    def _confirm(self, ledger: Ledger) -> None:
        for entry in self._state.list_fresh_entries():
            for message in entry.report.confirmations:
                if message.scope == ledger.scope:
                    ledger.confirm(
                        entry.holder,
                        message.budget,
                        unpack_amount(message.amount),
                        message.seq,
                    )

    def _mark_gone(self, ledger: Ledger) -> None:
        """Mark holders whose instance has been off the live list too long."""
        now = read_monotonic()
        lag_s = self._state.settings.live_lag_s
        for holder in list(ledger.holders.values()):
            since = self._state.gone_since.get(holder.instance)
            if since is not None and now - since >= lag_s:
                ledger.mark_gone(holder.name)

    def _note_ghosts(self, ledger: Ledger) -> None:
        """Record when each inactive holder was first seen inactive."""
        now = read_monotonic()
        present = {
            _Ghost(ledger.scope, holder.name)
            for holder in ledger.holders.values()
            if holder.state is not HolderState.ACTIVE
        }
        for ghost in present:
            self._ghosts.setdefault(ghost, now)
        for ghost in list(self._ghosts):
            if ghost.scope == ledger.scope and ghost not in present:
                del self._ghosts[ghost]

    def _remove_ghosts(self, ledger: Ledger) -> None:
        now = read_monotonic()
        hold_s = self._find_hold(ledger.scope)
        for holder in list(ledger.holders.values()):
            if holder.state is HolderState.ACTIVE:
                continue
            since = self._ghosts.get(_Ghost(ledger.scope, holder.name))
            if since is not None and now - since >= hold_s:
                ledger.remove(holder.name)

    def _find_hold(self, scope: str) -> float:
        """Return how long (s) the shares of an inactive holder stay reserved.

        Rates wait until every loan of the holder has ended, slots until
        every request that it may have sent has timed out.
        """
        if scope != name_slots_scope(self._state.settings.domain):
            return LOAN_HOLD_S
        timeouts = [
            service.timeout_s
            for service in self._state.rules.services.values()
        ]
        return max(timeouts, default=0.0) + SLOT_MARGIN_S


def _report_recovery(before: Ledger, after: Ledger) -> None:
    for holder in before.holders.values():
        if holder.name in after.holders:
            continue
        if holder.state is not HolderState.ACTIVE:
            _log.info(
                "Recovered the shares of %s in %s.",
                holder.place,
                before.scope,
            )
