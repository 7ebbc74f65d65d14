"""Backoff between the rounds in which a holder asks peers for loans."""

# Pause after a round in which a peer has lent something; each round without
# a loan doubles it.
INITIAL_PAUSE_S = 0.02
# Longest pause while a peer has lent something within RECENT_LOAN_S.
MAX_RECENT_PAUSE_S = 0.1
# Longest pause otherwise.
MAX_PAUSE_S = 0.5
# Time after a loan for which it counts as recent.
RECENT_LOAN_S = 2.0


class BorrowBackoff:
    """Doubles the pause after each round in which no peer lends.

    The pause stays short after a recent loan, since a request waits for
    tokens for less than half a second.
    """

    __slots__ = ("_last_loan_at", "_next_at", "_pause_s")

    def __init__(self) -> None:
        self._next_at = 0.0
        self._pause_s = INITIAL_PAUSE_S
        self._last_loan_at = -RECENT_LOAN_S

    def get_remaining_pause(self, now: float) -> float:
        """Return the seconds until the next round may start, or 0."""
        return max(0.0, self._next_at - now)

    def record_round(self, now: float, was_lent: bool) -> None:
        """Record a finished round and compute the next pause."""
        if was_lent:
            self._last_loan_at = now
            self._pause_s = INITIAL_PAUSE_S
        else:
            is_recent = now - self._last_loan_at < RECENT_LOAN_S
            max_pause_s = MAX_RECENT_PAUSE_S if is_recent else MAX_PAUSE_S
            self._pause_s = min(self._pause_s * 2, max_pause_s)
        self._next_at = now + self._pause_s
