"""How long this instance has been behind other instances."""


class Lag:
    """Measures for how long this instance lacks another one's revision.

    That revision is the target.  It is kept until this instance reaches
    it, even if the others advance meanwhile: under a stream of changes
    they are always ahead, and a target that moves along would hide the
    lag.
    """

    __slots__ = ("_target", "_target_since")

    def __init__(self) -> None:
        self._target = -1
        self._target_since = 0.0

    def measure(
        self, own_revision: int, peer_revision: int, now: float
    ) -> float:
        """Return for how long (s) the target has been missing, or 0.

        ``peer_revision`` is the highest revision of any other instance.
        """
        if own_revision >= self._target:
            self._target = peer_revision
            self._target_since = now
        return now - self._target_since if self._target > own_revision else 0.0
