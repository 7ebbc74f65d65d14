"""Canary analysis: a new version's answers against the old version's.

The answers are analysed for each route, on one entry or for the fleet.
"""

from dataclasses import dataclass
from dataclasses import replace
from math import log

# The sequential tests compare a normal rate with a bad one.  The normal rate
# of failures is the old version's rate times the factor, and at least the
# floor; the bad rate lies the step above it.
FAULT_RATE_FLOOR = 0.02
FAULT_RATE_FACTOR = 1.5
FAULT_RATE_STEP = 0.25
# The normal rate of slow answers.
SLOW_RATE_FLOOR = 0.08
# An answer is slow if it takes longer than the old version's latency
# quantile times the factor, plus the margin.
SLOW_FACTOR = 2.0
SLOW_MARGIN_S = 0.005
# Limits the rate at which a test accepts the bad rate of a good version.
FALSE_ALARM_RATE = 1e-5
# Latest latencies of the old version that are kept for each route.
LATENCY_SAMPLES = 512
# Quantile of these latencies that sets the limit of slow answers.
BASELINE_QUANTILE = 0.95
# Answers of the old version that a comparison of latencies requires.
MIN_BASELINE_ANSWERS = 20
# Answers between two updates of the latency quantile.
ANSWERS_PER_QUANTILE_UPDATE = 32
# Limits of the two rates of failures, which must stay below 1.
MAX_NORMAL_RATE = 0.7
MAX_BAD_RATE = 0.99


@dataclass(slots=True, frozen=True, order=True)
class Veto:
    """A fault found in the new version during an attempt.

    A veto is final for its attempt.  Peers receive its ``reason``.
    """

    rollout: str
    attempt: int
    reason: str


class SequentialTest:
    """Sequential probability ratio test of a Bernoulli rate.

    The score never falls below zero, so that many good observations do
    not hide a fault that begins later.

    Source: A. Wald, "Sequential tests of statistical hypotheses", 1945.
    """

    __slots__ = ("_limit", "score")

    def __init__(self, false_alarm_rate: float = FALSE_ALARM_RATE) -> None:
        self.score = 0.0
        self._limit = -log(false_alarm_rate)

    def observe(
        self, hits: int, misses: int, normal_rate: float, bad_rate: float
    ) -> None:
        """Add observations.

        A hit is a failed or slow answer, a miss is any other one.
        ``normal_rate`` and ``bad_rate`` are the rates of hits under the two
        hypotheses.
        """
        self.score += hits * log(bad_rate / normal_rate)
        self.score += misses * log((1 - bad_rate) / (1 - normal_rate))
        self.score = max(0.0, self.score)

    @property
    def is_decided(self) -> bool:
        """Tell whether the test accepts the bad rate."""
        return self.score >= self._limit


class Baseline:
    """Error rate and latency quantile of the old version on a route."""

    __slots__ = (
        "_count",
        "_failures",
        "_latencies",
        "_latency_quantile_s",
        "_next_index",
        "error_rate",
    )

    def __init__(self) -> None:
        self._latencies: list[float] = []
        self._next_index = 0
        self._count = 0
        self._failures = 0
        self._latency_quantile_s = 0.0
        self.error_rate = 0.0

    @property
    def is_ready(self) -> bool:
        """Tell whether there are enough answers for a comparison."""
        return self._count >= MIN_BASELINE_ANSWERS

    @property
    def answers(self) -> int:
        """Return the number of answers observed."""
        return self._count

    @property
    def failures(self) -> int:
        """Return the number of failed answers observed."""
        return self._failures

    @property
    def slow_limit_s(self) -> float:
        """Return the latency (s) above which an answer counts as slow."""
        return self._latency_quantile_s * SLOW_FACTOR + SLOW_MARGIN_S

    def observe(self, *, failed: bool, latency_s: float) -> None:
        """Record one answer of the old version."""
        self._count += 1
        self._failures += failed
        weight = max(0.01, 1 / self._count)
        self.error_rate += (float(failed) - self.error_rate) * weight
        if failed:
            return
        if len(self._latencies) < LATENCY_SAMPLES:
            self._latencies.append(latency_s)
        else:
            self._latencies[self._next_index] = latency_s
            self._next_index = (self._next_index + 1) % LATENCY_SAMPLES
        if (
            self._count % ANSWERS_PER_QUANTILE_UPDATE == 0
            or self._count <= MIN_BASELINE_ANSWERS
        ):
            self._update_quantile()

    def _update_quantile(self) -> None:
        ranked = sorted(self._latencies)
        index = int(len(ranked) * BASELINE_QUANTILE)
        self._latency_quantile_s = ranked[min(index, len(ranked) - 1)]


