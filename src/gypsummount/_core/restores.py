"""What is kept when the store is restored from an older copy.

A restore loses the last writes and undoes the last removals.  Their writers
repeat them, but not at a known time.  Until then, the records of which this
module decides keep the state that they had.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from math import inf

from gypsummount._core.catalog import UpstreamRecord

# How long a lost record stays, and a removed one that is back is ignored.
RESTORE_HOLD_S = 10.0
# How long a removal is remembered; a copy is only some seconds older.
REMOVAL_MEMORY_S = 120.0
MAX_REMOVALS = 4000


@dataclass(slots=True, frozen=True)
class Removal:
    """The removal of a record: when, and its last value."""

    at: float
    value: object


@dataclass(slots=True, frozen=True)
class Withheld:
    """A record at a position that is ignored until ``due_at``."""

    position: int
    due_at: float


class RestoreHolds:
    """The records of one kind that a restore lost or brought back.

    ``kept`` maps a lost record to the time at which its removal is due;
    ``withheld`` holds the records that are back and ignored.  Times are
    boot-clock seconds, and ``began_at`` is when the present era began here.
    """

    __slots__ = ("_removals", "began_at", "kept", "withheld")

    def __init__(self) -> None:
        self._removals: OrderedDict[str, Removal] = OrderedDict()
        self.began_at = float("-inf")
        self.kept: dict[str, float] = {}
        self.withheld: dict[str, Withheld] = {}

    def begin(self, now: float) -> None:
        """Begin a new era; the holds of the last one end."""
        self.began_at = now
        self.kept.clear()
        self.withheld.clear()

    def keep(self, name: str) -> None:
        """Keep a lost record until the hold ends."""
        self.kept[name] = self.began_at + RESTORE_HOLD_S

    def withhold(self, name: str, position: int, *, is_timed: bool) -> None:
        """Ignore a record, until the hold ends if ``is_timed``."""
        due_at = self.began_at + RESTORE_HOLD_S if is_timed else inf
        self.withheld[name] = Withheld(position, due_at)

    def is_holding(self, now: float) -> bool:
        """Tell whether the era began less than the hold ago."""
        return now < self.began_at + RESTORE_HOLD_S

    def record_removal(self, name: str, value: object, now: float) -> None:
        """Remember that a record was removed, and end its holds."""
        self.forget(name)
        self._removals[name] = Removal(now, value)
        self._removals.move_to_end(name)
        while len(self._removals) > MAX_REMOVALS:
            self._removals.popitem(last=False)

    def find_removal(self, name: str, now: float) -> Removal | None:
        """Return the recent removal of a record, or None."""
        removal = self._removals.get(name)
        if removal is None or removal.at < now - REMOVAL_MEMORY_S:
            return None
        return removal

    def forget(self, name: str) -> None:
        """End the holds of a record, because it has changed since."""
        self.kept.pop(name, None)
        self.withheld.pop(name, None)

    def take_lost(self, now: float) -> list[str]:
        """Return the kept records whose removal is due, and forget them."""
        due = [name for name, due_at in self.kept.items() if due_at <= now]
        for name in due:
            del self.kept[name]
        return due

    def take_accepted(self, now: float) -> list[str]:
        """Return the withheld records whose hold has ended; forget them."""
        due = [
            name
            for name, withheld in self.withheld.items()
            if withheld.due_at <= now
        ]
        for name in due:
            del self.withheld[name]
        return due


def is_older_registration(
    record: UpstreamRecord, known: UpstreamRecord
) -> bool:
    """Tell whether a restored registration is no newer than the known one.

    Unlike in the order of other registrations, one with the same heartbeat
    counts as older, and so does one without a start time.
    """
    if record.started_ms and known.started_ms:
        if record.started_ms != known.started_ms:
            return record.started_ms < known.started_ms
    return record.sequence <= known.sequence


def is_repeated_registration(
    record: UpstreamRecord, known: UpstreamRecord
) -> bool:
    """Tell whether a record is no later heartbeat of the known start."""
    if not record.started_ms or record.started_ms != known.started_ms:
        return False
    return record.sequence <= known.sequence


class CatalogChoice(Enum):
    """What to do with a configuration; one of the same era is ordinary."""

    SAME_ERA = "same_era"
    USE = "use"
    WITHHOLD = "withhold"
    IGNORE = "ignore"


def choose_catalog(
    version: int, version_in_force: int, *, is_later: bool
) -> CatalogChoice:
    """Compare a configuration with the one in force, of another era.

    ``is_later`` tells whether its era is the later one.  The version
    decides: the store may have lost the one in force, or a peer may hold
    one that the store has lost.
    """
    if version > version_in_force:
        return CatalogChoice.USE
    if not is_later:
        return CatalogChoice.IGNORE
    if version < version_in_force:
        return CatalogChoice.WITHHOLD
    return CatalogChoice.USE
