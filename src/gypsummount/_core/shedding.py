"""Load shedding by a process whose event loop is overloaded."""

# Read delay (time a request waits in its socket) above which the process
# counts as overloaded.
MAX_READ_DELAY_S = 0.1
# Requests that an overloaded process still admits per event loop iteration,
# so that it does not only refuse.
MIN_ADMITTED = 6


class LoadShedder:
    """Refuses requests while the process reads them late.

    A request takes several iterations of the event loop.  An iteration
    takes as long as the work that the previous one admitted, so without
    a limit all requests become late together.  A refusal costs only a
    fraction of the time of a served request.
    """

    __slots__ = ("_admitted", "_iteration", "refused")

    def __init__(self) -> None:
        self._iteration = -1
        self._admitted = 0
        self.refused = 0

    def admit(self, iteration: int, read_delay_s: float) -> bool:
        """Tell whether to serve a request; count it if it is refused.

        ``iteration`` is the number of the event loop iteration, and
        ``read_delay_s`` the longest time that the request can have waited
        in its socket.
        """
        if iteration != self._iteration:
            self._iteration = iteration
            self._admitted = 0
        if read_delay_s > MAX_READ_DELAY_S and self._admitted >= MIN_ADMITTED:
            self.refused += 1
            return False
        self._admitted += 1
        return True
