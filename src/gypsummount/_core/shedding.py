"""Load shedding by a process that is short of time itself."""

# A request that waited longer (s) before it was read came to a busy process.
BUSY_S = 0.1
# What a busy process admits in a round, so that it goes on serving.
LEAST_PER_ROUND = 6


class LoadShedder:
    """Refuses requests while the process reads late.

    A request takes several rounds of the event loop.  Each lasts as long
    as the work that the one before admitted, so without a limit all
    requests become late together.  A refusal costs a fraction of a
    request.
    """

    __slots__ = ("_admitted", "_round", "refused")

    def __init__(self) -> None:
        self._round = -1
        self._admitted = 0
        self.refused = 0

    def admit(self, round_number: int, unread_s: float) -> bool:
        """Admit a request, or count it as refused.

        ``unread_s`` is how long it has waited to be read, at most.
        """
        if round_number != self._round:
            self._round = round_number
            self._admitted = 0
        if unread_s > BUSY_S and self._admitted >= LEAST_PER_ROUND:
            self.refused += 1
            return False
        self._admitted += 1
        return True
