"""Rollouts: shares of versions, judgement of faults, and steps.

The state of a rollout is one object in the store.  Any agent may make
the next step, by compare-and-set; each measures how long a step lasts
from when it saw the step first, so no clocks are compared and a driver
that was paused cannot repeat a step.
"""

from dataclasses import dataclass
from dataclasses import replace
from math import log

from gypsummount._config.model import RolloutPlan
from gypsummount._core.charts import Machine

FAULT_RATE_FLOOR = 0.02
FAULT_RATE_FACTOR = 1.5
FAULT_RATE_STEP = 0.25
SLOW_RATE_FLOOR = 0.08
SLOW_FACTOR = 2.0
SLOW_MARGIN_S = 0.005
FALSE_ALARM_RATE = 1e-5
LATENCY_SAMPLES = 512
BASELINE_QUANTILE = 0.95
LEAST_BASELINE = 20
RESORT_EVERY = 32


@dataclass(slots=True, frozen=True)
class RolloutState:
    """A rollout as the store keeps it; ``serial`` rises with writes."""

    name: str
    serial: int = 0
    attempt: int = 0
    phase: str = "idle"
    step: int = 0
    elapsed_s: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True, order=True)
class Veto:
    """One fault of the new version in an attempt; never taken back."""

    rollout: str
    attempt: int
    reason: str


class SplitCounter:
    """Gives the new version an exact share of each prefix of requests.

    After every request, ``given <= share * total`` holds for the
    requests since the last reset, so it holds for sums over entries.
    """

    __slots__ = ("given", "share", "total")

    def __init__(self, share: float) -> None:
        self.share = share
        self.total = 0
        self.given = 0

    def choose_new(self) -> bool:
        """Count a request and tell whether the new version takes it."""
        self.total += 1
        if self.given + 1 > self.share * self.total:
            return False
        self.given += 1
        return True

    def withdraw_new(self) -> None:
        """Uncount a choice that never reached the new version."""
        self.given -= 1


class SequentialTest:
    """Sequential probability ratio test of a Bernoulli rate.

    Source: A. Wald, "Sequential tests of statistical hypotheses", 1945.
    """

    __slots__ = ("_limit", "score")

    def __init__(self, false_alarm_rate: float = FALSE_ALARM_RATE) -> None:
        self.score = 0.0
        self._limit = -log(false_alarm_rate)

    def observe(self, hit: bool, normal: float, bad: float) -> None:
        """Add one observation; the rates are those of each hypothesis."""
        if hit:
            self.score += log(bad / normal)
        else:
            self.score += log((1 - bad) / (1 - normal))
        self.score = max(0.0, self.score)

    @property
    def is_decided(self) -> bool:
        """Tell whether the bad hypothesis is accepted."""
        return self.score >= self._limit


class Baseline:
    """Error rate and latency quantile of the old version on a route."""

    __slots__ = (
        "_count",
        "_latencies",
        "_next",
        "_quantile",
        "error_rate",
    )

    def __init__(self) -> None:
        self._latencies: list[float] = []
        self._next = 0
        self._count = 0
        self._quantile = 0.0
        self.error_rate = 0.0

    @property
    def is_ready(self) -> bool:
        """Tell whether there are enough answers to compare with."""
        return self._count >= LEAST_BASELINE

    @property
    def slow_limit_s(self) -> float:
        """Return the latency from which an answer counts as slow."""
        return self._quantile * SLOW_FACTOR + SLOW_MARGIN_S

    def observe(self, *, failed: bool, latency_s: float) -> None:
        """Record one answer of the old version."""
        self._count += 1
        weight = max(0.01, 1 / self._count)
        self.error_rate += (float(failed) - self.error_rate) * weight
        if failed:
            return
        if len(self._latencies) < LATENCY_SAMPLES:
            self._latencies.append(latency_s)
        else:
            self._latencies[self._next] = latency_s
            self._next = (self._next + 1) % LATENCY_SAMPLES
        if self._count % RESORT_EVERY == 0 or self._count <= LEAST_BASELINE:
            self._update_quantile()

    def _update_quantile(self) -> None:
        ranked = sorted(self._latencies)
        index = int(len(ranked) * BASELINE_QUANTILE)
        self._quantile = ranked[min(index, len(ranked) - 1)]


