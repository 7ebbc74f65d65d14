"""The era of the store, read from the header of its answers."""

from typing import final

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._core.positions import MAX_ERA
from gypsummount._core.sanitizing import Header
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable

ERA_HEADER = "store-era"
# A longer value is no era; the limit also bounds the logged text.
MAX_ERA_DIGITS = 6
LOGGED_CHARACTERS = 24
ERA_LINES_PER_S = 1.0

_log = get_logger("store")


@final
class StoreEras:
    """Tracks the newest known era; it is 0 until an answer states one."""

    def __init__(self) -> None:
        self.newest = 0
        self._has_answers_with = False
        self._has_answers_without = False
        self._ignored = LineLimiter(ERA_LINES_PER_S, read_monotonic())
        self._outdated = LineLimiter(ERA_LINES_PER_S, read_monotonic())

    def accept(self, headers: list[Header]) -> int:
        """Return the era of an answer, and record it if it is newer.

        An answer without a readable era has the newest known one.

        :raises StoreUnavailable: when the answer is of an earlier era.
        """
        text = _find_value(headers)
        era = _parse_era(text)
        if era is None:
            self._log_ignored(text)
            return self.newest
        if era < self.newest:
            self._log_outdated(era)
            raise StoreUnavailable(
                f"the store answered from its earlier era {era}; check that "
                "no replica of it runs on an old copy"
            )
        if era > self.newest and (
            self._has_answers_with or self._has_answers_without
        ):
            _log.info(
                "The store answers in a new era.",
                extra={"era": era, "known": self.newest},
            )
        self._has_answers_with = True
        self._has_answers_without = False
        self.newest = era
        return era

    def get_sent_revision(self, position: int) -> int:
        """Return the revision to send to the store for a position."""
        era = get_era(position)
        if era == 0 or (self.newest == 0 and self._has_answers_without):
            return position
        self.newest = max(self.newest, era)
        return get_revision(position)

    def check_condition(self, position: int) -> None:
        """Check that a conditional write may be sent.

        :raises StoreConflict: when the position is of an earlier era.
        """
        self.check_era(get_era(position))

    def check_era(self, era: int) -> None:
        """Check that what was read in an era may be replaced.

        :raises StoreConflict: when the era is an earlier one.
        """
        if era < self.newest:
            raise StoreConflict(
                "the store was restored since this object was read; read it "
                "again"
            )

    def _log_ignored(self, text: str | None) -> None:
        if text is None and self.newest == 0:
            self._has_answers_without = True
            return
        if not self._ignored.try_take(read_monotonic()):
            return
        _log.warning(
            "Ignored an answer's era: it is missing or no number up to %d.",
            MAX_ERA,
            extra={
                "value": text and text[:LOGGED_CHARACTERS],
                "known": self.newest,
                "left_out": self._ignored.dropped,
            },
        )

    def _log_outdated(self, era: int) -> None:
        if not self._outdated.try_take(read_monotonic()):
            return
        _log.warning(
            "Ignored an answer of an earlier era of the store.",
            extra={
                "era": era,
                "known": self.newest,
                "left_out": self._outdated.dropped,
            },
        )


def _find_value(headers: list[Header]) -> str | None:
    for header in headers:
        if header.name.lower() == ERA_HEADER:
            return header.value
    return None


def _parse_era(text: str | None) -> int | None:
    if text is None:
        return None
    text = text.strip()
    if not (text.isascii() and text.isdecimal()):
        return None
    if len(text) > MAX_ERA_DIGITS or int(text) > MAX_ERA:
        return None
    return int(text)
