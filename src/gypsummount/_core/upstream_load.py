"""Load, health and slow start of an upstream, as seen by an edge instance."""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.placement import hash_name
from gypsummount._core.send_holds import SendHold

# A reported load counts in full up to this age or, if that is longer, for a
# part of the processing time; by half up to twice that, and then not at all.
REPORT_FULL_WEIGHT_S = 0.5
REPORT_WORK_FRACTION = 0.5
# Only loads that were seen within this time are told to peers.
MAX_SHARED_AGE_S = 1.0
# Fraction of its slots up to which an upstream that is not the first choice
# gets requests for objects that it has not answered for recently.
SPARE_FRACTION = 0.35
# Objects kept for each upstream as those that it has answered for recently.
MAX_KNOWN_OBJECTS = 256
# Failed exchanges in a row that eject an upstream.
FAULTS_TO_EJECT = 3
# Duration of the first ejection; each further one in a row lasts twice as
# long, up to the maximum.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Smoothing factor of the error rate.
ERROR_RATE_SMOOTHING = 0.1
# Period over which the sends to a cold upstream are counted.
RATE_LIMIT_WINDOW_S = 1.0
# Margin after the slow start of an upstream that is suspected of a restart.
SUSPECTED_COLD_MARGIN_S = 1.0
# An upstream is silent when it has not answered for longer than both this
# time and this multiple of its latency.
MIN_SILENCE_S = 0.4
SILENT_LATENCIES = 3.0
# Multiple of the latency after which an answer is due.
DUE_LATENCIES = 2.0

_log = get_logger("backlog")


class ColdReason(Enum):
    """Reason why an upstream counts as cold.

    The values are written to the log field ``sign``.
    """

    # The upstream's registration says that it is cold.
    REGISTRATION = "entry"
    # The evacuation of the upstream's domain has ended.
    EVACUATION = "evacuation"
    # The registration is the first one that this instance sees; the upstream
    # may have restarted after it was written.
    FIRST_SIGHT = "first_sight"
    # An exchange with the upstream broke.
    BROKEN_EXCHANGE = "broken_exchange"
    # Requests are in flight, but no answer has come for too long.
    SILENCE = "silence"
    # No connection to the upstream could be opened.
    UNREACHABLE = "unreachable"
    # This process was paused, so it may have missed a restart.
    PROCESS_RESUMED = "waking"
    # This instance gets no updates, so it may have missed a restart or an
    # evacuation.
    ISOLATION = "isolation"


@dataclass(slots=True, frozen=True)
class LoadObservation:
    """Requests seen at an upstream, and how long ago (s)."""

    load: float
    age_s: float


