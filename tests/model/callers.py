"""Callers that may disconnect early, and checks of what follows."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

from gypsummount._common.clocks import read_monotonic
from tests.model.invariants import STABILITY_S
from tests.model.invariants import Violation

DISCONNECT_MARGIN_S = 0.5
TIMEOUT_MARGIN_S = 0.5
# The edge checks ten times a second for disconnected callers.
DISCONNECT_CHECK_S = 0.1


@dataclass(slots=True, frozen=True)
class CallerBehaviour:
    """How callers behave.

    ``disconnect_fraction`` is the fraction of callers that disconnect;
    they do so within ``within_s`` seconds.  Where ``is_detected`` is
    false the edge is not notified of it, so that only its check just
    before a send can detect the disconnect.
    """

    disconnect_fraction: float = 0.0
    within_s: float = 0.6
    is_detected: bool = True


class ModelCaller:
    """A caller; it may disconnect before it gets an answer."""

    def __init__(self, number, disconnects_at, *, is_detected):
        self._is_detected = is_detected
        self.number = number
        self.arrived_at = read_monotonic()
        self.disconnects_at = disconnects_at

    @property
    def disconnect_detected_at(self):
        """Return when the edge detects the disconnect; None means never.

        It then cancels the request.
        """
        if not self._is_detected or self.disconnects_at == float("inf"):
            return None
        return self.disconnects_at + DISCONNECT_CHECK_S

    def has_disconnected(self):
        return read_monotonic() >= self.disconnects_at


@dataclass(slots=True)
class Callers:
    """All callers of a run, and the violations seen in their requests."""

    behaviour: CallerBehaviour
    seed: int
    callers_by_number: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)

    def create(self, number):
        """Return a new caller; the seed decides whether it disconnects."""
        random = Random(f"{self.seed} {number}")
        disconnects_at = float("inf")
        if random.random() < self.behaviour.disconnect_fraction:
            disconnects_at = read_monotonic() + random.uniform(
                0, self.behaviour.within_s
            )
        caller = ModelCaller(
            number, disconnects_at, is_detected=self.behaviour.is_detected
        )
        self.callers_by_number[number] = caller
        return caller

    def check_send(self, number, instance):
        """Check that a request is not sent after its caller disconnected.

        An instance with a recent fault is not checked.
        """
        caller = self.callers_by_number.get(number)
        now = read_monotonic()
        if caller is None or not _is_stable(instance, now):
            return
        if now > caller.disconnects_at + DISCONNECT_MARGIN_S:
            self.violations.append(
                Violation("gone", instance.name, number, now)
            )

    def check_end(self, caller, timeout_s, instance):
        """Check that a request ended within its timeout and a margin.

        Disconnected callers and instances with a recent fault are not
        checked.
        """
        now = read_monotonic()
        if caller.has_disconnected() or not _is_stable(instance, now):
            return
        if now > caller.arrived_at + timeout_s + TIMEOUT_MARGIN_S:
            violation = Violation("held", instance.name, caller.number, now)
            self.violations.append(violation)


def _is_stable(instance, now):
    return now - instance.last_fault_at >= STABILITY_S
