"""A holder's share of the slots of one upstream."""

from gypsummount._core.shares import PAUSE_LIMIT_S


class SlotShare:
    """Counts requests in flight against the owned slots.

    The owned slots are those that the ledger grants to the holder, capped
    at the holder's target.  After a pause of the process of more than
    :data:`PAUSE_LIMIT_S` the share is suspended: no slot can be acquired
    until :meth:`apply_granted` is called with the slots from a ledger that
    was read after the pause.
    """

    __slots__ = ("_advanced_at", "_owned", "_suspended", "in_use", "upstream")

    def __init__(self, upstream: str, now: float) -> None:
        self.upstream = upstream
        self.in_use = 0
        self._owned = 0
        self._advanced_at = now
        self._suspended = False

    @property
    def owned(self) -> int:
        """Return the number of granted slots, capped at the target."""
        return self._owned

    @property
    def is_suspended(self) -> bool:
        """Tell whether a pause of the process has suspended the share."""
        return self._suspended

    @property
    def free(self) -> int:
        """Return the number of slots that can be acquired."""
        if self._suspended:
            return 0
        return max(0, self._owned - self.in_use)

    def advance(self, now: float) -> None:
        """Record that the process runs; suspend the share after a pause."""
        if now - self._advanced_at > PAUSE_LIMIT_S:
            self._suspended = True
        self._advanced_at = max(self._advanced_at, now)

    def apply_granted(self, owned: int, now: float) -> None:
        """Set the owned slots from a ledger read after the last pause."""
        self.advance(now)
        self._suspended = False
        self._owned = owned

    def can_confirm(self) -> bool:
        """Tell whether the holder can confirm a lowered number of slots.

        It can once no more slots are in use than owned.
        """
        return self.in_use <= self._owned

    def try_acquire(self, now: float) -> bool:
        """Acquire a slot; return False if none is free."""
        self.advance(now)
        if self.free < 1:
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        """Release a slot in use.

        :raises ValueError: when no slot is in use.
        """
        if self.in_use < 1:
            raise ValueError(
                f"no slot of {self.upstream} is in use; release each slot once"
            )
        self.in_use -= 1
