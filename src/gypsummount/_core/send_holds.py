"""Holds that an upstream puts on further requests to it.

An upstream asks for them in its answers: one that is leaving gets no
further requests, and one that pushes back gets none for the time that it
names.  A hold belongs to one start of the upstream.
"""

import re

# Longer holds are not credible and are ignored.
MAX_HOLD_S = 3600.0
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a Retry-After header names.

    Fractions are accepted.  None means that the text is a date, is
    malformed or names more than :data:`MAX_HOLD_S`.
    """
    text = text.strip()
    if not _SECONDS.fullmatch(text):
        return None
    span_s = float(text)
    return span_s if span_s <= MAX_HOLD_S else None


class SendHold:
    """Whether an upstream wants further requests from this instance.

    Times are boot-clock seconds.
    """

    __slots__ = ("_held_until", "is_leaving")

    def __init__(self) -> None:
        self._held_until = float("-inf")
        self.is_leaving = False

    def record_leaving(self) -> None:
        """Record that the upstream is leaving; that is final."""
        self.is_leaving = True

    def record_retry_after(self, now: float, span_s: float) -> None:
        """Record that the upstream wants no requests for ``span_s``."""
        self._held_until = max(self._held_until, now + span_s)

    def permits_send(self, now: float) -> bool:
        """Tell whether a request may be sent to the upstream."""
        return not self.is_leaving and now >= self._held_until
