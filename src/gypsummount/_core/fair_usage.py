"""Fair shares of a service's capacity, by workspace and by route."""

from math import exp

# Time constant of the recent use, and of the usual share.
RECENT_SPAN_S = 2.0
USUAL_SPAN_S = 60.0
# Until the use is known for this long, the usual shares count in part, so
# that a surge just after a start does not pass for usual.
FULL_HISTORY_S = 20.0
# The excess over its usual share that a user may take while others wait.
USUAL_MARGIN = 1.25
# Smaller fractions of the recent use do not count as use.
MIN_FRACTION = 0.01
MAX_NAMES = 1024
# The weights of new use grow until the values are scaled back.
MAX_SCALE = 1e6


class FairUsage:
    """Recent use of capacity by name, and which names exceed their share.

    A fair share is an equal part among those with recent use, or the
    usual share if that is larger.
    """

    __slots__ = (
        "_base",
        "_recent",
        "_started_at",
        "_updated_at",
        "_usual",
        "exceeding",
    )

    def __init__(self, now: float) -> None:
        self._base = now
        self._started_at = now
        self._updated_at = now
        self._recent: dict[str, float] = {}
        self._usual: dict[str, float] = {}
        self.exceeding: frozenset[str] = frozenset()

    def charge(self, name: str, work_s: float, now: float) -> None:
        """Record that a name uses capacity (s of a slot)."""
        scale = exp(min(20.0, max(0.0, now - self._base) / RECENT_SPAN_S))
        self._recent[name] = self._recent.get(name, 0.0) + work_s * scale
        if scale > MAX_SCALE:
            self._rescale(scale, now)

    def update(self, now: float) -> None:
        """Determine which names exceed their fair share."""
        total = sum(self._recent.values())
        if total <= 0:
            self.exceeding = frozenset()
            return
        shares = {
            name: use / total
            for name, use in self._recent.items()
            if use >= total * MIN_FRACTION
        }
        equal = 1 / len(shares) if shares else 1.0
        history = min(1.0, (now - self._started_at) / FULL_HISTORY_S)
        margin = USUAL_MARGIN * history
        exceeding = [
            name
            for name, share in shares.items()
            if share > max(equal, self._usual.get(name, 0.0) * margin)
        ]
        self.exceeding = frozenset(exceeding)
        self._update_usual(shares, now)

    def _update_usual(self, shares: dict[str, float], now: float) -> None:
        span_s = now - self._updated_at
        if span_s <= 0:
            return
        self._updated_at = now
        known_s = min(USUAL_SPAN_S, now - self._started_at)
        weight = min(1.0, span_s / max(span_s, known_s))
        for name in shares.keys() | self._usual.keys():
            usual = self._usual.get(name, 0.0)
            usual += (shares.get(name, 0.0) - usual) * weight
            self._usual[name] = usual
        if len(self._usual) > MAX_NAMES:
            self._usual = {
                name: usual
                for name, usual in self._usual.items()
                if usual >= MIN_FRACTION / MAX_NAMES
            }

    def _rescale(self, scale: float, now: float) -> None:
        self._base = now
        total = sum(self._recent.values())
        self._recent = {
            name: use / scale
            for name, use in self._recent.items()
            if use >= total * MIN_FRACTION / MAX_NAMES
        }
