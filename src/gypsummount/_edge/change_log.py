"""The order in which an instance applied the latest changes of records."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._edge.store_feed import Kind

MAX_RECENT_CHANGES = 4000


@dataclass(slots=True, frozen=True)
class RecordName:
    """Identifies a record of the store, whether present or removed."""

    kind: Kind
    name: str


class ChangeLog:
    """Numbers the changes of records; the latest ones are kept.

    ``sequence`` is the number of the latest change.
    """

    __slots__ = ("_discarded_until", "_listeners", "_recent", "sequence")

    def __init__(self) -> None:
        self._recent: OrderedDict[RecordName, int] = OrderedDict()
        self._discarded_until = 0
        self._listeners: list[Callable[[], None]] = []
        self.sequence = 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after every change."""
        self._listeners.append(listener)

    def record(self, kind: Kind, name: str) -> None:
        """Record a change and call the listeners."""
        self.sequence += 1
        record_name = RecordName(kind, name)
        self._recent[record_name] = self.sequence
        self._recent.move_to_end(record_name)
        if len(self._recent) > MAX_RECENT_CHANGES:
            _, self._discarded_until = self._recent.popitem(last=False)
        for listener in self._listeners:
            listener()

    def discard(self) -> None:
        """Discard all changes, so that peers need a complete copy."""
        self.sequence += 1
        self._recent.clear()
        self._discarded_until = self.sequence

    def list_after(self, after: int) -> list[RecordName] | None:
        """Return the records changed after a sequence number, oldest first.

        Return None if later changes were discarded or if the number has
        not been reached: the list would be incomplete, so the peer needs
        a complete copy.
        """
        if after < self._discarded_until or after > self.sequence:
            return None
        changed_names = []
        for name in reversed(self._recent):
            if self._recent[name] <= after:
                break
            changed_names.append(name)
        changed_names.reverse()
        return changed_names
