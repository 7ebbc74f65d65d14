"""Time limits of the drain that a planned stop begins."""

from math import inf


class Drain:
    """When the requests of a stopping instance must have ended.

    Requests must end by ``ends_at``.  Callers that have cached the
    instance's address may not know of the stop until ``noticed_at``.  Both
    are in seconds of the boot clock and infinite until the stop.
    """

    __slots__ = ("ends_at", "noticed_at")

    def __init__(self) -> None:
        self.ends_at = inf
        self.noticed_at = inf

    def begin(self, ends_at: float, noticed_at: float) -> None:
        """Begin the drain."""
        self.ends_at = ends_at
        self.noticed_at = noticed_at

    def covers(self, deadline: float) -> bool:
        """Tell whether a request with this deadline ends in time."""
        return deadline <= self.ends_at
