"""Rollouts: shares of versions, steps and deadlines.

The state of a rollout is one object in the store.  Any agent may make
the next step by compare-and-set, so an agent that was paused cannot
repeat a step.  Each agent times a step from when it first saw it, so no
clocks are compared.
"""

from dataclasses import dataclass
from dataclasses import replace

from gypsummount._config.model import RolloutPlan
from gypsummount._core.canary_analysis import find_veto_for_attempt
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.charts import StateMachine

# Answers after which a step ends with its bake time.
TARGET_ANSWERS = 40
# Answers that a step needs before it ends: a fault would not show in fewer.
MIN_ANSWERS = 10
# Fraction of the remaining time in which the remaining steps are planned.
DEADLINE_FRACTION = 0.8


@dataclass(slots=True, frozen=True)
class RolloutState:
    """State of a rollout in the store.

    ``serial`` rises with each write, ``attempt`` with each start.
    """

    name: str
    serial: int = 0
    attempt: int = 0
    phase: str = "idle"
    step: int = 0
    elapsed_s: float = 0.0
    reason: str = ""


class SplitCounter:
    """Gives the new version an exact share of requests at any time.

    ``given`` counts the requests to the new version.  After every
    request ``given <= share * total`` holds, and therefore also for the
    sums over several entries.
    """

    __slots__ = ("given", "share", "total")

    def __init__(self, share: float) -> None:
        self.share = share
        self.total = 0
        self.given = 0

    def choose_new(self) -> bool:
        """Count a request; tell whether it goes to the new version."""
        self.total += 1
        if self.given + 1 > self.share * self.total:
            return False
        self.given += 1
        return True

    def withdraw_new(self) -> None:
        """Undo a choice whose request never reached the new version."""
        self.given -= 1


def get_new_version_share(plan: RolloutPlan, state: RolloutState) -> float:
    """Return the new version's share of requests, from 0 to 1."""
    if state.phase == "finished":
        return 1.0
    if state.phase != "moving":
        return 0.0
    return plan.steps[min(state.step, len(plan.steps) - 1)]


def start_rollout(state: RolloutState) -> RolloutState:
    """Return the state of a new attempt.

    :raises ChartError: while an attempt is moving.
    """
    phase = StateMachine("rollout", state.phase).fire("started")
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
    """Return the state after an operator has taken the rollout back.

    :raises ChartError: unless the attempt is moving.
    """
    phase = StateMachine("rollout", state.phase).fire("recalled")
    return replace(state, serial=state.serial + 1, phase=phase, reason=reason)


class RolloutTracker:
    """Follows one rollout on one agent and proposes its next state."""

    __slots__ = ("_answers_at_start", "_seen_at", "state")

    def __init__(self, state: RolloutState, now: float) -> None:
        self.state = state
        self._seen_at = now
        self._answers_at_start: int | None = None

    def apply_state(self, state: RolloutState, now: float) -> bool:
        """Apply a state with a higher serial; tell whether it had one."""
        if state.serial <= self.state.serial:
            return False
        self.state = state
        self._seen_at = now
        self._answers_at_start = None
        return True

    def compute_elapsed(self, now: float) -> float:
        """Return the seconds since the attempt began.

        That is the time recorded in the state plus the time since this
        agent first saw the state.
        """
        return self.state.elapsed_s + now - self._seen_at

    def compute_remaining(self, plan: RolloutPlan, now: float) -> float:
        """Return the seconds until the deadline of the attempt."""
        return plan.deadline_s - self.compute_elapsed(now)

    def propose(
        self, plan: RolloutPlan, vetoes: set[Veto], answers: int, now: float
    ) -> RolloutState | None:
        """Return the next state to write, or None if none is due.

        ``answers`` counts the new version's answers in this attempt.
        """
        state = self.state
        if self._answers_at_start is None:
            self._answers_at_start = answers
        if state.phase != "moving":
            return None
        machine = StateMachine("rollout", state.phase)
        elapsed_s = self.compute_elapsed(now)
        changed = replace(state, serial=state.serial + 1, elapsed_s=elapsed_s)
        veto = find_current_veto(state, vetoes)
        if veto is not None:
            phase = machine.fire("vetoed")
            return replace(changed, phase=phase, reason=veto.reason)
        if elapsed_s >= plan.deadline_s:
            phase = machine.fire("expired")
            reason = "the deadline passed before the last step"
            return replace(changed, phase=phase, reason=reason)
        if not self._is_baked(plan, answers, now):
            return None
        if state.step + 1 < len(plan.steps):
            machine.fire("stepped")
            return replace(changed, step=state.step + 1)
        return replace(changed, phase=machine.fire("completed"))

    def _is_baked(self, plan: RolloutPlan, answers: int, now: float) -> bool:
        """Tell whether a step has lasted long enough and had answers.

        A step waits for its bake time and :data:`TARGET_ANSWERS`.  With
        few requests it ends once its part of the time to the deadline has
        passed, but never with fewer than :data:`MIN_ANSWERS`.
        """
        passed_s = now - self._seen_at
        step_answers = answers - self._answers_at_start
        if passed_s < plan.bake_s or step_answers < MIN_ANSWERS:
            return False
        if step_answers >= TARGET_ANSWERS:
            return True
        remaining_s = (
            plan.deadline_s - self.state.elapsed_s
        ) * DEADLINE_FRACTION
        remaining_steps = len(plan.steps) - self.state.step
        return passed_s >= remaining_s / max(1, remaining_steps)


def find_current_veto(state: RolloutState, vetoes: set[Veto]) -> Veto | None:
    """Return a veto for the current attempt, or None."""
    wanted = Veto(state.name, state.attempt, "")
    return find_veto_for_attempt(vetoes, wanted)
