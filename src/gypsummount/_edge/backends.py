"""The upstreams that an edge instance uses, with load and connections."""

from collections.abc import Iterator
from dataclasses import dataclass

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import UpstreamLoad
from gypsummount._core.work_account import WorkAccount
from gypsummount._edge.replica import Replica
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import LastTimeout

# Requests that may not be repeated use only connections that answered
# within this time (s): to upstreams of the own region and of others.
LOCAL_FRESH_S = 1.0
REMOTE_FRESH_S = 3.0
LINES_PER_S = 10.0

_log = get_logger("backends")


@dataclass(slots=True, frozen=True)
class Need:
    """What a request requires of its upstream.

    ``versions`` are those it may run on (empty: any), ``regions`` where
    it may run (empty: anywhere).  ``object_hash`` is the hash of its object.
    ``due_at`` is when its latency objective ends (boot clock, s): later
    answers don't count in full.  ``rank`` is the urgency of the request:
    waiting requests of the lowest rank are served first.  ``sender`` is
    the instance that will send it, if not this one.

    ``body_class`` is the size class of the request body.  A request
    ``is_returning`` if its caller was probably refused before.
    """

    service: str
    versions: frozenset[str]
    regions: frozenset[str]
    object_hash: int
    rank: int
    due_at: float
    objective_s: float
    route: str = ""
    workspace: str = ""
    body_class: int = 0
    is_returning: bool = False
    sender: str = ""


@dataclass(slots=True)
class Backend:
    """One upstream with its load and its connections.

    ``probed_at`` is when a probe was last requested (boot clock, s).
    ``account`` is kept where the upstreams report their speed.
    """

    load: UpstreamLoad
    pool: ConnectionPool
    region: str
    is_usable: bool = True
    probed_at: float = float("-inf")
    account: WorkAccount | None = None

    @property
    def record(self) -> UpstreamRecord:
        """Return the upstream's registration."""
        return self.load.record

    def may_send(self, now: float) -> bool:
        """Tell whether the upstream is in use and wants requests."""
        return self.is_usable and self.load.hold.permits_send(now)

    def fits(self, need: Need, tried: frozenset[str]) -> bool:
        """Tell whether a request may run here if there is free capacity."""
        if not self.is_usable or self.load.hold.is_leaving:
            return False
        if self.record.name in tried:
            return False
        if need.versions and self.record.version not in need.versions:
            return False
        return not need.regions or self.region in need.regions


class Backends:
    """Keeps one backend for each upstream in the replica."""

    def __init__(
        self,
        replica: Replica,
        region: str,
        regions: dict[str, str],
        account: BodyAccount | None = None,
    ) -> None:
        self._account = account
        self._replica = replica
        self._region = region
        self._regions = regions
        self._by_name: dict[str, Backend] = {}
        self._last_timeout = LastTimeout()
        self._lines = LineLimiter(LINES_PER_S, read_monotonic())

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._by_name.values())

    def find(self, name: str) -> Backend | None:
        """Return the backend of an upstream, or None."""
        return self._by_name.get(name)

    def close(self) -> None:
        """Close all connections."""
        for backend in self:
            backend.pool.close()

    def sync(self, now: float) -> None:
        """Add, update and remove backends to match the replica."""
        records = self._replica.upstreams
        for name in [name for name in self._by_name if name not in records]:
            self._remove(name)
        for name, record in records.items():
            known = self._by_name.get(name)
            if known is not None and _is_same_start(known.record, record):
                self._update_record(known, record, now)
                continue
            if known is not None:
                self._remove(name)
            added = self._add(record, now)
            if known is not None:
                added.load.inherit_sends(known.load)
        for backend in self._by_name.values():
            self._update_usability(backend, now)

    def suspect_all(self, now: float, reason: ColdReason) -> None:
        """Treat every upstream as cold until it reports otherwise."""
        for backend in self:
            cold_s = self.get_cold_duration(backend.record)
            backend.load.mark_suspected(now, cold_s, reason)

    def get_cold_duration(self, record: UpstreamRecord) -> float:
        """Return how long (s) an upstream is cold after its start."""
        catalog = self._replica.catalog
        service = catalog.services.get(record.service) if catalog else None
        return service.cold_s if service is not None else 0.0

    def _add(self, record: UpstreamRecord, now: float) -> Backend:
        load = UpstreamLoad(record)
        if record.cold_s > 0:
            load.mark_cold(now, now + record.cold_s, ColdReason.REGISTRATION)
        else:
            cold_s = self.get_cold_duration(record)
            load.mark_suspected(now, cold_s, ColdReason.FIRST_SIGHT)
        region = self._regions.get(record.domain, "")
        fresh_s = LOCAL_FRESH_S if region == self._region else REMOTE_FRESH_S
        pool = ConnectionPool(
            record.address, self._last_timeout, fresh_s, self._account
        )
        added = Backend(load, pool, region, False)
        self._by_name[record.name] = added
        return added

    def _update_record(
        self, backend: Backend, record: UpstreamRecord, now: float
    ) -> None:
        if record.cold_s > 0 and record != backend.record:
            until = now + record.cold_s
            backend.load.mark_cold(now, until, ColdReason.REGISTRATION)
        backend.load.record = record

    def _remove(self, name: str) -> None:
        backend = self._by_name.pop(name)
        backend.is_usable = False
        backend.pool.close()

    def _update_usability(self, backend: Backend, now: float) -> None:
        """Update whether an upstream may be used.

        Upstreams are cold once the evacuation of their domain ends.
        """
        record = backend.record
        was_usable = backend.is_usable
        is_evacuated = record.domain in self._replica.evacuated
        backend.is_usable = record.is_ready and not is_evacuated
        if is_evacuated:
            backend.load.cold_until = float("inf")
        elif backend.load.cold_until == float("inf"):
            backend.load.cold_until = now
            until = now + self.get_cold_duration(record)
            backend.load.mark_cold(now, until, ColdReason.EVACUATION)
        if was_usable != backend.is_usable and self._lines.try_take(now):
            _log.info(
                "Upstream %s of %s is %s.",
                record.name,
                record.service,
                "in use" if backend.is_usable else "out of use",
                extra={"left_out": self._lines.dropped},
            )


def _is_same_start(first: UpstreamRecord, second: UpstreamRecord) -> bool:
    """Tell whether two records are of the same start of an upstream."""
    return (
        first.address == second.address
        and first.service == second.service
        and first.started_ms == second.started_ms
    )
