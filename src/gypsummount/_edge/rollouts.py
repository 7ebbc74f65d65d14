"""Rollouts at an edge: request versions, evidence and completion."""

from math import inf

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.canaries import Canary
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.order_memory import is_repeated
from gypsummount._core.order_memory import OrderMemory
from gypsummount._core.order_memory import REPEAT_S
from gypsummount._core.positions import get_era
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import RolloutReport
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import StoreError

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"
ANY_VERSION: frozenset[str] = frozenset()
# The first instance writes a lost state again; the others wait this long.
REPEAT_DELAY_S = 2.0

_log = get_logger("rollouts")


class Rollouts:
    """Carries out rollout orders; any instance may write their end."""

    def __init__(self, name: str, replica: Replica, feed: StoreFeed) -> None:
        self._name = name
        self._replica = replica
        self._feed = feed
        self._canaries: dict[str, Canary] = {}
        self._memory = OrderMemory()
        # The orders by service, with the states from before a restore.
        self._orders: dict[str, RolloutOrder] = {}
        # Rollouts whose order is lost and may be written again.
        self._lost: dict[str, Canary] = {}
        # When it was found that the store lacks a state that was written.
        self._missing_since: dict[str, float] = {}
        self._baselines: dict[str, frozenset[str]] = {}
        # Services whose baseline no order and no peer has confirmed.
        self._guessed: set[str] = set()
        self._present: dict[str, dict[str, float]] = {}
        self._seen_changes = -1

    @property
    def is_active(self) -> bool:
        """Tell whether any rollout is in progress."""
        self._refresh()
        return bool(self._canaries or self._missing_since)

    def get_canary(self, service: str) -> Canary | None:
        """Return a service's rollout that is in progress, or None."""
        self._refresh()
        return self._canaries.get(service)

    def get_versions(self, service: str) -> frozenset[str]:
        """Return the versions for requests outside a rollout (empty: any)."""
        self._refresh()
        return self._baselines.get(service, ANY_VERSION)

    def list_reports(self) -> tuple[RolloutReport, ...]:
        """Return the reports to peers about the rollouts in progress."""
        self._refresh()
        now = read_monotonic()
        return tuple(
            RolloutReport(
                service,
                canary.order.created,
                round(canary.compute_elapsed(now), 3),
                canary.veto.reason if canary.veto else "",
                canary.has_moved(now),
                canary.in_flight_old,
                tuple(canary.list_evidence()),
            )
            for service, canary in self._canaries.items()
        )

    def list_old_versions(self) -> dict[str, frozenset[str]]:
        """Return the known old versions of services with several versions."""
        self._refresh()
        return {
            service: self._baselines[service]
            for service, versions in self._present.items()
            if len(versions) > 1 and service not in self._guessed
        }

    def apply_old_versions(self, digest: Digest) -> None:
        """Take a peer's old versions where this instance knows none."""
        self._refresh()
        for service, versions in digest.old_versions.items():
            known = versions & self._present.get(service, {}).keys()
            if service in self._guessed and known:
                self._guessed.discard(service)
                self._baselines[service] = frozenset(known)

    def apply_reports(self, digest: Digest) -> None:
        """Apply a peer's evidence, vetoes and start times of the orders."""
        now = read_monotonic()
        for report in digest.rollouts:
            canary = self.get_canary(report.service)
            if canary is None or not canary.is_created_at(report.created):
                continue
            started_at = now - report.elapsed_s
            canary.started_at = min(canary.started_at, started_at)
            for evidence in report.evidence:
                canary.add_evidence(digest.name, evidence)
            if report.veto and canary.veto is None:
                canary.veto = Veto(report.service, report.created, report.veto)

    async def advance(self, live: list[Digest], *, is_first: bool) -> None:
        """Analyse the rollouts and write the states that are due.

        The first instance by name writes every state.  The others write
        rollbacks and, near the deadline of an order, any state that is due.
        """
        now = read_monotonic()
        self._refresh()
        for canary in list(self._canaries.values()):
            self._apply_own_evidence(canary)
            state = self._compute_due_state(canary, live, now)
            if state is None or state == canary.order.state:
                continue
            if (
                is_first
                or canary.is_near_deadline(now)
                or state == ROLLED_BACK
            ):
                await self._write(canary.order, state)
        await self._repeat_states(now, is_first=is_first)

    async def _repeat_states(self, now: float, *, is_first: bool) -> None:
        """Write the states of settled orders that a restore lost."""
        for service, since in list(self._missing_since.items()):
            order = self._orders[service]
            if is_first or now >= since + REPEAT_DELAY_S:
                await self._write(order, order.state)

    def _apply_own_evidence(self, canary: Canary) -> None:
        had_veto = canary.veto is not None
        for evidence in canary.list_evidence():
            canary.add_evidence(self._name, evidence)
        if canary.veto is not None and not had_veto:
            _log.warning(
                "Version %s of %s is vetoed: %s.",
                canary.order.target,
                canary.order.service,
                canary.veto.reason,
            )

    def _compute_due_state(
        self, canary: Canary, live: list[Digest], now: float
    ) -> str | None:
        if canary.veto is not None:
            return ROLLED_BACK
        is_late = canary.is_near_deadline(now)
        if canary.may_complete(now):
            if is_late or not _uses_old_version(canary, live):
                return COMPLETED
            return None
        if is_late:
            return ROLLED_BACK
        return RUNNING

    async def _write(self, order: RolloutOrder, state: str) -> None:
        if get_era(order.revision) < self._replica.era:
            # It is lost, and no condition of an earlier era holds.
            return
        try:
            await self._feed.write_rollout_state(order, state)
        except StoreError as error:
            _log.warning(
                "Rollout state of %s was not written, will be retried: %s",
                order.service,
                error,
            )
            return
        _log.info(
            "Rollout of %s to %s is %s.", order.service, order.target, state
        )

    def _refresh(self) -> None:
        if self._seen_changes == self._replica.changes:
            return
        self._seen_changes = self._replica.changes
        self._update_orders()
        for service in [
            service
            for service in self._canaries
            if service not in self._orders
        ]:
            canary = self._canaries.pop(service)
            if get_era(canary.order.created) < self._replica.era:
                self._lost[service] = canary
        for service, order in self._orders.items():
            self._apply_order(service, order)
        self._update_baselines()

    def _update_orders(self) -> None:
        """Take the orders from the replica, settled ones as such."""
        now = read_monotonic()
        since_s = now - self._replica.restores.get_began_at(Kind.ROLLOUT)
        if since_s > REPEAT_S:
            self._lost.clear()
        missing_since = self._missing_since
        self._orders = {}
        self._missing_since = {}
        for service, order in self._replica.rollouts.items():
            self._orders[service] = self._memory.apply(order, since_s)
            if self._orders[service] is not order:
                since = missing_since.get(service)
                if since is None:
                    since = now
                    _log.info(
                        "The restored store lacks the state of %s's rollout; "
                        "writing %s again.",
                        service,
                        self._orders[service].state,
                    )
                self._missing_since[service] = since

    def _apply_order(self, service: str, order: RolloutOrder) -> None:
        if order.is_settled:
            self._canaries.pop(service, None)
            return
        known = self._canaries.get(service) or self._lost.pop(service, None)
        if known is not None and is_repeated(order, known.order):
            if known.order.created != order.created:
                _log.info(
                    "Rollout of %s to %s goes on in the restored store.",
                    service,
                    order.target,
                )
            known.resume(order)
            self._canaries[service] = known
            return
        self._canaries[service] = Canary(order, read_monotonic())
        _log.info(
            "Rollout of %s to %s is ordered with a duration of %.1f s.",
            service,
            order.target,
            order.duration_s,
        )

    def _update_baselines(self) -> None:
        """Update which versions serve requests outside a rollout.

        A version that no order has introduced gets no requests, so that
        upstreams that start ahead of their order stay idle.
        """
        self._present = self._find_versions()
        for service, versions in self._present.items():
            self._baselines[service] = self._choose_baseline(service, versions)

    def _find_versions(self) -> dict[str, dict[str, float]]:
        """Return the versions of each service with their first start (ms)."""
        found: dict[str, dict[str, float]] = {}
        for record in self._replica.upstreams.values():
            versions = found.setdefault(record.service, {})
            started_ms = record.started_ms or inf
            known_ms = versions.get(record.version)
            if known_ms is None or started_ms < known_ms:
                versions[record.version] = started_ms
        return found

    def _choose_baseline(
        self, service: str, versions: dict[str, float]
    ) -> frozenset[str]:
        """Return the old versions of a service.

        An order that replaces another one may leave upstreams of a target
        that was never proved, so the versions that served before the
        orders are kept as long as they have upstreams.  A process that
        starts takes the version that started first until peers tell.
        """
        order = self._orders.get(service)
        present = frozenset(versions)
        if order is not None and order.is_settled:
            if order.state == COMPLETED:
                self._guessed.discard(service)
                return frozenset((order.target,))
        if order is not None:
            present = present - {order.target} or present
        kept = self._baselines.get(service, ANY_VERSION) & present
        if kept:
            return kept
        if len(present) == 1:
            self._guessed.discard(service)
            return present
        self._guessed.add(service)
        first = min(present, key=lambda version: (versions[version], version))
        return frozenset((first,))


def _uses_old_version(canary: Canary, live: list[Digest]) -> bool:
    """Tell whether any instance still uses the old version."""
    if canary.in_flight_old > 0:
        return True
    for digest in live:
        for report in digest.rollouts:
            if report.service != canary.order.service:
                continue
            if not canary.is_created_at(report.created):
                continue
            if not report.has_moved or report.old_in_flight > 0:
                return True
    return False
