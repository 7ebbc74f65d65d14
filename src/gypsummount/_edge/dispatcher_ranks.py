"""Which instances dispatch the services of this region."""

from collections.abc import Iterable

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.dispatchers import assign_dispatchers
from gypsummount._core.groups import Member
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import SERVING

# A dispatcher that has not answered is passed over for this long.
SUSPECT_S = 2.0
LINES_PER_S = 1.0

_log = get_logger("dispatch")


class DispatcherRanks:
    """The dispatchers of each service and their hosts.

    There are none in a small fleet.
    """

    def __init__(self, own: Member, region: str) -> None:
        self._own = own
        self._region = region
        self._assigned_for: tuple[object, ...] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._suspect_until: dict[str, float] = {}
        self._lines = LineLimiter(LINES_PER_S, read_monotonic())
        self.hosts: dict[str, str] = {}

    def __contains__(self, service: str) -> bool:
        return service in self._ranked

    def apply_fleet(
        self,
        live: Iterable[Digest],
        services: list[str],
        *,
        is_grouped: bool,
        is_serving: bool,
    ) -> bool:
        """Update the dispatchers; return whether instances have changed."""
        if not is_grouped:
            self._ranked = {}
            self._assigned_for = ()
            return False
        near = sorted(
            (digest.name, digest.host, digest.capacity)
            for digest in live
            if digest.region == self._region and digest.phase == SERVING
        )
        assigned_for = (sorted(services), near, is_serving)
        if assigned_for == self._assigned_for:
            return False
        self._assigned_for = assigned_for
        self.hosts = {name: host for name, host, _ in near}
        members = [Member(name, capacity) for name, _, capacity in near]
        if is_serving:
            members.append(self._own)
        self._assign(services, members)
        return True

    def choose(self, service: str, now: float) -> str:
        """Return the instance to ask, or "" if this one selects."""
        for name in self._ranked.get(service, ()):
            if name == self._own.name:
                return ""
            if self._suspect_until.get(name, 0.0) <= now:
                return name
        return ""

    def suspect(self, name: str, now: float) -> None:
        """Pass over an instance that has not answered."""
        self._suspect_until[name] = now + SUSPECT_S

    def list_own(self) -> list[str]:
        """Return the services that this instance is the first to dispatch."""
        return [
            service
            for service, ranked in self._ranked.items()
            if ranked[:1] == (self._own.name,)
        ]

    def _assign(self, services: list[str], members: list[Member]) -> None:
        before = self.list_own()
        self._ranked = assign_dispatchers(sorted(services), members)
        self._suspect_until = {
            name: until
            for name, until in self._suspect_until.items()
            if name in self.hosts
        }
        own = self.list_own()
        if own != before and self._lines.try_take(read_monotonic()):
            _log.info(
                "The services that this instance may dispatch have changed.",
                extra={"services": own, "left_out": self._lines.dropped},
            )
