"""The upstreams that this instance's requests hold."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._edge.dispatch_messages import encode_held
from gypsummount._edge.dispatch_messages import Held
from gypsummount._edge.dispatch_messages import MAX_HELD

# Upstreams held for longer than this are renewed, as often as this.
RENEW_INTERVAL_S = 1.5


@dataclass(slots=True)
class HeldUpstream:
    """An upstream in use, until ``until`` at the latest.

    ``dispatcher`` is the instance that knows of it, or empty, and ``host``
    its address, which stays known when the instance seems to be gone.
    """

    service: str
    upstream: str
    object_hash: int
    until: float
    dispatcher: str
    renewed_at: float
    host: str = ""


class HeldUpstreams:
    """Keeps the upstreams in use and reports them to dispatchers.

    A new dispatcher, or one that restarted, knows of none; the others are
    told only of those that are held for long.
    """

    def __init__(self, send: Callable[[bytes, str], None]) -> None:
        self._send = send
        self._held: dict[int, HeldUpstream] = {}
        self._current: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._held

    def add(self, number: int, held: HeldUpstream) -> None:
        """Add an upstream in use."""
        self._held[number] = held

    def pop(self, number: int) -> HeldUpstream:
        """Remove an upstream that is no longer in use; return it."""
        return self._held.pop(number)

    def retain(self, hosts: set[str]) -> None:
        """Forget what is known of hosts that are gone."""
        self._incarnations = {
            host: incarnation
            for host, incarnation in self._incarnations.items()
            if host in hosts
        }

    def introduce(
        self, service: str, name: str, hosts: dict[str, str], now: float
    ) -> None:
        """Report a service's upstreams in use if its dispatcher is new."""
        if self._current.get(service) == name:
            return
        self._current[service] = name
        self._report(
            [
                number
                for number, held in self._held.items()
                if held.service == service and held.dispatcher != name
            ],
            hosts,
            now,
            name,
        )

    def observe_incarnation(
        self, host: str, incarnation: int, hosts: dict[str, str], now: float
    ) -> None:
        """Report the upstreams in use if a dispatcher has restarted."""
        if self._incarnations.get(host, incarnation) != incarnation:
            self._report(
                [
                    number
                    for number, held in self._held.items()
                    if hosts.get(held.dispatcher) == host
                ],
                hosts,
                now,
            )
        self._incarnations[host] = incarnation

    def renew(self, hosts: dict[str, str], now: float) -> None:
        """Report the upstreams that are held for long."""
        self._report(
            [
                number
                for number, held in self._held.items()
                if held.dispatcher
                and now - held.renewed_at >= RENEW_INTERVAL_S
            ],
            hosts,
            now,
        )

    def _report(
        self,
        numbers: list[int],
        hosts: dict[str, str],
        now: float,
        receiver: str = "",
    ) -> None:
        """Report upstreams to ``receiver`` or to those that know of them."""
        parts: dict[tuple[str, str], list[Held]] = {}
        for number in numbers:
            held = self._held[number]
            if receiver:
                held.dispatcher = receiver
                held.host = hosts.get(receiver, "")
            held.renewed_at = now
            remaining_s = max(0.0, held.until - now)
            parts.setdefault((held.service, held.dispatcher), []).append(
                Held(number, held.object_hash, remaining_s, held.upstream)
            )
        for (service, name), items in parts.items():
            host = hosts.get(name)
            if host is None:
                continue
            for start in range(0, len(items), MAX_HELD):
                part = items[start : start + MAX_HELD]
                self._send(encode_held(service, part), host)