@dataclass(slots=True, frozen=True)
class EvidenceBatch:
    """Counts of a new version's answers since the last batch.

    ``timed`` counts the answers whose latency could be compared with
    the old version's, and ``slow`` the slow ones of these.
    """

    answers: int
    failures: int
    timed: int
    slow: int
    old_error_rate: float


@dataclass(slots=True, frozen=True)
class Evidence:
    """One entry's counts for a route since the attempt began."""

    rollout: str
    attempt: int
    route: str
    answers: int = 0
    failures: int = 0
    slow: int = 0
    timed: int = 0
    old_answers: int = 0
    old_failures: int = 0


class RouteAnalyser:
    """Compares the new version with the old one on one route.

    Two sequential tests run in parallel: one compares the rate of
    failures with the old version's, the other one counts answers that
    are slower than the old version's slow limit.
    """

    __slots__ = ("_error_test", "_slow_test")

    def __init__(self) -> None:
        self._error_test = SequentialTest()
        self._slow_test = SequentialTest()

    def observe(self, batch: EvidenceBatch) -> str | None:
        """Add answers; return the reason for a veto, or None."""
        normal_rate = min(
            MAX_NORMAL_RATE,
            max(FAULT_RATE_FLOOR, batch.old_error_rate * FAULT_RATE_FACTOR),
        )
        bad_rate = min(MAX_BAD_RATE, normal_rate + FAULT_RATE_STEP)
        successes = batch.answers - batch.failures
        self._error_test.observe(
            batch.failures, successes, normal_rate, bad_rate
        )
        if self._error_test.is_decided:
            return "too many errors"
        self._slow_test.observe(
            batch.slow,
            batch.timed - batch.slow,
            SLOW_RATE_FLOOR,
            SLOW_RATE_FLOOR + FAULT_RATE_STEP,
        )
        if self._slow_test.is_decided:
            return "too slow"
        return None


@dataclass(slots=True, frozen=True)
class _EvidenceSource:
    entry: str
    route: str


class FleetAnalyser:
    """Analyses one attempt by the combined evidence of all entries.

    While the new version has a small share, no single entry sees enough
    of its answers; all entries together do.
    """

    __slots__ = ("_analysers", "_attempt", "_latest", "_rollout")

    def __init__(self, rollout: str, attempt: int) -> None:
        self._rollout = rollout
        self._attempt = attempt
        self._latest: dict[_EvidenceSource, Evidence] = {}
        self._analysers: dict[str, RouteAnalyser] = {}

    @property
    def answers(self) -> int:
        """Return the number of the new version's answers on all entries."""
        return sum(evidence.answers for evidence in self._latest.values())

    def observe(self, entry: str, evidence: Evidence) -> Veto | None:
        """Add an entry's new counts; return a veto if they show a fault.

        Evidence of another attempt, or with no new answers, is ignored.
        """
        if evidence.rollout != self._rollout:
            return None
        if evidence.attempt != self._attempt:
            return None
        source = _EvidenceSource(entry, evidence.route)
        previous = self._latest.get(source) or replace(
            evidence, answers=0, failures=0, slow=0, timed=0
        )
        if evidence.answers <= previous.answers:
            self._latest.setdefault(source, evidence)
            return None
        self._latest[source] = evidence
        analyser = self._analysers.setdefault(evidence.route, RouteAnalyser())
        reason = analyser.observe(
            EvidenceBatch(
                evidence.answers - previous.answers,
                evidence.failures - previous.failures,
                evidence.timed - previous.timed,
                evidence.slow - previous.slow,
                self._compute_old_error_rate(evidence.route),
            )
        )
        if reason is None:
            return None
        text = f"{reason} on {evidence.route} in the fleet"
        return Veto(self._rollout, self._attempt, text)

    def _compute_old_error_rate(self, route: str) -> float:
        route_evidence = [
            evidence
            for source, evidence in self._latest.items()
            if source.route == route
        ]
        answers = sum(evidence.old_answers for evidence in route_evidence)
        failures = sum(evidence.old_failures for evidence in route_evidence)
        return failures / answers if answers else 0.0


def find_veto_for_attempt(vetoes: set[Veto], wanted: Veto) -> Veto | None:
    """Return a veto for the attempt of ``wanted``, with any reason.

    Returns None if there is none.
    """
    for veto in sorted(vetoes):
        if veto.rollout == wanted.rollout and veto.attempt == wanted.attempt:
            return veto
    return None
