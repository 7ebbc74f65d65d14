"""Passive health checks of upstreams, from the answers an entry sees."""

from dataclasses import dataclass
from math import exp

from gypsummount._core.charts import StateMachine
from gypsummount._core.send_holds import SendHold

# Failures in a row that eject an upstream.
FAULTS_TO_EJECT = 5
# Successful requests that end the probing of an upstream.
SUCCESSES_TO_RECOVER = 3
# Duration of the first ejection; each further one lasts twice as long, up to
# the maximum, until the upstream recovers.
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 10.0
# Fraction of its slots that an upstream gets when its slow start begins.
SLOW_START_FRACTION = 0.25
# Smoothing factor of the average latency.
LATENCY_SMOOTHING = 0.1
# Fraction of a group of upstreams that may be ejected at the same time.
MAX_EJECTED_FRACTION = 0.5
# Time constant with which the weight of a reported load decays.
REPORT_DECAY_S = 2.0


@dataclass(slots=True)
class ReportedLoad:
    """Load that an upstream reported (requests), and the time (s)."""

    load: float
    at: float


class UpstreamHealth:
    """Health, slow start and reported load of one upstream.

    Failures in a row eject the upstream.  When the ejection ends, it is
    probed with one request at a time until enough of them succeed.
    """

    __slots__ = (
        "_ejected_until",
        "_ejections",
        "_faults",
        "_machine",
        "_probe_in_flight",
        "_report",
        "_slow_start_from",
        "_successes",
        "hold",
        "latency_s",
    )

    def __init__(self, now: float, *, cold: bool) -> None:
        self._machine = StateMachine("upstream")
        self._faults = 0
        self._successes = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._probe_in_flight = False
        self._slow_start_from = now if cold else now - SLOW_START_S
        self._report: ReportedLoad | None = None
        self.hold = SendHold()
        self.latency_s = 0.0

    @property
    def state(self) -> str:
        """Return the state of the chart ``upstream``."""
        return self._machine.state

    def check_available(self, now: float) -> bool:
        """Tell whether a new request may go to the upstream.

        When an ejection has ended, probing begins.
        """
        if not self.hold.permits_send(now):
            return False
        if self.state == "ejected" and now >= self._ejected_until:
            self._machine.fire("waited")
            self._successes = 0
            self._probe_in_flight = False
        if self.state == "probing":
            return not self._probe_in_flight
        return self.state == "healthy"

    def record_start(self) -> None:
        """Record that a request was given to the upstream."""
        if self.state == "probing":
            self._probe_in_flight = True

    def record_release(self) -> None:
        """Record the end of a request that says nothing about health."""
        self._probe_in_flight = False

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a complete answer; enough of them end the probing."""
        self._faults = 0
        self._probe_in_flight = False
        gap = latency_s - self.latency_s
        self.latency_s += gap * LATENCY_SMOOTHING
        if self.state != "probing":
            return
        self._successes += 1
        if self._successes >= SUCCESSES_TO_RECOVER:
            self._machine.fire("proved")
            self._ejections = 0
            self._slow_start_from = now

    def record_fault(self, now: float, *, may_eject: bool) -> None:
        """Record an exchange that failed, was cut short or timed out.

        ``may_eject`` is False if too many upstreams are ejected already;
        an upstream that is being probed is ejected again all the same.
        """
        self._faults += 1
        self._probe_in_flight = False
        if self.state == "probing":
            self._eject(now)
        elif self.state == "healthy" and may_eject:
            if self._faults >= FAULTS_TO_EJECT:
                self._eject(now)

    def record_load_report(self, report: ReportedLoad) -> None:
        """Record the load that the upstream reported with an answer."""
        self._report = report

    def mark_leaving(self) -> None:
        """Take the upstream out of use until it is restored."""
        if self._machine.can_fire("drained"):
            self._machine.fire("drained")

    def mark_restored(self, now: float) -> None:
        """Put an upstream that was leaving back in use, in slow start."""
        if self._machine.can_fire("restored"):
            self._machine.fire("restored")
            self._successes = 0
            self._probe_in_flight = False
            self._slow_start_from = now

    def compute_slot_fraction(self, now: float) -> float:
        """Return the fraction of its slots that the upstream may use.

        It rises linearly from :data:`SLOW_START_FRACTION` to 1 in slow start.
        """
        elapsed_s = max(0.0, now - self._slow_start_from)
        ramp = min(1.0, elapsed_s / SLOW_START_S)
        return SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * ramp

    def compute_reported_load(self, now: float) -> float:
        """Return the reported load (requests), decayed by its age."""
        if self._report is None:
            return 0.0
        age_s = max(0.0, now - self._report.at)
        return self._report.load * exp(-age_s / REPORT_DECAY_S)

    def _eject(self, now: float) -> None:
        self._machine.fire("faulted")
        pause_s = INITIAL_EJECTION_S * 2**self._ejections
        self._ejected_until = now + min(pause_s, MAX_EJECTION_S)
        self._ejections += 1
        self._faults = 0
