"""Decision which windows are reported, when and with what counts.

The counts of a window are recorded in the payload of the lease before they
are sent, and only recorded counts are sent.  Windows are decided in order.
All times are Unix time (s).
"""

from dataclasses import dataclass
from enum import Enum
from json import dumps
from json import loads
from math import inf

from gypsummount._core.usage import CLOSE_DELAY_S
from gypsummount._core.usage import MAX_WORKSPACES
from gypsummount._core.usage import NO_WINDOW
from gypsummount._core.usage import UsageRules
from gypsummount._core.usage_collection import Coverage
from gypsummount._core.usage_collection import UsageCollection
from gypsummount.errors import RecordInvalid

# Fractions of the time until a report is due: then a window is recorded if
# half of the permitted error is missing, and then with all of it or never.
SETTLE_FRACTION = 0.5
LAST_FRACTION = 0.8
# A process knows all instances this long (s) after its start.
DISCOVERY_S = 5.0
# A new holder first hears what the instances know of recorded windows.
TAKEOVER_S = 1.0
# Permitted difference (s) between the clocks of two instances.
MAX_SKEW_S = 0.5
MAX_RECORDS = 8
MAX_COUNT = 1 << 40
MAX_WINDOW = 1 << 53
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0
# A call is not begun when less than this (s) is left until it is due.
MIN_CALL_TIME_S = 0.2


class MissReason(Enum):
    """Why a window is not reported."""

    # The instances that did not send their counts had too many requests.
    INCOMPLETE = "incomplete"
    # Nobody could record it until it was due.
    LATE = "late"
    # An earlier holder recorded it, and the store has lost the record.
    RECORD_LOST = "record_lost"
    # This process started too late to know all instances of the window.
    NEW_HOLDER = "new_holder"
    # It was recorded and sent, but no call was answered in time.
    UNANSWERED = "unanswered"


@dataclass(slots=True, frozen=True)
class Report:
    """A window's counts, which never change once they are recorded."""

    window: int
    counts: dict[str, int]


@dataclass(slots=True, frozen=True)
class Miss:
    """Windows that are not reported; ``coverage`` says whose counts lack."""

    first: int
    last: int
    reason: MissReason
    coverage: Coverage | None = None


@dataclass(slots=True)
class _Delivery:
    """A recorded report and when it is sent next."""

    report: Report
    next_at: float = -inf
    retry_s: float = FIRST_RETRY_S
    attempts: int = 0


def encode_payload(recorded: int, settled: int, reports: list[Report]) -> str:
    """Return the payload of the lease."""
    raw = {
        "recorded": recorded,
        "settled": settled,
        "reports": [[each.window, each.counts] for each in reports],
    }
    return dumps(raw, separators=(",", ":"))


def check_counts(raw: object, max_count: int) -> dict[str, int]:
    """Return counts by workspace.

    :raises ValueError: when they are malformed.
    """
    if not isinstance(raw, dict) or len(raw) > MAX_WORKSPACES:
        raise ValueError("the counts are not an object of permitted size")
    for workspace, count in raw.items():
        if not isinstance(workspace, str) or type(count) is not int:
            raise ValueError("a count is not a whole number")
        if not 0 <= count <= max_count:
            raise ValueError("a count is out of range")
    return raw


def decode_payload(text: str) -> tuple[int, int, list[Report]]:
    """Return highest recorded and settled window and the open reports.

    :raises RecordInvalid: when the payload cannot be decoded.
    """
    try:
        raw = loads(text)
        reports = [
            Report(_check_window(window), check_counts(counts, MAX_COUNT))
            for window, counts in raw["reports"][:MAX_RECORDS]
        ]
        recorded = _check_window(raw["recorded"])
        return recorded, _check_window(raw["settled"]), reports
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise RecordInvalid(
            f"the payload of the usage lease cannot be decoded ({error!r}); "
            "look which program wrote it"
        ) from None


def _check_window(raw: object) -> int:
    if type(raw) is not int or not NO_WINDOW <= raw <= MAX_WINDOW:
        raise ValueError("a window is not a whole number in range")
    return raw


