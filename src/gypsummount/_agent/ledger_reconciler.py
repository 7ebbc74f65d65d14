"""Reconciles the ledgers in the store.

Adds entries as holders, applies their confirmations, removes inactive
holders to recover their shares, and distributes the budgets.
"""

from dataclasses import dataclass

from gypsummount._agent.documents import decode_ledger
from gypsummount._agent.documents import encode_ledger
from gypsummount._agent.state import AgentState
from gypsummount._agent.state import AttachedEntry
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.peer_messages import unpack_amount
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

# Slots of an inactive holder are granted to others this long after the
# longest request timeout.
SLOT_HOLD_MARGIN_S = 1.0

_log = get_logger("ledger")


@dataclass(slots=True, frozen=True)
class _InactiveHolder:
    """A replaced or gone holder that is still in a ledger."""

    scope: str
    holder: str


@dataclass(slots=True, frozen=True)
class _EntryStatus:
    """The state of one entry, as far as ledgers depend on it.

    ``is_fresh`` is set if its last report is recent, and ``retired`` if
    it has dropped its shares for good.
    """

    holder: str
    phase: str
    is_fresh: bool
    retired: bool


@dataclass(slots=True, frozen=True)
class _LedgerInputs:
    """The inputs of a ledger's next state.

    They determine it when it depends on neither time nor confirmations.
    ``seq`` is the sequence number of the ledger, and ``config_serial``
    the serial of the agent's configuration.
    """

    seq: int
    config_serial: int
    entries: tuple[_EntryStatus, ...]


