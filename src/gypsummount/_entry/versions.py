"""Choice of a service version per request; canary analysis."""

from dataclasses import dataclass
from dataclasses import replace

from gypsummount._common.logs import get_logger
from gypsummount._config.model import RolloutPlan
from gypsummount._config.model import Route
from gypsummount._core.canary_analysis import Baseline
from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import EvidenceBatch
from gypsummount._core.canary_analysis import RouteAnalyser
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.rollouts import SplitCounter
from gypsummount._entry.snapshot import RolloutStatus
from gypsummount._entry.snapshot import Snapshot

_log = get_logger("rollouts")


@dataclass(slots=True, frozen=True)
class VersionChoice:
    """Service version chosen for one request.

    ``rollout`` and ``attempt`` are set while a rollout moves requests
    to its new version.  If the new version is chosen, ``fallback`` is
    the old one, and ``counter`` is the split counter that counted the
    request.
    """

    version: str
    fallback: str | None = None
    rollout: str | None = None
    attempt: int = 0
    counter: SplitCounter | None = None

    @property
    def is_new(self) -> bool:
        """Tell whether this is the new version of a running rollout."""
        return self.fallback is not None


@dataclass(slots=True, frozen=True)
class _CounterKey:
    rollout: str
    attempt: int
    step: int
    route: str


@dataclass(slots=True, frozen=True)
class _AnalysisKey:
    rollout: str
    attempt: int
    route: str


class VersionSelector:
    """Splits requests between the versions of a service.

    Compares the answers of both versions by route, and vetoes a new
    version that is worse.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._counters: dict[_CounterKey, SplitCounter] = {}
        self._analysers: dict[_AnalysisKey, RouteAnalyser] = {}
        self._baselines: dict[str, Baseline] = {}
        self._evidence: dict[_AnalysisKey, Evidence] = {}
        self.own_vetoes: set[Veto] = set()

    def choose(self, route: Route, now: float) -> VersionChoice:
        """Return the version for the next request of a route.

        ``now`` is in seconds of the boot clock.  While a moving
        rollout is vetoed or past its deadline, all requests get the old
        version.
        """
        plan = self._get_plan(route.service)
        if plan is None:
            return VersionChoice(self._get_default_version(route.service))
        status = self._snapshot.rollouts.get(plan.name)
        if status is None or status.phase in ("idle", "taken-back"):
            return VersionChoice(plan.old)
        if status.phase == "finished":
            return VersionChoice(plan.new)
        if self._is_vetoed(status) or now >= status.ends_at:
            return VersionChoice(plan.old)
        counter = self._get_counter(plan, status, route)
        if counter.choose_new():
            return VersionChoice(
                plan.new, plan.old, plan.name, status.attempt, counter
            )
        return VersionChoice(plan.old, None, plan.name, status.attempt)

    def observe(
        self,
        route: Route,
        choice: VersionChoice,
        *,
        failed: bool,
        latency_s: float,
    ) -> None:
        """Record an answer and veto the new version if it is worse.

        Answers of the old version form the baseline of the route.
        """
        if choice.rollout is None:
            return
        baseline = self._baselines.setdefault(route.prefix, Baseline())
        if not choice.is_new:
            baseline.observe(failed=failed, latency_s=latency_s)
            return
        key = _AnalysisKey(choice.rollout, choice.attempt, route.prefix)
        batch = _build_batch(baseline, failed=failed, latency_s=latency_s)
        self._add_evidence(key, batch)
        analyser = self._analysers.setdefault(key, RouteAnalyser())
        reason = analyser.observe(batch)
        if reason is None:
            return
        full_reason = f"{reason} on {route.prefix}"
        veto = Veto(choice.rollout, choice.attempt, full_reason)
        if not self._has_veto(veto):
            _log.warning(
                "Vetoed rollout %s: %s; this attempt is rolled back unless "
                "it has finished.",
                choice.rollout,
                full_reason,
            )
            self.own_vetoes.add(veto)

    def list_evidence(self) -> tuple[Evidence, ...]:
        """Return the counts of answers for each running attempt and route."""
        return tuple(
            replace(
                evidence,
                old_answers=self._baselines[evidence.route].answers,
                old_failures=self._baselines[evidence.route].failures,
            )
            for evidence in self._evidence.values()
        )

    def discard_ended(self) -> None:
        """Discard the state of attempts and steps that have ended."""
        for key in list(self._counters):
            status = self._snapshot.rollouts.get(key.rollout)
            if status and (status.attempt, status.step) != (
                key.attempt,
                key.step,
            ):
                del self._counters[key]
        for key in list(self._analysers):
            status = self._snapshot.rollouts.get(key.rollout)
            if status and status.attempt != key.attempt:
                del self._analysers[key]
                self._evidence.pop(key, None)

    def _add_evidence(self, key: _AnalysisKey, batch: EvidenceBatch) -> None:
        known = self._evidence.get(key) or Evidence(
            key.rollout, key.attempt, key.route
        )
        self._evidence[key] = replace(
            known,
            answers=known.answers + batch.answers,
            failures=known.failures + batch.failures,
            slow=known.slow + batch.slow,
            timed=known.timed + batch.timed,
        )

    def _get_counter(
        self, plan: RolloutPlan, status: RolloutStatus, route: Route
    ) -> SplitCounter:
        key = _CounterKey(plan.name, status.attempt, status.step, route.prefix)
        counter = self._counters.get(key)
        if counter is None:
            step = min(status.step, len(plan.steps) - 1)
            counter = SplitCounter(plan.steps[step])
            self._counters[key] = counter
        return counter

    def _is_vetoed(self, status: RolloutStatus) -> bool:
        return any(
            veto.rollout == status.name and veto.attempt == status.attempt
            for group in (self._snapshot.vetoes, self.own_vetoes)
            for veto in group
        )

    def _has_veto(self, veto: Veto) -> bool:
        return any(
            known.rollout == veto.rollout and known.attempt == veto.attempt
            for known in self.own_vetoes
        )

    def _get_plan(self, service: str) -> RolloutPlan | None:
        for plan in self._snapshot.rules.rollouts.values():
            if plan.service == service:
                return plan
        return None

    def _get_default_version(self, service: str) -> str:
        versions = sorted(
            pool.version
            for pool in self._snapshot.rules.pools.values()
            if pool.service == service
        )
        return versions[0] if versions else ""


def _build_batch(
    baseline: Baseline, *, failed: bool, latency_s: float
) -> EvidenceBatch:
    is_timed = not failed and baseline.is_ready
    is_slow = is_timed and latency_s > baseline.slow_limit_s
    return EvidenceBatch(
        1, int(failed), int(is_timed), int(is_slow), baseline.error_rate
    )
