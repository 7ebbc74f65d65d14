"""What an instance knows of a lease's record in the store."""

from gypsummount._core.lease_records import choose_token
from gypsummount._core.lease_records import LeaseRecord


class LeaseView:
    """The newest known record of a lease, and since when it is known.

    ``changed_at`` is when the last change of the record was received, and
    ``era_since`` when the store was first known to be of its present era.
    """

    __slots__ = (
        "changed_at",
        "era",
        "era_since",
        "is_outdated",
        "known_token",
        "record",
    )

    def __init__(self, now: float) -> None:
        self.record: LeaseRecord | None = None
        self.changed_at = now
        self.era = 0
        self.era_since = now
        self.known_token = 0
        self.is_outdated = True

    @property
    def revision(self) -> int:
        """Return the revision of the known record, 0 without one."""
        return self.record.revision if self.record is not None else 0

    def choose_token(self, refusals: int) -> int | None:
        """Return the token of a next holder, None if none is left."""
        return choose_token(
            self.known_token, self.era, self.revision, refusals
        )

    def observe_era(self, era: int, now: float) -> bool:
        """Record the era of a response; tell whether it is a new one."""
        if era <= self.era:
            return False
        self.era = era
        self.era_since = now
        self.is_outdated = True
        return True

    def observe_written(self, record: LeaseRecord, now: float) -> None:
        """Apply the record of an own write that is known to be executed."""
        self.record = record
        self.changed_at = now
        self.known_token = max(self.known_token, record.token)
        self.is_outdated = False

    def observe_read(self, record: LeaseRecord | None, now: float) -> bool:
        """Apply a record that was read; tell whether it has changed.

        A record whose token went back comes from an older copy of the
        store, so its real holder may still act.
        """
        self.is_outdated = False
        if record == self.record:
            return False
        token = record.token if record is not None else 0
        if token < self.known_token:
            self.era_since = now
        self.known_token = max(self.known_token, token)
        self.record = record
        self.changed_at = now
        return True
