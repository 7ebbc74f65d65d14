"""How many requests a process takes on when it is short of time itself."""

# A request that waited longer (s) before it was read came to a busy process.
BUSY_S = 0.1
# What a busy process takes on in a round, so that it goes on serving.
LEAST_PER_ROUND = 6


class Intake:
    """Refuses at the door while the process reads late.

    A request takes several rounds of the event loop.  Each lasts as long
    as the work that the one before took on, so without a limit all
    requests become late together.  A refusal costs a fraction of a
    request.
    """

    __slots__ = ("_taken", "_round", "refused")

    def __init__(self) -> None:
        self._round = -1
        self._taken = 0
        self.refused = 0

    def take(self, number: int, unread_s: float) -> bool:
        """Take a request on, or count it as refused.

        ``number`` is that of the round, ``unread_s`` how long the
        request has waited to be read, at most.
        """
        if number != self._round:
            self._round = number
            self._taken = 0
        if unread_s > BUSY_S and self._taken >= LEAST_PER_ROUND:
            self.refused += 1
            return False
        self._taken += 1
        return True
