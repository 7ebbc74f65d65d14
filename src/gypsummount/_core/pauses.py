"""Which copies of a ledger may be applied after a process pause."""


class PauseGate:
    """Counts pauses and rejects ledgers that were read before their end.

    Such a ledger may grant shares that have been granted to other
    holders since.  Therefore the reader of a ledger states how many
    pauses of the process it knew of before it read.
    """

    __slots__ = ("_was_suspended", "count")

    def __init__(self) -> None:
        self.count = 0
        self._was_suspended = False

    def record(self, is_suspended: bool) -> None:
        """Record whether shares are suspended.

        Each new suspension of the shares counts as a pause of the process.
        """
        if is_suspended and not self._was_suspended:
            self.count += 1
        self._was_suspended = is_suspended

    def admits(self, known: int) -> bool:
        """Tell whether a ledger may be applied.

        ``known`` is the number of pauses that its reader knew of.
        """
        return known >= self.count
