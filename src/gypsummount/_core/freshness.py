"""Proof that no key withdrawal was missed, dated by the boot clock."""


class FreshnessProof:
    """The latest moment at which a catalog was known to be the newest.

    ``limit_s`` is the age up to which keyed requests may be sent.

    Moments are boot-clock seconds, which also pass while the machine is
    suspended.  A proof counts only for the catalog revision it names.
    """

    __slots__ = ("limit_s", "proved_at", "revision")

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.revision = 0
        self.proved_at = float("-inf")

    def note_read(self, revision: int, started_at: float) -> None:
        """Record an own linearizable read that began at a moment."""
        self._take(revision, started_at)

    def note_peer(
        self, revision: int, asked_at: float, age_s: float | None
    ) -> None:
        """Record a peer's word, given after it heard our question.

        The peer's proof was ``age_s`` old at some moment after
        ``asked_at``, whatever the delays on the way.
        """
        if age_s is not None:
            self._take(revision, asked_at - age_s)

    def find_age(self, now: float) -> float | None:
        """Return the age (s) of the proof, or None without one."""
        if self.revision == 0:
            return None
        return max(0.0, now - self.proved_at)

    def find_lag(self, moment: float) -> float | None:
        """Return how long (s) before a moment the proof was made.

        It is negative for a proof that was made after the moment.
        """
        return moment - self.proved_at if self.revision else None

    def is_fresh(self, now: float) -> bool:
        """Tell whether keyed requests may still be sent."""
        return now - self.proved_at <= self.limit_s

    def _take(self, revision: int, moment: float) -> None:
        if revision > self.revision:
            self.revision = revision
            self.proved_at = moment
        elif revision == self.revision:
            self.proved_at = max(self.proved_at, moment)