class LedgerReconciler:
    """Reconciles the ledgers in which this instance holds shares.

    Any agent may write any change of a ledger.  When several write at
    once, compare-and-set in the store lets only one succeed.

    A holder is an incarnation of an entry.  An entry that reports to its
    agent becomes an active holder, unless its phase is "leaving" (its
    planned stop has begun).  An entry that has retired (it has dropped its
    shares at the end of its planned stop) is removed at once.  An active
    holder becomes inactive in two ways: it is replaced when a newer
    process has bound its address, and gone when its instance has been
    missing from the platform's list of instances for too long.  An
    inactive holder is considered dead, but its shares stay reserved until
    every loan and request that it made has ended.
    """

    def __init__(self, state: AgentState, store: Store) -> None:
        self._state = state
        self._store = store
        self._inactive_since: dict[_InactiveHolder, float] = {}
        self._settled_inputs: dict[str, _LedgerInputs] = {}

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
                if self._state.record_store_failure():
                    _log.warning("Lost the store: %s", error)

    async def _reconcile_scope(self, scope: str) -> None:
        known = self._state.ledgers.get(scope)
        if known is not None:
            self._record_inactive(known.ledger)
            if self._is_settled(known.ledger):
                await self._reread_after_suspension(scope, known.read_at)
                return
        started_at = read_monotonic()

        def change(value: bytes | None) -> bytes | None:
            next_ledger = self._compute_next(decode_ledger(scope, value))
            return encode_ledger(next_ledger) if next_ledger else None

        written = await update_object(
            self._store, name_ledger_object(scope), change
        )
        self._state.record_store_answer()
        ledger = decode_ledger(scope, written.value)
        if written.changed and known is not None:
            _log_recovery(known.ledger, ledger)
        self._state.apply_ledger(ledger, started_at)

    async def _reread_after_suspension(
        self, scope: str, read_at: float
    ) -> None:
        """Read a ledger again if an entry was suspended since its read.

        A suspended entry uses its shares again only after it received
        a ledger that was read later.
        """
        was_suspended = any(
            entry.suspensions_reported_at >= read_at
            for entry in self._state.list_fresh_entries()
        )
        if not was_suspended:
            return
        started_at = read_monotonic()
        stored = await self._store.get(name_ledger_object(scope))
        if stored is not None:
            self._state.record_store_answer()
            self._state.apply_ledger(
                decode_ledger(scope, stored.value), started_at
            )

    def _is_settled(self, ledger: Ledger) -> bool:
        """Tell whether the ledger needs no change.

        The inputs of a positive result are kept, so that it is not
        computed again while they stay the same.
        """
        inputs = self._get_inputs(ledger)
        if (
            inputs is not None
            and self._settled_inputs.get(ledger.scope) == inputs
        ):
            return True
        if self._compute_next(ledger) is not None:
            return False
        if inputs is not None:
            self._settled_inputs[ledger.scope] = inputs
        return True

    def _get_inputs(self, ledger: Ledger) -> _LedgerInputs | None:
        """Return the inputs of a ledger's next state.

        Returns None while the next state also depends on the time (an
        instance is missing from the platform's list, or a holder is
        inactive) or on confirmations of entries.
        """
        entries = self._state.entries.values()
        has_confirmations = any(
            entry.report.confirmations for entry in entries
        )
        if (
            has_confirmations
            or self._state.missing_since
            or self._inactive_since
        ):
            return None
        fresh_holders = {
            entry.holder for entry in self._state.list_fresh_entries()
        }
        statuses = tuple(
            _EntryStatus(
                entry.holder,
                entry.report.entry.phase,
                entry.holder in fresh_holders,
                entry.report.retired,
            )
            for entry in entries
        )
        return _LedgerInputs(ledger.seq, self._state.config.serial, statuses)

    def _compute_next(self, ledger: Ledger) -> Ledger | None:
        """Return the next state of a ledger, or None if it needs no change."""
        next_ledger = ledger.copy()
        self._apply_totals(next_ledger)
        self._update_holders(next_ledger)
        self._confirm(next_ledger)
        self._mark_gone(next_ledger)
        self._remove_inactive(next_ledger)
        next_ledger.distribute()
        # The copy has the next sequence number, which is no change by itself.
        next_ledger.seq = ledger.seq
        if next_ledger == ledger:
            return None
        next_ledger.seq += 1
        return next_ledger

    def _apply_totals(self, ledger: Ledger) -> None:
        rules = self._state.rules
        serial = self._state.config.serial
        kind, totals = self._compute_totals(ledger.scope, rules)
        ledger.set_totals(kind, totals, serial)

    def _compute_totals(
        self, scope: str, rules: RuleSet
    ) -> tuple[BudgetKind, dict[str, Amount]]:
        settings = self._state.settings
        if scope == WORKSPACES_SCOPE:
            return BudgetKind.RATE, list_workspace_totals(rules)
        if scope == name_links_scope(settings.region):
            totals = list_link_totals(rules, settings.region)
            return BudgetKind.RATE, totals
        return BudgetKind.SLOTS, list_slot_totals(rules, settings.domain)

    def _update_holders(self, ledger: Ledger) -> None:
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
        # The place that an entry reports is its name, INSTANCE/ADDRESS.
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
        """Mark holders as gone whose instance has been missing too long.

        That is, for ``live_lag_s`` seconds from the platform's list of
        instances.
        """
        now = read_monotonic()
        lag_s = self._state.settings.live_lag_s
        for holder in list(ledger.holders.values()):
            since = self._state.missing_since.get(holder.instance)
            if since is not None and now - since >= lag_s:
                ledger.mark_gone(holder.name)

    def _record_inactive(self, ledger: Ledger) -> None:
        """Record when each inactive holder was first seen inactive."""
        now = read_monotonic()
        current = {
            _InactiveHolder(ledger.scope, holder.name)
            for holder in ledger.holders.values()
            if holder.state is not HolderState.ACTIVE
        }
        for inactive in current:
            self._inactive_since.setdefault(inactive, now)
        for inactive in list(self._inactive_since):
            if inactive.scope == ledger.scope and inactive not in current:
                del self._inactive_since[inactive]

    def _remove_inactive(self, ledger: Ledger) -> None:
        now = read_monotonic()
        hold_s = self._get_hold_time(ledger.scope)
        for holder in list(ledger.holders.values()):
            if holder.state is HolderState.ACTIVE:
                continue
            since = self._inactive_since.get(
                _InactiveHolder(ledger.scope, holder.name)
            )
            if since is not None and now - since >= hold_s:
                ledger.remove(holder.name)

    def _get_hold_time(self, scope: str) -> float:
        """Return how long (s) the shares of an inactive holder stay reserved.

        Rate shares stay reserved until every loan of the holder has ended,
        slots until every request that it may have sent has timed out.
        """
        if scope != name_slots_scope(self._state.settings.domain):
            return LOAN_HOLD_S
        timeouts = [
            service.timeout_s
            for service in self._state.rules.services.values()
        ]
        return max(timeouts, default=0.0) + SLOT_HOLD_MARGIN_S


def _log_recovery(before: Ledger, after: Ledger) -> None:
    for holder in before.holders.values():
        if holder.name in after.holders:
            continue
        if holder.state is not HolderState.ACTIVE:
            _log.info(
                "Recovered the shares of %s in %s.",
                holder.endpoint,
                before.scope,
            )
