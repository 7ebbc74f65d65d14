"""Proof that no key withdrawal was missed, timed by the boot clock."""

from collections.abc import Callable

# Listeners hear of a proof that is newer by this (s): two paths may date the
# same proof a little differently.
MIN_GAIN_S = 0.3


class FreshnessProof:
    """The time up to which the catalog is known to be current.

    ``limit_s`` is the age of a proof up to which keyed requests may be
    sent.  Times are boot-clock seconds, which also advance during a
    system suspend.  A proof is valid only for its catalog revision;
    revision 0 means that there is none.
    """

    __slots__ = (
        "_listeners",
        "_notified_at",
        "limit_s",
        "proved_at",
        "revision",
    )

    def __init__(self, limit_s: float) -> None:
        self._listeners: list[Callable[[], None]] = []
        self._notified_at = float("-inf")
        self.limit_s = limit_s
        self.revision = 0
        self.proved_at = float("-inf")

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a listener for proofs that are newer by a useful span."""
        self._listeners.append(listener)

    def record_read(self, revision: int, started_at: float) -> None:
        """Record a linearizable read of this process and its start time."""
        self._apply(revision, started_at)

    def record_peer_proof(
        self, revision: int, asked_at: float, age_s: float | None
    ) -> None:
        """Record the proof in a peer's reply to a message.

        The message was sent at ``asked_at``.  The peer's proof was
        ``age_s`` old at some time after that, whatever the network
        delays, so it proves freshness at least up to ``asked_at - age_s``.
        ``age_s`` is None if the peer has no proof.
        """
        if age_s is not None:
            self._apply(revision, asked_at - age_s)

    def withdraw(self, revision: int) -> None:
        """Discard the proof: an older revision is in force instead.

        This happens after a restore of the store, when a peer still holds a
        configuration that the store has lost.
        """
        self.revision = revision
        self.proved_at = float("-inf")
        self._notified_at = float("-inf")

    def get_age(self, now: float) -> float | None:
        """Return the age (s) of the proof; None without a proof."""
        if self.revision == 0:
            return None
        return max(0.0, now - self.proved_at)

    def get_age_at(self, moment: float) -> float | None:
        """Return the time (s) from the proof to a given time.

        It is negative if the proof is later, and None without a proof.
        """
        return moment - self.proved_at if self.revision else None

    def is_fresh(self, now: float) -> bool:
        """Tell whether keyed requests may still be sent."""
        return now - self.proved_at <= self.limit_s

    def _apply(self, revision: int, moment: float) -> None:
        if revision > self.revision:
            self.revision = revision
            self.proved_at = moment
        elif revision == self.revision:
            self.proved_at = max(self.proved_at, moment)
        if self.proved_at >= self._notified_at + MIN_GAIN_S:
            self._notified_at = self.proved_at
            for listener in self._listeners:
                listener()