class UpstreamLoad:
    """Load, health and slow start of one upstream.

    Counts this instance's requests and faults, keeps the load that the
    upstream reports, and limits the rate of requests while it is cold.
    All times are compared with the ``now`` that is passed in (monotonic
    seconds).
    """

    __slots__ = (
        "_ejected_until",
        "_ejections",
        "_faults",
        "_known_objects",
        "_other_load",
        "_own_report_at",
        "_paused_until",
        "_silent_since",
        "_reported_at",
        "_send_times",
        "cold_until",
        "error_rate",
        "hold",
        "in_flight",
        "latency_s",
        "record",
        "seed",
        "suspected_until",
    )

    def __init__(self, record: UpstreamRecord) -> None:
        self.record = record
        self.seed = hash_name(record.name)
        self.hold = SendHold()
        self.cold_until = 0.0
        self.suspected_until = 0.0
        self.in_flight = 0
        self.latency_s = 0.0
        self.error_rate = 0.0
        self._known_objects: OrderedDict[int, None] = OrderedDict()
        self._other_load = 0.0
        self._reported_at = 0.0
        self._own_report_at = 0.0
        self._faults = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._paused_until = 0.0
        self._send_times: deque[float] = deque()
        self._silent_since = 0.0

    def estimate_load(self, now: float, work_s: float) -> float:
        """Return the estimated requests at the upstream, fleet-wide.

        The load that other instances cause is taken from the last
        report, which counts less as it ages: after the usual processing
        time ``work_s`` those requests are done.
        """
        age_s = now - self._reported_at
        full_s = max(REPORT_FULL_WEIGHT_S, work_s * REPORT_WORK_FRACTION)
        if age_s >= 2 * full_s:
            return float(self.in_flight)
        weight = 1.0 if age_s < full_s else 0.5
        return self.in_flight + self._other_load * weight

    def is_available(self, now: float) -> bool:
        """Tell whether the upstream is neither ejected nor held or paused."""
        if now < self._ejected_until or now < self._paused_until:
            return False
        return self.hold.permits_send(now)

    def is_cold(self, now: float) -> bool:
        """Tell whether the upstream is in slow start, or may be."""
        return now < max(self.cold_until, self.suspected_until)

    def is_suspected(self, now: float) -> bool:
        """Tell whether the upstream is suspected of an unseen restart."""
        return self.cold_until <= now < self.suspected_until

    def is_unresponsive(self, now: float, work_s: float) -> bool:
        """Tell whether requests are in flight and no answer has come.

        See :meth:`has_no_recent_answer` for how long that must last.
        """
        return self.in_flight > 0 and self.has_no_recent_answer(now, work_s)

    def has_no_recent_answer(self, now: float, work_s: float) -> bool:
        """Tell whether the last answer is older than the silence limit.

        ``work_s`` is the service's usual processing time, which is used
        while this instance has no good answer of the upstream.
        """
        usual_s = self.latency_s or work_s
        limit_s = max(MIN_SILENCE_S, SILENT_LATENCIES * usual_s)
        return now - self._silent_since > limit_s

    def is_answer_due(self, span_s: float) -> bool:
        """Tell whether an answer is due after a wait of ``span_s`` seconds."""
        return span_s >= DUE_LATENCIES * self.latency_s

    def record_answer(self, now: float) -> None:
        """Record that the upstream has answered, whatever the answer."""
        self._silent_since = now

    def has_spare(self, load: float) -> bool:
        """Tell whether a slow request fits on top of a load (requests).

        A request for an object that the upstream has not answered for
        recently takes longer, so it is sent only to a lightly loaded one.
        """
        return load + 1 <= self.record.slots * SPARE_FRACTION

    def is_within_rate(self, now: float, cold_limit: float) -> bool:
        """Tell whether one more request keeps to a cold upstream's rate.

        ``cold_limit`` is this instance's part of the rate (1/s).  There
        is no limit while the upstream is not cold.
        """
        if not self.is_cold(now):
            return True
        self._drop_old_sends(now)
        return len(self._send_times) + 1 <= cold_limit

    def inherit_sends(self, previous: "UpstreamLoad") -> None:
        """Count the recent sends that were made before a restart.

        ``previous`` is the load of the same upstream before it restarted.
        """
        self._send_times = previous._send_times

    def record_start(self, now: float) -> None:
        """Record that a request is sent.

        Sends count towards the rate limit even before the upstream is
        known to be cold, as its restart may be reported late.
        """
        if self.in_flight == 0:
            self._silent_since = now
        self.in_flight += 1
        self._send_times.append(now)
        self._drop_old_sends(now)

    def _drop_old_sends(self, now: float) -> None:
        while (
            self._send_times
            and self._send_times[0] <= now - RATE_LIMIT_WINDOW_S
        ):
            self._send_times.popleft()

    def mark_cold(self, now: float, until: float, reason: ColdReason) -> None:
        """Record that the upstream is cold at least until ``until``."""
        self._log_cold(now, until, reason)
        self.cold_until = max(self.cold_until, until)

    def mark_suspected(
        self, now: float, cold_s: float, reason: ColdReason
    ) -> None:
        """Record that the upstream may have restarted unnoticed.

        Its registration shows the restart only later.  Until then the
        upstream counts as cold for ``cold_s`` and a margin, or until a
        health check says otherwise.
        """
        until = now + cold_s + SUSPECTED_COLD_MARGIN_S
        # These come for every upstream at once.
        if reason not in (ColdReason.ISOLATION, ColdReason.FIRST_SIGHT):
            self._log_cold(now, until, reason)
        self.suspected_until = max(self.suspected_until, until)

    def record_health_check(self, now: float, cold_s: float) -> None:
        """Record a health check: how much longer (s) it stays cold.

        This ends any suspicion of a restart.
        """
        self.suspected_until = 0.0
        self.cold_until = now + cold_s
        self.record_answer(now)

    def _log_cold(self, now: float, until: float, reason: ColdReason) -> None:
        if self.is_cold(now):
            return
        self._drop_old_sends(now)
        _log.info(
            "Upstream %s is cold; its requests are rate-limited.",
            self.record.name,
            extra={
                "sign": reason.value,
                "for_s": round(until - now, 2),
                "sent_last_second": len(self._send_times),
            },
        )

    def record_end(self) -> None:
        """Record that an exchange has ended, with or without an answer."""
        self.in_flight -= 1

    def record_load_report(
        self, running: int, waiting: int, now: float
    ) -> None:
        """Record the load that the upstream reported with an answer."""
        self._other_load = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now
        self._own_report_at = now

    def record_peer_report(self, load: float, at: float) -> None:
        """Record the load that a peer saw at a time, unless it is older."""
        if at > self._reported_at:
            self._other_load = max(0.0, load - self.in_flight)
            self._reported_at = at

    def get_report(self, now: float) -> LoadObservation | None:
        """Return the load that this instance saw itself, if it is recent.

        A newer load that a peer saw is shared by that peer.
        """
        age_s = now - self._reported_at
        if age_s > MAX_SHARED_AGE_S:
            return None
        if self._own_report_at < self._reported_at:
            return None
        return LoadObservation(self._other_load + self.in_flight, age_s)

    def record_refusal(self, now: float, pause_s: float) -> None:
        """Record that the upstream refused a request, and pause it."""
        self._paused_until = max(self._paused_until, now + pause_s)

    def has_answered_for(self, object_hash: int) -> bool:
        """Tell whether the upstream has recently answered for an object.

        ``object_hash`` is the hash of the object.
        """
        return object_hash in self._known_objects

    def record_success(self, latency_s: float, object_hash: int) -> None:
        """Record a good answer for an object; it resets the ejections."""
        self._known_objects[object_hash] = None
        self._known_objects.move_to_end(object_hash)
        if len(self._known_objects) > MAX_KNOWN_OBJECTS:
            self._known_objects.popitem(last=False)
        self._faults = 0
        self._ejections = 0
        self.error_rate -= self.error_rate * ERROR_RATE_SMOOTHING
        gap = latency_s - self.latency_s
        self.latency_s += gap * (0.1 if self.latency_s else 1.0)

    def record_fault(self, now: float) -> None:
        """Record a failed exchange.

        :data:`FAULTS_TO_EJECT` failures in a row eject the upstream.
        Each further one ejects it again, for twice as long up to a limit.
        """
        self._faults += 1
        self.error_rate += (1 - self.error_rate) * ERROR_RATE_SMOOTHING
        if self._faults < FAULTS_TO_EJECT:
            return
        self._faults = FAULTS_TO_EJECT - 1
        ejection_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self._ejections
        )
        self._ejections += 1
        self._ejected_until = now + ejection_s

    def record_unreachable(self, now: float, cold_s: float) -> None:
        """Record that no connection could be made, and eject at once.

        The upstream may be restarting, so its requests are rate-limited
        after the ejection.
        """
        self.record_fault(now)
        self._ejected_until = max(
            self._ejected_until, now + INITIAL_EJECTION_S
        )
        cold_s += self._ejected_until - now
        self.mark_suspected(now, cold_s, ColdReason.UNREACHABLE)
