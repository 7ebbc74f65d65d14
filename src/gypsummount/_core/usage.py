"""Counts of the requests that began at upstreams, by workspace and window.

Windows are parts of true time, so every time here is Unix time (s) and not
that of the boot clock.  Window k begins k x ``window_s`` after the start of
1970.  A window is final once its refused sends have been reverted; after
that its counts only go down.
"""

from dataclasses import dataclass
from dataclasses import field

# No window: nothing has been recorded, closed or settled.
NO_WINDOW = -1
# A window is final this long (s) after its end: refusals come within it.
CLOSE_DELAY_S = 1.5
# Workspaces in one part, so that a part fits into one datagram.
PART_SIZE = 64
MAX_WORKSPACES = 4096
MAX_PARTS = MAX_WORKSPACES // PART_SIZE
# An expected wait (s) at an upstream longer than this is not believed.
MAX_WAIT_S = 5.0


def estimate_wait(load: float, slots: int, latency_s: float) -> float:
    """Return how long (s) a request waits at an upstream before it runs.

    ``load`` is the number of other requests there.
    """
    waiting = load + 1 - slots
    if waiting <= 0 or slots <= 0:
        return 0.0
    return min(MAX_WAIT_S, waiting / slots * latency_s)


@dataclass(slots=True, frozen=True)
class UsageRules:
    """Length of a window, permitted error and due time of its report.

    ``max_error`` is a fraction; a report is due ``delay_s`` after the end
    of its window.
    """

    window_s: float
    max_error: float
    delay_s: float

    @property
    def kept_windows(self) -> int:
        """Return how many windows are kept: those that are not due yet."""
        return int(self.delay_s // self.window_s) + 4

    def get_window(self, at: float) -> int:
        """Return the window of a time."""
        return int(at // self.window_s)

    def get_start(self, window: int) -> float:
        """Return when a window begins."""
        return window * self.window_s

    def get_end(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.window_s

    def get_due(self, window: int) -> float:
        """Return when the report of a window is due."""
        return self.get_end(window) + self.delay_s


@dataclass(slots=True, frozen=True)
class UsagePart:
    """The cumulative counts of some workspaces in one window.

    ``sequence`` increases with each change of the part.  All sends until
    ``covered_until`` are included.  ``parts`` is the number of parts of the
    window.  A final part gets no further sends.  ``is_last`` is set when
    the instance has stopped: it has no later windows.
    """

    window: int
    part: int
    parts: int
    sequence: int
    covered_until: float
    is_final: bool
    is_last: bool
    counts: dict[str, int]


@dataclass(slots=True)
class _Window:
    """Counts of one window; a workspace keeps its place and so its part."""

    counts: dict[str, int] = field(default_factory=dict)
    places: dict[str, int] = field(default_factory=dict)
    sequences: list[int] = field(default_factory=lambda: [1])
    is_final: bool = False

    def add(self, workspace: str, count: int) -> None:
        place = self.places.get(workspace)
        if place is None:
            place = len(self.places)
            if place >= MAX_WORKSPACES:
                return
            self.places[workspace] = place
            self.counts[workspace] = 0
            if place // PART_SIZE == len(self.sequences):
                self.sequences.append(0)
        self.counts[workspace] += count
        self.sequences[place // PART_SIZE] += 1

    def touch(self) -> None:
        self.sequences = [sequence + 1 for sequence in self.sequences]


class UsageCounts:
    """The counts of this instance, for each window not yet settled."""

    def __init__(self, rules: UsageRules, started_at: float) -> None:
        self._rules = rules
        self._windows: dict[int, _Window] = {}
        self._closed = rules.get_window(started_at) - 1
        self._settled = NO_WINDOW
        self._is_finished = False

    def record_send(self, workspace: str, at: float) -> int:
        """Count a request that begins at a time; return its window.

        A time in a window that is final counts in the first open one.
        """
        window = max(int(at // self._rules.window_s), self._closed + 1)
        counted = self._windows.get(window)
        if counted is None:
            counted = self._windows[window] = _Window()
        counted.add(workspace, 1)
        return window

    def record_not_run(self, workspace: str, window: int) -> None:
        """Revert a send of a window, as the request was not executed."""
        counted = self._windows.get(window)
        if counted is not None and counted.counts.get(workspace, 0) > 0:
            counted.add(workspace, -1)

    def close_windows(self, at: float) -> None:
        """Mark the windows final that ended long enough ago."""
        last = self._rules.get_window(at - CLOSE_DELAY_S) - 1
        oldest = last + 1 - self._rules.kept_windows
        self._close_until(last, oldest)
        self._remove_until(max(self._settled, oldest - 1))

    def finish(self, at: float) -> None:
        """Mark all windows final, as this instance sends no more."""
        self._is_finished = True
        last = max(self._rules.get_window(at), *self._windows, self._closed)
        self._close_until(last, last + 1 - self._rules.kept_windows)
        for counted in self._windows.values():
            counted.touch()

    def settle(self, window: int) -> None:
        """Drop the counts up to a window, which are no longer needed.

        A window that is not final here is kept, whatever was received.
        """
        self._settled = max(self._settled, min(window, self._closed))
        self._remove_until(self._settled)

    def list_windows(self) -> list[int]:
        """Return the windows that have counts or are final."""
        return sorted(self._windows)

    def list_sequences(self, window: int) -> list[int]:
        """Return the sequence of each part of a window."""
        return self._windows[window].sequences

    def get_part(self, window: int, part: int, at: float) -> UsagePart:
        """Return a part of a window, as counted at a time."""
        counted = self._windows[window]
        names = list(counted.places)[part * PART_SIZE : (part + 1) * PART_SIZE]
        return UsagePart(
            window,
            part,
            len(counted.sequences),
            counted.sequences[part],
            min(at, self._rules.get_end(window)),
            counted.is_final,
            self._is_finished and window == self._closed,
            {name: counted.counts[name] for name in names},
        )

    def _close_until(self, last: int, oldest: int) -> None:
        for window in range(max(self._closed + 1, oldest), last + 1):
            counted = self._windows.setdefault(window, _Window())
            counted.is_final = True
            counted.touch()
        self._closed = max(self._closed, last)

    def _remove_until(self, last: int) -> None:
        for window in [old for old in self._windows if old <= last]:
            del self._windows[window]
