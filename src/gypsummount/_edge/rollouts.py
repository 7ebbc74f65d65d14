"""Rollouts at an edge: request versions, evidence and completion."""

from collections import Counter

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.canaries import Canary
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.judgement import Veto
from gypsummount._edge.belief import Belief
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import RolloutNews
from gypsummount._edge.feed import Feed
from gypsummount.errors import StoreError

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"
ANY_VERSION: frozenset[str] = frozenset()

_log = get_logger("rollouts")


class Rollouts:
    """Carries out rollout orders; any instance may write how one ended."""

    def __init__(self, name: str, belief: Belief, feed: Feed) -> None:
        self._name = name
        self._belief = belief
        self._feed = feed
        self._canaries: dict[str, Canary] = {}
        self._baselines: dict[str, frozenset[str]] = {}
        self._seen_changes = -1

    def find(self, service: str) -> Canary | None:
        """Return a service's rollout that is in progress, or None."""
        self._refresh()
        return self._canaries.get(service)

    def find_versions(self, service: str) -> frozenset[str]:
        """Return the versions for requests outside a rollout (empty: any)."""
        self._refresh()
        return self._baselines.get(service, ANY_VERSION)

    def list_news(self) -> tuple[RolloutNews, ...]:
        """Return the reports to peers about the rollouts in progress."""
        self._refresh()
        now = read_monotonic()
        return tuple(
            RolloutNews(
                service,
                canary.order.created,
                round(canary.find_elapsed(now), 3),
                canary.veto.reason if canary.veto else "",
                canary.has_moved(now),
                canary.in_flight_old,
                tuple(canary.list_evidence()),
            )
            for service, canary in self._canaries.items()
        )

    def take_news(self, digest: Digest) -> None:
        """Apply a peer's evidence, vetoes and start times of the orders."""
        now = read_monotonic()
        for news in digest.rollouts:
            canary = self.find(news.service)
            if canary is None or canary.order.created != news.created:
                continue
            started_at = now - news.elapsed_s
            canary.started_at = min(canary.started_at, started_at)
            for evidence in news.evidence:
                canary.take_evidence(digest.name, evidence)
            if news.veto and canary.veto is None:
                canary.veto = Veto(news.service, news.created, news.veto)

    async def drive(self, live: list[Digest], *, is_first: bool) -> None:
        """Analyse the rollouts and write the states that are due.

        The first instance by name writes.  The others write rollbacks
        too and, once an order is late, any end that is still missing.
        """
        now = read_monotonic()
        self._refresh()
        for canary in list(self._canaries.values()):
            self._take_own(canary)
            state = self._find_due(canary, live, now)
            if state is None or state == canary.order.state:
                continue
            if is_first or canary.is_late(now) or state == ROLLED_BACK:
                await self._write(canary, state)

    def _take_own(self, canary: Canary) -> None:
        had_veto = canary.veto is not None
        for evidence in canary.list_evidence():
            canary.take_evidence(self._name, evidence)
        if canary.veto is not None and not had_veto:
            _log.warning(
                "Version %s of %s is vetoed: %s.",
                canary.order.target,
                canary.order.service,
                canary.veto.reason,
            )

    def _find_due(
        self, canary: Canary, live: list[Digest], now: float
    ) -> str | None:
        if canary.veto is not None:
            return ROLLED_BACK
        is_late = canary.is_late(now)
        if canary.may_complete(now):
            if is_late or not _runs_old(canary, live):
                return COMPLETED
            return None
        if is_late:
            return ROLLED_BACK
        return RUNNING

    async def _write(self, canary: Canary, state: str) -> None:
        order = canary.order
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
        if self._seen_changes == self._belief.changes:
            return
        self._seen_changes = self._belief.changes
        orders = self._belief.rollouts
        for service in [one for one in self._canaries if one not in orders]:
            del self._canaries[service]
        for service, order in orders.items():
            self._follow(service, order)
        self._follow_baselines()

    def _follow(self, service: str, order: RolloutOrder) -> None:
        if order.is_settled:
            self._canaries.pop(service, None)
            return
        known = self._canaries.get(service)
        if known is not None and known.order.target == order.target:
            if known.order.created == order.created:
                known.order = order
                return
        self._canaries[service] = Canary(order, read_monotonic())
        _log.info(
            "Rollout of %s to %s is ordered with a duration of %.1f s.",
            service,
            order.target,
            order.duration_s,
        )

    def _follow_baselines(self) -> None:
        """Update which versions take requests outside a rollout.

        A version that no order has introduced gets no requests, so that
        upstreams that start ahead of their order stay idle.
        """
        counts: dict[str, Counter[str]] = {}
        for record in self._belief.upstreams.values():
            counts.setdefault(record.service, Counter())[record.version] += 1
        for service, versions in counts.items():
            self._baselines[service] = self._find_baseline(service, versions)

    def _find_baseline(
        self, service: str, versions: Counter[str]
    ) -> frozenset[str]:
        order = self._belief.rollouts.get(service)
        if order is not None:
            if order.is_settled and order.state == COMPLETED:
                return frozenset((order.target,))
            others = frozenset(versions) - {order.target}
            return others or frozenset(versions)
        before = self._baselines.get(service, ANY_VERSION)
        kept = before & frozenset(versions)
        if kept:
            return kept
        return frozenset((versions.most_common(1)[0][0],))


def _runs_old(canary: Canary, live: list[Digest]) -> bool:
    """Tell whether any instance still uses the old version."""
    if canary.in_flight_old > 0:
        return True
    for digest in live:
        for news in digest.rollouts:
            if news.service != canary.order.service:
                continue
            if news.created != canary.order.created:
                continue
            if not news.has_moved or news.old_in_flight > 0:
                return True
    return False
