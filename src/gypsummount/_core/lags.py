"""How long this instance has been behind other instances."""


class Lag:
    """Measures for how long a revision of another instance is missing.

    That revision is the target.  It is kept until it is reached, even if
    the others advance meanwhile: under a stream of changes they are
    always ahead, and a target that moves along would hide the lag.
    """

    __slots__ = ("_since", "_target")

    def __init__(self) -> None:
        self._target = -1
        self._since = 0.0

    def measure(self, known: int, ahead: int, now: float) -> float:
        """Return for how long (s) the target has been missing, or 0.

        ``known`` is the own revision, ``ahead`` the highest revision of
        any other instance.
        """
        if known >= self._target:
            self._target = ahead
            self._since = now
        return now - self._since if self._target > known else 0.0
