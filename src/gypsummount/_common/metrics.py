"""Statsd counters, and latency histograms per workspace and route."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
US_PER_MS = 1000
MAX_SERIES = 2000
SUMMARY_PERIOD_S = 5.0


@dataclass(slots=True, frozen=True)
class Series:
    """The workspace and route that a histogram belongs to."""

    workspace: str
    route: str


@dataclass(slots=True, frozen=True)
class LatencySummary:
    """Number of latencies recorded for a series, and quantiles in ms."""

    workspace: str
    route: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class Metrics:
    """Counts events, records latencies and sends the counts to statsd.

    At most :data:`MAX_SERIES` series have a histogram of their own;
    all further ones share the series ``other``.
    """

    __slots__ = (
        "_client",
        "_counts",
        "_histograms",
        "_sent",
        "_summaries",
        "_summarised_at",
    )

    def __init__(self, statsd_address: str | None, prefix: str) -> None:
        self._counts: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._histograms: dict[Series, HdrHistogram] = {}
        self._summaries: list[LatencySummary] = []
        self._summarised_at = 0.0
        self._client: StatsClient | None = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._client = StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to the counter of an event."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def read_counts(self) -> dict[str, int]:
        """Return all counters, by name, since the start."""
        return dict(self._counts)

    def record(self, series: Series, latency_s: float) -> None:
        """Add a latency (s) to the histogram of its series."""
        histogram = self._histograms.get(series)
        if histogram is None:
            if len(self._histograms) >= MAX_SERIES:
                series = Series("other", "other")
            histogram = self._histograms.setdefault(
                series,
                HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                ),
            )
        value = int(latency_s * US_PER_S)
        histogram.record_value(max(MIN_LATENCY_US, min(value, MAX_LATENCY_US)))

    def summarise(self, now: float) -> list[LatencySummary]:
        """Return a summary of every series; ``now`` is in seconds.

        Computing quantiles costs much more than recording latencies, so
        summaries are cached for :data:`SUMMARY_PERIOD_S` seconds.
        """
        if now - self._summarised_at >= SUMMARY_PERIOD_S:
            self._summarised_at = now
            self._summaries = [
                _summarise_series(series, histogram)
                for series, histogram in self._histograms.items()
            ]
        return self._summaries

    def flush(self) -> None:
        """Send the increments since the last call to statsd.

        Nothing is sent if no statsd address is set.
        """
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._counts.items():
                increment = value - self._sent.get(name, 0)
                if increment:
                    pipe.incr(name, increment)
                self._sent[name] = value

    def close(self) -> None:
        """Flush the counters and close the statsd socket."""
        self.flush()
        if self._client is not None:
            self._client.close()


def _summarise_series(
    series: Series, histogram: HdrHistogram
) -> LatencySummary:
    quantiles = histogram.get_percentile_to_value_dict([50, 99])
    return LatencySummary(
        series.workspace,
        series.route,
        histogram.get_total_count(),
        quantiles[50] / US_PER_MS,
        quantiles[99] / US_PER_MS,
        histogram.get_max_value() / US_PER_MS,
    )
