"""Actions and events of the state machine of a lease."""

from dataclasses import dataclass
from enum import Enum
from math import inf

from gypsummount._core.lease_records import LeaseRecord


class ActionKind(Enum):
    """What the owner of a lease machine has to do."""

    WAIT = "wait"
    READ = "read"
    WRITE = "write"


@dataclass(slots=True, frozen=True)
class LeaseAction:
    """An action that is due now, or the time until which to wait."""

    kind: ActionKind
    until: float = inf
    record: LeaseRecord | None = None


class LeaseEvent(Enum):
    """A change of the own part in a duty, for logs and metrics."""

    ACQUIRED = "acquired"
    LOST = "lost"
    RELEASED = "released"
    REFUSED = "refused"
    EXHAUSTED = "exhausted"
