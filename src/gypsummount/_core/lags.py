"""How long others have known what is still unknown here."""


class Lag:
    """Times how long a revision of another instance stays unreached.

    The target stays while it is not reached, however far the others go
    on meanwhile: under a stream of changes they are always ahead.
    """

    __slots__ = ("_since", "_target")

    def __init__(self) -> None:
        self._target = -1
        self._since = 0.0

    def measure(self, known: int, ahead: int, now: float) -> float:
        """Return how long (s) the target has been unreached.

        ``known`` is the own revision and ``ahead`` that of the instance
        that knows most.
        """
        if known >= self._target:
            self._target = ahead
            self._since = now
        return now - self._since if self._target > known else 0.0
