"""Counts and latencies of the results that callers got, by workspace."""

from dataclasses import dataclass
from dataclasses import field

from hdrh.histogram import HdrHistogram

from gypsummount._common.metrics import MAX_LATENCY_US
from gypsummount._common.metrics import MIN_LATENCY_US
from gypsummount._common.metrics import SIGNIFICANT_DIGITS
from gypsummount._common.metrics import US_PER_MS
from gypsummount._common.metrics import US_PER_S
from gypsummount._load.caller import CallResult


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Tally:
    """Results of one workspace; latencies are of good answers only.

    ``rate_refused`` counts requests over the workspace's rate.  Other
    requests without a good answer count as ``not_run`` or ``unknown`` if
    that is their outcome, and as ``failed`` otherwise.
    """

    good: int = 0
    rate_refused: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    codes: dict[str, int] = field(default_factory=dict)
    latencies: HdrHistogram = field(default_factory=_create_histogram)

    def add(self, result: CallResult) -> None:
        """Count a result; record its latency if it is good."""
        if result.code:
            self.codes[result.code] = self.codes.get(result.code, 0) + 1
        if result.is_good:
            self.good += 1
            value = int(result.latency_s * US_PER_S)
            self.latencies.record_value(max(MIN_LATENCY_US, value))
        elif result.code == "rate_exceeded":
            self.rate_refused += 1
        elif result.outcome == "not-run":
            self.not_run += 1
        elif result.outcome == "unknown":
            self.unknown += 1
        else:
            self.failed += 1

    def get_percentile(self, percent: float) -> float:
        """Return a latency percentile (0 to 100) in milliseconds."""
        value = self.latencies.get_value_at_percentile(percent)
        return round(value / US_PER_MS, 1)


@dataclass(slots=True)
class LoadReport:
    """Results of all workspaces, by workspace name."""

    tallies: dict[str, Tally] = field(default_factory=dict)

    def add(self, workspace: str, result: CallResult) -> None:
        """Count a result of a workspace, which may be new."""
        self.tallies.setdefault(workspace, Tally()).add(result)

    @property
    def good(self) -> int:
        """Return the number of good answers of all workspaces."""
        return sum(tally.good for tally in self.tallies.values())
