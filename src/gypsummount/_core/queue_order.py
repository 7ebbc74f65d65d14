"""Order in which waiting requests get free capacity.

Requests that can still be on time come first.  Among them come those of
workspaces and routes within their fair share, then by priority, then
those of returning callers, then those that must start first.
"""

from dataclasses import dataclass

from gypsummount._core.fair_usage import FairUsage

# Part of the completions that goes to late requests while others wait.
LATE_FRACTION = 0.03
MAX_LATE_CREDIT = 2.0

QueueKey = tuple[bool, int, int, bool, float]


@dataclass(slots=True)
class QueueEntry:
    """What the order of a waiting request depends on.

    ``start_by`` is the time until which it must start to be on time.
    """

    workspace: str
    route: str
    rank: int
    is_returning: bool
    start_by: float


class QueueOrder:
    """Computes the order from the fair shares and counts late turns."""

    __slots__ = ("_late_credit", "routes", "workspaces")

    def __init__(self, now: float) -> None:
        self.workspaces = FairUsage(now)
        self.routes = FairUsage(now)
        self._late_credit = 0.0

    def charge(self, entry: QueueEntry, work_s: float, now: float) -> None:
        """Record that a request uses capacity (s of a slot)."""
        self.workspaces.charge(entry.workspace, work_s, now)
        self.routes.charge(entry.route, work_s, now)

    def update(self, now: float) -> None:
        """Recompute which workspaces and routes exceed their share."""
        self.workspaces.update(now)
        self.routes.update(now)

    def compute_key(self, entry: QueueEntry, now: float) -> QueueKey:
        """Return the sort key of a request; the lowest is served first."""
        exceeded = (entry.workspace in self.workspaces.exceeding) + (
            entry.route in self.routes.exceeding
        )
        return (
            now > entry.start_by,
            exceeded,
            entry.rank,
            not entry.is_returning,
            entry.start_by,
        )

    def record_completion(self) -> None:
        """Record that capacity has become free."""
        self._late_credit = min(
            MAX_LATE_CREDIT, self._late_credit + LATE_FRACTION
        )

    @property
    def has_late_turn(self) -> bool:
        """Tell whether a late request may go before others."""
        return self._late_credit >= 1.0

    def use_late_turn(self) -> None:
        """Record that a late request went before others."""
        self._late_credit -= 1.0
