"""Collection of the instances' usage counts, and how much is missing.

A source is one start of an instance: its name and incarnation, the Unix
time (ms) of the start.  All times are Unix time (s).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import inf

from gypsummount._core.usage import MAX_PARTS
from gypsummount._core.usage import UsagePart
from gypsummount._core.usage import UsageRules

MS_PER_S = 1000
MAX_SOURCES = 8192
# A source that has been silent for this long (s) is forgotten.
SOURCE_EXPIRY_S = 60.0
# A stopped process sends no request this long (s) after it was last heard.
STOP_MARGIN_S = 1.0
# A domain of which nobody is heard may be cut off and serve on; after this
# time (s) it counts as lost.
CUT_DOMAIN_S = 30.0
# A difference (s) between clocks that does not count as missing.
CLOCK_MARGIN_S = 0.05


@dataclass(slots=True, frozen=True)
class SourceId:
    """Name and incarnation of one start of an instance."""

    name: str
    incarnation: int

    @property
    def started_at(self) -> float:
        """Return when it started, by its own clock."""
        return self.incarnation / MS_PER_S


@dataclass(slots=True, frozen=True)
class SourceState:
    """What gossip knows of a source: its domain and when it was heard."""

    source: SourceId
    domain: str
    heard_at: float
    is_live: bool
    is_leaving: bool = False


@dataclass(slots=True)
class _WindowParts:
    """The newest parts of one window of one source."""

    parts: dict[int, UsagePart] = field(default_factory=dict)
    expected: int = 1

    def add(self, part: UsagePart) -> None:
        known = self.parts.get(part.part)
        if known is not None and known.sequence >= part.sequence:
            return
        self.parts[part.part] = part
        self.expected = max(self.expected, part.parts)

    @property
    def is_whole(self) -> bool:
        return len(self.parts) >= self.expected

    @property
    def is_final(self) -> bool:
        return self.is_whole and all(
            part.is_final for part in self.parts.values()
        )

    @property
    def covered_until(self) -> float:
        if not self.is_whole:
            return -inf
        return max(part.covered_until for part in self.parts.values())

    def count(self) -> int:
        return sum(sum(part.counts.values()) for part in self.parts.values())


@dataclass(slots=True)
class _Source:
    """One start of an instance and the counts received from it."""

    source: SourceId
    domain: str = ""
    heard_at: float = -inf
    is_live: bool = True
    is_leaving: bool = False
    ended_at: float = inf
    windows: dict[int, _WindowParts] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Coverage:
    """How complete the counts of a window are.

    ``missing`` is the estimated fraction of the requests that are not
    known, and ``silent`` names the instances that sent them.
    """

    missing: float
    silent: tuple[str, ...]


class UsageCollection:
    """The newest counts of every source, by window.

    Repeated and reordered parts change nothing, and a restarted instance
    adds to the counts of its predecessor.
    """

    def __init__(self, rules: UsageRules) -> None:
        self._rules = rules
        self._sources: dict[SourceId, _Source] = {}
        self._names: dict[str, int] = {}
        self._settled = -1

    def receive(self, source: SourceId, part: UsagePart, at: float) -> bool:
        """Keep a part if it is newer; return False if it is not plausible."""
        current = self._rules.get_window(at)
        oldest = current - self._rules.kept_windows
        if not oldest <= part.window <= current + 1:
            return False
        if part.part >= part.parts or part.parts > MAX_PARTS:
            return False
        kept = self._get_source(source)
        if kept is None:
            return False
        kept.heard_at = max(kept.heard_at, at)
        if part.is_last:
            kept.ended_at = min(kept.ended_at, part.covered_until)
        if part.window > self._settled:
            kept.windows.setdefault(part.window, _WindowParts()).add(part)
        return True

    def observe(self, states: Iterable[SourceState], at: float) -> None:
        """Apply what gossip knows; sources that it lacks are not live."""
        for kept in self._sources.values():
            kept.is_live = False
        for state in states:
            kept = self._get_source(state.source)
            if kept is None:
                continue
            kept.domain = state.domain
            kept.heard_at = max(kept.heard_at, state.heard_at)
            kept.is_live = state.is_live
            kept.is_leaving = state.is_leaving
        self._remove_expired(at)

    def settle(self, window: int) -> None:
        """Drop the counts up to a window, which are no longer needed."""
        self._settled = max(self._settled, window)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Return the known count of each workspace in a window."""
        sums: dict[str, int] = {}
        for source in self._sources.values():
            held = source.windows.get(window)
            if held is None:
                continue
            for part in held.parts.values():
                for workspace, count in part.counts.items():
                    sums[workspace] = sums.get(workspace, 0) + count
        return {name: count for name, count in sums.items() if count > 0}

    def find_first_window(self) -> int | None:
        """Return the first window in which a known source was running."""
        starts = [source.started_at for source in self._sources]
        return self._rules.get_window(min(starts)) if starts else None

    def estimate_coverage(self, window: int) -> Coverage:
        """Return how complete the counts of a window are."""
        uncovered = self._list_uncovered(window)
        if not uncovered:
            return Coverage(0.0, ())
        usual = self._compute_usual_rate()
        missing = 0.0
        for source, span_s in uncovered:
            rate = self._compute_rate(source)
            missing += span_s * (usual if rate is None else rate)
        silent = tuple(source.source.name for source, _ in uncovered)
        known = sum(self.sum_counts(window).values())
        if missing == inf:
            return Coverage(1.0, silent)
        total = known + missing
        return Coverage(missing / total if total else 0.0, silent)

    def _list_uncovered(self, window: int) -> list[tuple[_Source, float]]:
        live_domains = {
            source.domain
            for source in self._sources.values()
            if source.is_live
        }
        uncovered = []
        for source in self._sources.values():
            held = source.windows.get(window)
            if held is not None and held.is_final:
                continue
            span_s = self._compute_gap(source, window, live_domains)
            if span_s > CLOCK_MARGIN_S:
                uncovered.append((source, span_s))
        return uncovered

    def _compute_gap(
        self, source: _Source, window: int, live_domains: set[str]
    ) -> float:
        """Return for how long (s) of a window a source's sends are unknown."""
        begins = max(self._rules.get_start(window), source.source.started_at)
        held = source.windows.get(window)
        if held is not None:
            begins = max(begins, held.covered_until)
        ends = min(
            self._rules.get_end(window),
            source.ended_at,
            self._estimate_end(source, live_domains),
        )
        return ends - begins

    def _estimate_end(self, source: _Source, live_domains: set[str]) -> float:
        """Return when a source has sent its last request at the latest.

        A silent process whose domain is heard has stopped or is frozen, so
        it sends nothing.  A silent domain may be cut off from here.
        """
        if source.is_live:
            return inf
        has_successor = (
            self._names[source.source.name] > source.source.incarnation
        )
        is_stopped = (
            has_successor or source.is_leaving or source.domain in live_domains
        )
        if is_stopped:
            return source.heard_at + STOP_MARGIN_S
        return source.heard_at + CUT_DOMAIN_S

    def _compute_rate(self, source: _Source) -> float | None:
        """Return a source's requests a second, or None if unknown."""
        count = 0
        span_s = 0.0
        for window, held in source.windows.items():
            begins = max(
                self._rules.get_start(window), source.source.started_at
            )
            if held.covered_until > begins:
                span_s += held.covered_until - begins
                count += held.count()
        return count / span_s if span_s > 0 else None

    def _compute_usual_rate(self) -> float:
        rates = [self._compute_rate(each) for each in self._sources.values()]
        known = [rate for rate in rates if rate is not None]
        return sum(known) / len(known) if known else inf

    def _get_source(self, source: SourceId) -> _Source | None:
        kept = self._sources.get(source)
        if kept is None:
            if len(self._sources) >= MAX_SOURCES:
                return None
            kept = self._sources[source] = _Source(source)
            newest = self._names.get(source.name, 0)
            self._names[source.name] = max(newest, source.incarnation)
        return kept

    def _remove_expired(self, at: float) -> None:
        oldest = self._rules.get_window(at) - self._rules.kept_windows
        # The rate of a source is taken from its last settled window.
        oldest = max(oldest, self._settled)
        for source in list(self._sources.values()):
            if at - source.heard_at > SOURCE_EXPIRY_S:
                del self._sources[source.source]
                continue
            for window in [old for old in source.windows if old < oldest]:
                if len(source.windows) > 1:
                    del source.windows[window]
        names = {source.name for source in self._sources}
        for name in [gone for gone in self._names if gone not in names]:
            del self._names[name]
