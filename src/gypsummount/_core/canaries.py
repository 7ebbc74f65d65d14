"""The move of one service to a new version, as each instance steers it.

Every instance gives the new version an exact small share of its own
requests, so the sum over the fleet keeps the share as well.  Evidence
is pooled; one veto anywhere ends the move everywhere.  Late in the
order's time all instances move over, and the order is completed once
nothing runs on the old version.
"""

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.judgement import Baseline
from gypsummount._core.judgement import Evidence
from gypsummount._core.judgement import FleetJudge
from gypsummount._core.judgement import Veto

CANARY_SHARE = 0.07
MOVE_PART = 0.68
COMPLETE_AFTER_S = 1.0
GIVE_UP_PART = 0.92
LEAST_ANSWERS = 25


class _RouteCount:
    """Answers of both versions on one route at this instance."""

    __slots__ = ("answers", "baseline", "failures", "slow", "timed")

    def __init__(self) -> None:
        self.baseline = Baseline()
        self.answers = 0
        self.failures = 0
        self.timed = 0
        self.slow = 0


class Canary:
    """One order in force; ``started_at`` is in boot-clock seconds."""

    __slots__ = (
        "_judge",
        "_new",
        "_routes",
        "_total",
        "in_flight_old",
        "order",
        "started_at",
        "veto",
    )

    def __init__(self, order: RolloutOrder, started_at: float) -> None:
        self.order = order
        self.started_at = started_at
        self.veto: Veto | None = None
        self.in_flight_old = 0
        self._judge = FleetJudge(order.service, order.created)
        self._routes: dict[str, _RouteCount] = {}
        self._total = 0
        self._new = 0

    def find_elapsed(self, now: float) -> float:
        """Return the seconds since the order was first seen anywhere."""
        return max(0.0, now - self.started_at)

    def has_moved(self, now: float) -> bool:
        """Tell whether all requests go to the new version."""
        if self.veto is not None:
            return False
        if self._judge.answers < LEAST_ANSWERS:
            return False
        return self.find_elapsed(now) >= MOVE_PART * self.order.duration_s

    def may_complete(self, now: float) -> bool:
        """Tell whether the old version has had time to finish."""
        begin = MOVE_PART * self.order.duration_s + COMPLETE_AFTER_S
        return self.has_moved(now) and self.find_elapsed(now) >= begin

    def is_late(self, now: float) -> bool:
        """Tell whether the order's time is nearly over."""
        limit = GIVE_UP_PART * self.order.duration_s
        return self.find_elapsed(now) >= limit

    def choose_new(self, now: float) -> bool:
        """Tell whether the next request goes to the new version."""
        if self.veto is not None:
            return False
        if self.has_moved(now):
            return True
        self._total += 1
        if self._new + 1 > CANARY_SHARE * self._total:
            return False
        self._new += 1
        return True

    def withdraw_new(self) -> None:
        """Take back a choice of the new version that was not sent."""
        self._new = max(0, self._new - 1)

    def observe(
        self, route: str, *, is_new: bool, failed: bool, latency_s: float
    ) -> None:
        """Record an answer of either version."""
        count = self._routes.setdefault(route, _RouteCount())
        if not is_new:
            count.baseline.observe(failed=failed, latency_s=latency_s)
            return
        count.answers += 1
        count.failures += failed
        if count.baseline.is_ready and not failed:
            count.timed += 1
            count.slow += latency_s > count.baseline.slow_limit_s

    def list_evidence(self) -> list[Evidence]:
        """Return what this instance has counted, by route."""
        return [
            Evidence(
                self.order.service,
                self.order.created,
                route,
                count.answers,
                count.failures,
                count.slow,
                count.timed,
                count.baseline.answers,
                count.baseline.failures,
            )
            for route, count in self._routes.items()
        ]

    def take_evidence(self, instance: str, evidence: Evidence) -> None:
        """Add the counts of an instance; a fault becomes a veto."""
        veto = self._judge.observe(instance, evidence)
        if veto is not None and self.veto is None:
            self.veto = veto
