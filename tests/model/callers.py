"""Callers that may disconnect early, and checks of what follows."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

from gypsummount._common.clocks import read_monotonic
from tests.model.judge import Breach
from tests.model.judge import STABILITY_S

GONE_S = 0.5
HELD_S = 0.5
# The edge checks ten times a second for disconnected callers.
NOTICED_S = 0.1


@dataclass(slots=True, frozen=True)
class Habits:
    """How callers behave.

    ``leaving`` is the fraction of callers that disconnect; they do so
    within ``within_s`` seconds.  Where ``is_noticed`` is false the edge
    is not notified of it, so that only its check just before a send can
    detect the disconnect.
    """

    leaving: float = 0.0
    within_s: float = 0.6
    is_noticed: bool = True


class ModelCaller:
    """A caller; it may disconnect before it gets an answer."""

    def __init__(self, number, leaves_at, *, is_noticed):
        self._is_noticed = is_noticed
        self.number = number
        self.came_at = read_monotonic()
        self.leaves_at = leaves_at

    @property
    def noticed_at(self):
        """Return when the edge cancels the request; None means never."""
        if not self._is_noticed or self.leaves_at == float("inf"):
            return None
        return self.leaves_at + NOTICED_S

    def has_left(self):
        return read_monotonic() >= self.leaves_at


@dataclass(slots=True)
class Callers:
    """All callers of a run, and the breaches seen in their requests."""

    habits: Habits
    seed: int
    known: dict = field(default_factory=dict)
    breaches: list = field(default_factory=list)

    def create(self, number):
        """Return a new caller; the seed decides whether it disconnects."""
        random = Random(f"{self.seed} {number}")
        leaves_at = float("inf")
        if random.random() < self.habits.leaving:
            leaves_at = read_monotonic() + random.uniform(
                0, self.habits.within_s
            )
        made = ModelCaller(
            number, leaves_at, is_noticed=self.habits.is_noticed
        )
        self.known[number] = made
        return made

    def note_send(self, number, machine):
        """Check that a request is not sent after its caller disconnected.

        A recently disturbed instance is not checked.
        """
        caller = self.known.get(number)
        now = read_monotonic()
        if caller is None or not _is_calm(machine, now):
            return
        if now > caller.leaves_at + GONE_S:
            self.breaches.append(Breach("gone", machine.name, number, now))

    def note_end(self, caller, timeout_s, machine):
        """Check that a request ended within its timeout and a margin.

        Disconnected callers and recently disturbed instances are not
        checked.
        """
        now = read_monotonic()
        if caller.has_left() or not _is_calm(machine, now):
            return
        if now > caller.came_at + timeout_s + HELD_S:
            found = Breach("held", machine.name, caller.number, now)
            self.breaches.append(found)


def _is_calm(machine, now):
    return now - machine.disturbed_at >= STABILITY_S