class UsageReports:
    """What was recorded and reported, as this instance knows it.

    ``recorded`` is the highest window that any holder recorded, and all
    windows up to ``settled`` are reported or missed.
    """

    def __init__(self, rules: UsageRules, started_at: float) -> None:
        self._rules = rules
        self._started_at = started_at
        self._deliveries: dict[int, _Delivery] = {}
        self._decided = NO_WINDOW
        self._pending: Report | None = None
        self._held_since = -inf
        self._is_first = False
        self.recorded = NO_WINDOW
        self._heard_settled = NO_WINDOW

    @property
    def settled(self) -> int:
        """Return the window up to which all are reported or missed."""
        if self._deliveries:
            decided = min(self._deliveries) - 1
        else:
            decided = self._decided
        return max(decided, self._heard_settled)

    def hear(self, recorded: int, settled: int, at: float) -> bool:
        """Apply what another instance knows; return False if impossible."""
        last = self._rules.get_window(at + MAX_SKEW_S) - 1
        if max(recorded, settled) > last:
            return False
        self.recorded = max(self.recorded, recorded)
        self._heard_settled = max(self._heard_settled, settled)
        return True

    def take_over(self, payload: str, at: float) -> None:
        """Continue from the payload of the lease that was just obtained.

        :raises RecordInvalid: when the payload cannot be decoded; then all
            windows that had ended count as recorded.
        """
        self._pending = None
        self._held_since = at
        self._is_first = not payload and self.recorded == NO_WINDOW
        own = self._deliveries
        self._deliveries = {}
        if payload:
            self._apply_payload(payload, at)
        for window, delivery in own.items():
            if window > self._heard_settled:
                self._deliveries.setdefault(window, delivery)
        self._decided = max(
            self._decided, self._heard_settled, *self._deliveries
        )

    def _apply_payload(self, payload: str, at: float) -> None:
        try:
            recorded, settled, reports = decode_payload(payload)
            if not self.hear(recorded, settled, at):
                raise RecordInvalid(
                    "the usage lease names windows that are not over; "
                    "compare the clocks of the instances"
                )
        except RecordInvalid:
            self.recorded = max(self.recorded, self._rules.get_window(at) - 1)
            raise
        for report in reports:
            if report.window > self._heard_settled:
                self._deliveries[report.window] = _Delivery(report)

    def step(self, collection: UsageCollection, at: float) -> list[Miss]:
        """Give up the windows that cannot be reported; return them."""
        misses = self._expire_deliveries(at)
        if self._pending and self._pending.window <= self.recorded:
            # An earlier holder had recorded it, with counts of its own.
            self._pending = None
        first = self._find_open(collection, at)
        if first is None or self._pending is not None:
            return misses
        last = self._find_last_due(at)
        if first <= last:
            misses.append(self._miss(first, last, MissReason.LATE))
            first = last + 1
        last = min(self.recorded, self._rules.get_window(at))
        if first <= last:
            misses.append(self._miss(first, last, MissReason.RECORD_LOST))
        return misses

    def choose(
        self, collection: UsageCollection, at: float
    ) -> Report | Miss | None:
        """Return the next report to record, a window to miss, or None.

        A report whose write was not acknowledged is returned again, with
        the same counts.
        """
        if self._pending is not None:
            if at < self._rules.get_due(self._pending.window):
                return self._pending
            # The store may contain it, so it is kept like a recorded one.
            self.confirm(self._pending)
            return None
        window = self._find_open(collection, at)
        if window is None or len(self._deliveries) >= MAX_RECORDS:
            return None
        age_s = at - self._rules.get_end(window)
        if age_s < CLOSE_DELAY_S or at < self._held_since + TAKEOVER_S:
            return None
        if at < self._started_at + DISCOVERY_S:
            return None
        if not self._knows_fleet(window):
            return self._miss(window, window, MissReason.NEW_HOLDER)
        coverage = collection.estimate_coverage(window)
        if not self._is_complete(coverage, age_s):
            if age_s < LAST_FRACTION * self._rules.delay_s:
                return None
            return self._miss(window, window, MissReason.INCOMPLETE, coverage)
        self._pending = Report(window, collection.sum_counts(window))
        return self._pending

    def confirm(self, report: Report) -> None:
        """Record that a report is in the lease's payload, so it is sent."""
        self._pending = None
        self.recorded = max(self.recorded, report.window)
        self._decided = max(self._decided, report.window)
        self._deliveries[report.window] = _Delivery(report)

    def build_payload(self, report: Report | None = None) -> str:
        """Return the payload, with a report that is about to be recorded."""
        reports = [each.report for each in self._deliveries.values()]
        recorded = self.recorded
        pending = report or self._pending
        if pending is not None:
            reports.append(pending)
            recorded = max(recorded, pending.window)
        return encode_payload(recorded, self.settled, reports)

    def get_next_call(self, at: float) -> Report | None:
        """Return the recorded report to send now, the oldest first."""
        for window in sorted(self._deliveries):
            delivery = self._deliveries[window]
            left_s = self._rules.get_due(window) - at
            if delivery.next_at <= at and left_s >= MIN_CALL_TIME_S:
                return delivery.report
        return None

    def record_done(self, report: Report) -> None:
        """Record that a report was executed."""
        self._deliveries.pop(report.window, None)

    def record_failure(
        self, report: Report, at: float, retry_after_s: float = 0.0
    ) -> bool:
        """Plan the next call; return True if it is a retry in time."""
        delivery = self._deliveries.get(report.window)
        if delivery is None:
            return False
        delivery.attempts += 1
        delivery.next_at = at + max(delivery.retry_s, retry_after_s)
        delivery.retry_s = min(MAX_RETRY_S, 2 * delivery.retry_s)
        left_s = self._rules.get_due(report.window) - delivery.next_at
        return left_s >= MIN_CALL_TIME_S

    def _expire_deliveries(self, at: float) -> list[Miss]:
        expired = [
            window
            for window in sorted(self._deliveries)
            if self._rules.get_due(window) - at < MIN_CALL_TIME_S
        ]
        for window in expired:
            del self._deliveries[window]
        return [
            Miss(window, window, MissReason.UNANSWERED) for window in expired
        ]

    def _find_open(self, collection: UsageCollection, at: float) -> int | None:
        """Return the first window that is not decided, if it has begun."""
        if self._decided == NO_WINDOW:
            self._begin(collection, at)
        window = self._decided + 1
        if self._decided == NO_WINDOW or window > self._rules.get_window(at):
            return None
        return window

    def _begin(self, collection: UsageCollection, at: float) -> None:
        """Begin with the first window of the fleet, as nobody reported yet."""
        first = collection.find_first_window()
        if first is not None:
            self._decided = max(first - 1, self._find_last_due(at), 0)

    def _find_last_due(self, at: float) -> int:
        """Return the last window that can no longer be reported in time."""
        rules = self._rules
        return rules.get_window(at + MIN_CALL_TIME_S - rules.delay_s) - 1

    def _knows_fleet(self, window: int) -> bool:
        """Tell whether this process knew all instances of a window.

        One that started later does not know those that were lost before.
        Nothing was lost if the fleet itself began then: no holder was
        before this one.
        """
        if self._is_first:
            return True
        known_from = self._started_at + DISCOVERY_S
        return self._rules.get_start(window) >= known_from

    def _is_complete(self, coverage: Coverage, age_s: float) -> bool:
        """Tell whether the counts of a window are certain enough by now."""
        if not coverage.silent:
            return True
        if age_s < SETTLE_FRACTION * self._rules.delay_s:
            return False
        permitted = self._rules.max_error
        if age_s < LAST_FRACTION * self._rules.delay_s:
            permitted /= 2
        return coverage.missing <= permitted

    def _miss(
        self,
        first: int,
        last: int,
        reason: MissReason,
        coverage: Coverage | None = None,
    ) -> Miss:
        self._decided = max(self._decided, last)
        return Miss(first, last, reason, coverage)
