"""Load, health and pace of one upstream as an edge instance sees it."""

from collections import deque
from collections import OrderedDict
from enum import Enum

from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.placement import hash_name

REPORT_FADE_S = 0.5
WORK_WEIGHT = 0.02
FIRST_WORK_S = 0.2
FIRST_RATIO = 2.0
MOST_LOAD = 2.0
SPARE_PART = 0.35
SECOND_PART = 0.7
LEAST_EXTRA_S = 0.02
MOST_KNOWN = 256
FAULTS_TO_EJECT = 3
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
ERROR_WEIGHT = 0.1
HIGH_ERROR_RATE = 0.25
PACE_WINDOW_S = 1.0
RETURN_COLD_S = 1.0
# An upstream is silent after so long, and so many times its latency.
LEAST_SILENCE_S = 0.4
SILENT_LATENCIES = 3.0
FAIR_LATENCIES = 2.0

_log = get_logger("backlog")


class ColdSign(Enum):
    """What tells that an upstream is cold."""

    ENTRY = "entry"
    EVACUATION = "evacuation"
    FIRST_SIGHT = "first_sight"
    BROKEN_EXCHANGE = "broken_exchange"
    SILENCE = "silence"
    UNREACHABLE = "unreachable"
    WAKING = "waking"
    ISOLATION = "isolation"


class ServiceWork:
    """How long the upstreams of a service work, by their place.

    The first upstream in an object's order usually knows the object;
    the difference to the others is what it costs to leave it.
    """

    __slots__ = ("first_s", "other_s")

    def __init__(self) -> None:
        self.first_s = FIRST_WORK_S
        self.other_s = FIRST_WORK_S * FIRST_RATIO

    def observe(self, position: int, work_s: float) -> None:
        """Record one answer of the upstream at a place."""
        if position == 0:
            self.first_s += (work_s - self.first_s) * WORK_WEIGHT
        else:
            self.other_s += (work_s - self.other_s) * WORK_WEIGHT

    def find_cost(
        self, position: int, load: float, slots: int, left_s: float
    ) -> float | None:
        """Return the delay (s) beyond that of an idle first upstream.

        None means that the upstream has too much waiting, or that the
        request would wait there and still be late: it would only make
        others late.  ``left_s`` is the time in which it is not late.
        """
        if load >= slots * MOST_LOAD:
            return None
        waiting = max(0.0, load + 1 - slots)
        cost_s = waiting * self.first_s / slots
        if waiting >= 1 and cost_s + self.first_s > left_s:
            return None
        if position == 0:
            return cost_s
        extra_s = max(LEAST_EXTRA_S, self.other_s - self.first_s)
        return cost_s + extra_s * (SECOND_PART if position == 1 else 1.0)