class FaultJudge:
    """Judges the new version of one route against the old one."""

    __slots__ = ("_baseline", "_errors", "_slow")

    def __init__(self, baseline: Baseline) -> None:
        self._baseline = baseline
        self._errors = SequentialTest()
        self._slow = SequentialTest()

    def observe(self, *, failed: bool, latency_s: float) -> str | None:
        """Record an answer of the new version; a reason is a veto."""
        normal = max(
            FAULT_RATE_FLOOR, self._baseline.error_rate * FAULT_RATE_FACTOR
        )
        normal = min(normal, 0.7)
        bad = min(0.99, normal + FAULT_RATE_STEP)
        self._errors.observe(failed, normal, bad)
        if self._errors.is_decided:
            return "too many errors"
        if not failed and self._baseline.is_ready:
            slow = latency_s > self._baseline.slow_limit_s
            self._slow.observe(
                slow, SLOW_RATE_FLOOR, SLOW_RATE_FLOOR + FAULT_RATE_STEP
            )
        if self._slow.is_decided:
            return "too slow"
        return None


def find_share(plan: RolloutPlan, state: RolloutState) -> float:
    """Return the share of requests that the new version may take."""
    if state.phase == "finished":
        return 1.0
    if state.phase != "moving":
        return 0.0
    return plan.steps[min(state.step, len(plan.steps) - 1)]


def start_rollout(state: RolloutState) -> RolloutState:
    """Return the state of a new attempt.

    :raises ChartError: while an attempt is moving.
    """
    phase = Machine("rollout", state.phase).fire("started")
    return replace(
        state,
        serial=state.serial + 1,
        attempt=state.attempt + 1,
        phase=phase,
        step=0,
        elapsed_s=0.0,
        reason="",
    )


def recall_rollout(state: RolloutState, reason: str) -> RolloutState:
    """Return the state after an operator took the move back.

    :raises ChartError: unless the attempt is moving.
    """
    phase = Machine("rollout", state.phase).fire("recalled")
    return replace(state, serial=state.serial + 1, phase=phase, reason=reason)


class RolloutWatch:
    """What one agent has seen of one rollout; proposes the next state."""

    __slots__ = ("_seen_at", "state")

    def __init__(self, state: RolloutState, now: float) -> None:
        self.state = state
        self._seen_at = now

    def take(self, state: RolloutState, now: float) -> bool:
        """Take a state of a higher serial; tell whether it was newer."""
        if state.serial <= self.state.serial:
            return False
        self.state = state
        self._seen_at = now
        return True

    def find_elapsed(self, now: float) -> float:
        """Return the seconds since the attempt began, as known here."""
        return self.state.elapsed_s + now - self._seen_at

    def find_remaining(self, plan: RolloutPlan, now: float) -> float:
        """Return the seconds until the deadline of the attempt."""
        return plan.deadline_s - self.find_elapsed(now)

    def propose(
        self, plan: RolloutPlan, vetoes: set[Veto], now: float
    ) -> RolloutState | None:
        """Return the next state to write, or None while there is none."""
        state = self.state
        if state.phase != "moving":
            return None
        machine = Machine("rollout", state.phase)
        elapsed_s = self.find_elapsed(now)
        changed = replace(state, serial=state.serial + 1, elapsed_s=elapsed_s)
        veto = find_veto(state, vetoes)
        if veto is not None:
            phase = machine.fire("vetoed")
            return replace(changed, phase=phase, reason=veto.reason)
        if elapsed_s >= plan.deadline_s:
            phase = machine.fire("expired")
            reason = "the deadline passed before the last step was done"
            return replace(changed, phase=phase, reason=reason)
        if now - self._seen_at < plan.bake_s:
            return None
        if state.step + 1 < len(plan.steps):
            machine.fire("stepped")
            return replace(changed, step=state.step + 1)
        return replace(changed, phase=machine.fire("completed"))


def find_veto(state: RolloutState, vetoes: set[Veto]) -> Veto | None:
    """Return a veto against the present attempt, if there is one."""
    for veto in sorted(vetoes):
        if veto.rollout == state.name and veto.attempt == state.attempt:
            return veto
    return None
