"""Writes of a lease whose outcome may be unknown."""

from dataclasses import dataclass
from dataclasses import replace

from gypsummount._core.lease_records import LeaseRecord

# An older attempt is forgotten; if it is executed after all, its record
# counts as that of another holder.
MAX_ATTEMPTS = 16


@dataclass(slots=True, frozen=True)
class LeaseAttempt:
    """A write that may be executed, and when it was sent.

    ``serial`` is the number of the payload that it contains.
    """

    record: LeaseRecord
    sent_at: float
    serial: int


class LeaseAttempts:
    """The writes sent since the last one that is known to be executed.

    Each has a number, the record's ``renewals``, which tells in a record
    that is read later which of the writes the store has executed.
    """

    __slots__ = ("_attempts", "_incarnation", "_last", "_name")

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._attempts: dict[int, LeaseAttempt] = {}
        self._last = 0

    def add(
        self, record: LeaseRecord, sent_at: float, serial: int
    ) -> LeaseRecord:
        """Add a write; return the record to write, with its number."""
        self._last += 1
        numbered = replace(record, renewals=self._last)
        while len(self._attempts) >= MAX_ATTEMPTS:
            del self._attempts[min(self._attempts)]
        self._attempts[self._last] = LeaseAttempt(numbered, sent_at, serial)
        return numbered

    def find(self, record: LeaseRecord) -> LeaseAttempt | None:
        """Return the write that a record of the store stems from."""
        return (
            self._attempts.get(record.renewals)
            if self.is_own(record)
            else None
        )

    def is_own(self, record: LeaseRecord) -> bool:
        """Tell whether this process wrote a record."""
        return (
            record.holder == self._name
            and record.incarnation == self._incarnation
        )

    def clear(self) -> None:
        """Forget all writes, as none of them can count any more."""
        self._attempts.clear()
