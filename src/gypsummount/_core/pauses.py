"""Which ledgers may be followed after a pause of the process."""


class PauseGate:
    """Counts pauses; admits only what was read in knowledge of them.

    A ledger that was read before a pause ended may grant what has been
    given to others since, so a reader states how many pauses it had
    heard of before it read.
    """

    __slots__ = ("_is_paused", "count")

    def __init__(self) -> None:
        self.count = 0
        self._is_paused = False

    def note(self, is_suspended: bool) -> None:
        """Record whether shares are suspended at the moment."""
        if is_suspended and not self._is_paused:
            self.count += 1
        self._is_paused = is_suspended

    def admits(self, known: int) -> bool:
        """Tell whether a ledger read with a known count may be used."""
        return known >= self.count
