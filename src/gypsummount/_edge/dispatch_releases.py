"""Releases that a dispatcher has not acknowledged yet."""

from dataclasses import dataclass

# A release is sent again if an answer this much later does not
# acknowledge it.
RETRY_S = 0.25
MAX_SENDS = 3
MAX_KEPT = 64


@dataclass(slots=True)
class _Release:
    data: bytes
    sent_at: float
    sends: int = 1


class UnacknowledgedReleases:
    """Keeps the releases sent to each dispatcher until it has them.

    One that is given up ends with the lease of its grant.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, dict[int, _Release]] = {}

    def add(self, host: str, number: int, data: bytes, now: float) -> None:
        """Add a release that has just been sent."""
        kept = self._by_host.setdefault(host, {})
        kept[number] = _Release(data, now)
        if len(kept) > MAX_KEPT:
            del kept[next(iter(kept))]

    def acknowledge(
        self, host: str, numbers: tuple[int, ...], now: float
    ) -> list[bytes]:
        """Drop what an answer acknowledges; return what to send again."""
        kept = self._by_host.get(host)
        if not kept:
            return []
        for number in numbers:
            kept.pop(number, None)
        due = []
        for number, release in list(kept.items()):
            if now - release.sent_at < RETRY_S:
                break
            if release.sends >= MAX_SENDS:
                del kept[number]
                continue
            release.sends += 1
            release.sent_at = now
            due.append(release.data)
        return due

    def retain(self, hosts: set[str]) -> None:
        """Drop the releases to hosts that are gone."""
        for host in self._by_host.keys() - hosts:
            del self._by_host[host]
