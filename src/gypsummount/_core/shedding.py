"""Load shedding by a process whose event loop is overloaded."""

# Read delay from which the process counts as overloaded.
BUSY_S = 0.1
# Requests that an overloaded process still admits per event loop iteration,
# so that it does not only refuse.
LEAST_PER_ROUND = 6


class LoadShedder:
    """Refuses requests while the process reads them late.

    A request takes several iterations of the event loop.  An iteration
    takes as long as the work that the previous one admitted, so without
    a limit all requests become late together.  A refusal costs only a
    fraction of the time of a served request.
    """

    __slots__ = ("_admitted", "_round", "refused")

    def __init__(self) -> None:
        self._round = -1
        self._admitted = 0
        self.refused = 0

    def admit(self, round_number: int, unread_s: float) -> bool:
        """Tell whether to serve a request; count it if it is refused.

        ``round_number`` is the number of the event loop iteration, and
        ``unread_s`` the longest time that the request can have waited
        in its socket.
        """
        if round_number != self._round:
            self._round = round_number
            self._admitted = 0
        if unread_s > BUSY_S and self._admitted >= LEAST_PER_ROUND:
            self.refused += 1
            return False
        self._admitted += 1
        return True