class UpstreamLoad:
    """Own requests, reported load, faults and cold pace."""

    __slots__ = (
        "_ejected_until",
        "_ejections",
        "_faults",
        "_known",
        "_others",
        "_quiet_since",
        "_reported_at",
        "_sent",
        "_shut_until",
        "cold_until",
        "doubted_until",
        "error_rate",
        "in_flight",
        "latency_s",
        "record",
        "seed",
    )

    def __init__(self, record: UpstreamRecord) -> None:
        self.record = record
        self.seed = hash_name(record.name)
        self.cold_until = 0.0
        self.doubted_until = 0.0
        self.in_flight = 0
        self.latency_s = 0.0
        self.error_rate = 0.0
        self._known: OrderedDict[int, None] = OrderedDict()
        self._others = 0.0
        self._reported_at = 0.0
        self._faults = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._shut_until = 0.0
        self._sent: deque[float] = deque()
        self._quiet_since = 0.0

    def estimate(self, now: float) -> float:
        """Return the requests at the upstream, all instances."""
        age_s = now - self._reported_at
        if age_s >= 2 * REPORT_FADE_S:
            return float(self.in_flight)
        fade = 1.0 if age_s < REPORT_FADE_S else 0.5
        return self.in_flight + self._others * fade

    def can_take(self, now: float) -> bool:
        """Tell whether the upstream is neither ejected nor shedding."""
        return now >= self._ejected_until and now >= self._shut_until

    def is_cold(self, now: float) -> bool:
        """Tell whether the upstream may still bear few requests only."""
        return now < max(self.cold_until, self.doubted_until)

    def is_doubted(self, now: float) -> bool:
        """Tell whether the upstream may be cold without our knowledge."""
        return self.cold_until <= now < self.doubted_until

    def is_silent(self, now: float) -> bool:
        """Tell whether requests are out and none has been answered."""
        return self.in_flight > 0 and self.is_quiet(now)

    def is_quiet(self, now: float) -> bool:
        """Tell whether no answer has come for longer than is usual."""
        limit_s = max(LEAST_SILENCE_S, SILENT_LATENCIES * self.latency_s)
        return now - self._quiet_since > limit_s

    def is_fair(self, span_s: float) -> bool:
        """Tell whether an answer was to be expected in a time (s)."""
        return span_s >= FAIR_LATENCIES * self.latency_s

    def note_heard(self, now: float) -> None:
        """Record an answer of any kind."""
        self._quiet_since = now

    def has_spare(self, load: float) -> bool:
        """Tell whether one more request that takes long fits at a load."""
        return load + 1 <= self.record.slots * SPARE_PART

    def has_pace(self, now: float, cold_limit: float) -> bool:
        """Tell whether a cold upstream may get one more this second."""
        if not self.is_cold(now):
            return True
        self._forget_sends(now)
        return len(self._sent) + 1 <= cold_limit

    def take_over_sends(self, before: "UpstreamLoad") -> None:
        """Count what an earlier start of the upstream was sent."""
        self._sent = before._sent

    def note_start(self, now: float) -> None:
        """Record that a request is sent.

        Sends count for the pace also before the upstream is known to be
        cold: the news may come after its start.
        """
        if self.in_flight == 0:
            self._quiet_since = now
        self.in_flight += 1
        self._sent.append(now)
        self._forget_sends(now)

    def _forget_sends(self, now: float) -> None:
        while self._sent and self._sent[0] <= now - PACE_WINDOW_S:
            self._sent.popleft()

    def note_cold(self, now: float, until: float, sign: ColdSign) -> None:
        """Record that the upstream is cold until a moment, at least."""
        self._log_cold(now, until, sign)
        self.cold_until = max(self.cold_until, until)

    def note_doubt(self, now: float, cold_s: float, sign: ColdSign) -> None:
        """Record that the upstream may have started again unnoticed.

        Its entry tells of that only later, so it counts as cold for
        ``cold_s`` and a margin, or until it says otherwise.
        """
        until = now + cold_s + RETURN_COLD_S
        # It comes for every upstream twice a second.
        if sign is not ColdSign.ISOLATION:
            self._log_cold(now, until, sign)
        self.doubted_until = max(self.doubted_until, until)

    def note_health(self, now: float, cold_s: float) -> None:
        """Record how much longer (s) the upstream says it is cold."""
        self.doubted_until = 0.0
        self.cold_until = now + cold_s
        self.note_heard(now)

    def _log_cold(self, now: float, until: float, sign: ColdSign) -> None:
        if self.is_cold(now):
            return
        self._forget_sends(now)
        _log.info(
            "Upstream %s is cold.",
            self.record.name,
            extra={
                "sign": sign.value,
                "for_s": round(until - now, 2),
                "sent_last_second": len(self._sent),
            },
        )

    def note_end(self) -> None:
        """Record that an exchange is over, however it ended."""
        self.in_flight -= 1

    def note_report(self, running: int, waiting: int, now: float) -> None:
        """Record the load that came with an answer."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now

    def note_shed(self, now: float, pause_s: float) -> None:
        """Record that the upstream refused to run a request."""
        self._shut_until = max(self._shut_until, now + pause_s)

    def knows(self, hashed: int) -> bool:
        """Tell whether the upstream has lately answered for an object."""
        return hashed in self._known

    def note_success(self, latency_s: float, hashed: int) -> None:
        """Record a good answer for an object."""
        self._known[hashed] = None
        self._known.move_to_end(hashed)
        if len(self._known) > MOST_KNOWN:
            self._known.popitem(last=False)
        self._faults = 0
        self._ejections = 0
        self.error_rate -= self.error_rate * ERROR_WEIGHT
        gap = latency_s - self.latency_s
        self.latency_s += gap * (0.1 if self.latency_s else 1.0)

    def note_fault(self, now: float) -> None:
        """Record a failed exchange; several in a row eject."""
        self._faults += 1
        self.error_rate += (1 - self.error_rate) * ERROR_WEIGHT
        if self._faults < FAULTS_TO_EJECT:
            return
        self._faults = FAULTS_TO_EJECT - 1
        pause = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self._ejected_until = now + pause

    def note_unreachable(self, now: float, cold_s: float) -> None:
        """Record that no connection could be made.

        The upstream may come back cold, so it is paced after that.
        """
        self.note_fault(now)
        self._ejected_until = max(self._ejected_until, now + FIRST_EJECTION_S)
        cold_s += self._ejected_until - now
        self.note_doubt(now, cold_s, ColdSign.UNREACHABLE)
