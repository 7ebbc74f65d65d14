"""Models of upstreams and of the connections to them."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait_for
from collections import deque
from dataclasses import dataclass

from gypsummount._core.sanitizing import Header
from gypsummount._edge.store_feed import Kind
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.platform.wire import EXPECTED_INSTANCE_HEADER
from tests.model.clock import INCARNATION

SLOTS = 9
QUEUE_SLOTS = 27
SERVICE_TIME_S = 0.08
COLD_PERIOD_S = 3.0
COLD_RATE = 24.0
MAX_COLD_REQUESTS = COLD_RATE * 1.5 + 5
CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_S = 1.5
REGISTRATION_LAG_S = 0.8
# The probability that a heartbeat from before a restart or a change
# arrives after a newer one.
STALE_HEARTBEAT_FRACTION = 0.3
REGISTRATION_TTL_S = 4.5
MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that arrived at an upstream, and which instance sent it."""

    sent_at: float
    arrived_at: float
    instance: str


@dataclass(slots=True, frozen=True)
class Flood:
    """Too many requests to a cold upstream within one second."""

    upstream: str
    at: float
    count: int
    by_instance: tuple


class ModelUpstream:
    """One upstream, with its restarts, its registration and its load."""

    def __init__(self, name, address, domain, region, store, random):
        self.name = name
        self.address = address
        self.domain = domain
        self.region = region
        self._store = store
        self._random = random
        self.started_at = get_running_loop().time()
        self.is_up = True
        self.is_unreachable = False
        self.state = "ready"
        self.cold_until = 0.0
        self.running = 0
        self.crashed = Event()
        self.heartbeat_at = self.started_at
        self.floods = []
        self._written_registration = None
        self._sequence = 0
        self._last_registration = self.build_registration()
        self._arrivals = deque()

    @property
    def is_cold(self):
        return self.is_up and get_running_loop().time() < self.cold_until

    def crash(self, *, is_unreachable):
        self.is_up = False
        self.is_unreachable = is_unreachable
        self.running = 0
        self.crashed.set()

    def restart(self):
        now = get_running_loop().time()
        self.is_up = True
        self.is_unreachable = False
        self.started_at = now
        self._sequence = 0
        self.cold_until = now + COLD_PERIOD_S
        self.crashed = Event()
        self._arrivals.clear()

    def drain(self):
        self.state = "draining"
        self._sequence += 1

    def start_cold_period(self):
        self.cold_until = get_running_loop().time() + COLD_PERIOD_S

    async def send_heartbeats(self):
        while True:
            await self._send_heartbeat()
            await sleep(HEARTBEAT_S)

    async def _send_heartbeat(self):
        if not self.is_up:
            self._expire_registration()
            return
        self._sequence += 1
        registration = self.build_registration()
        await sleep(self._random.uniform(0, REGISTRATION_LAG_S))
        is_outdated = not self.is_up or registration["state"] != self.state
        if self._store.is_down or is_outdated:
            return
        self.heartbeat_at = get_running_loop().time()
        if {**registration, "sequence": 0} != self._written_registration:
            self._written_registration = {**registration, "sequence": 0}
            self._last_registration = registration
            self._store.put(Kind.UPSTREAM, self.name, registration)

    async def announce(self):
        """Write the first registration after a start.

        A stale one may follow.
        """
        previous = self._last_registration
        await self._send_heartbeat()
        await self.send_stale_heartbeat(previous)

    async def send_stale_heartbeat(self, previous):
        """Let a heartbeat from before a change arrive late, at random."""
        if self._random.random() < STALE_HEARTBEAT_FRACTION:
            await sleep(self._random.uniform(0, REGISTRATION_LAG_S))
            self._written_registration = previous
            self._store.put(Kind.UPSTREAM, self.name, previous)

    def _expire_registration(self):
        silent_s = get_running_loop().time() - self.heartbeat_at
        if silent_s > REGISTRATION_TTL_S and not self._store.is_down:
            self._written_registration = None
            self._store.delete(Kind.UPSTREAM, self.name)

    def build_registration(self):
        remaining_s = max(0.0, self.cold_until - get_running_loop().time())
        return {
            "service": "s",
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingS": round(remaining_s, 1),
            "sequence": self._sequence,
            "born": int(self.started_at * MS_PER_S),
        }

    def record_arrival(self, sent_at, instance):
        """Count a request to a cold upstream; record a flood.

        Only requests sent within the last second count.
        """
        if not self.is_cold:
            return
        now = get_running_loop().time()
        self._arrivals.append(Arrival(sent_at, now, instance))
        while self._arrivals[0].arrived_at <= now - 1.0:
            self._arrivals.popleft()
        recent = [
            arrival
            for arrival in self._arrivals
            if arrival.sent_at > now - 1.0
        ]
        if len(recent) > MAX_COLD_REQUESTS:
            names = [arrival.instance for arrival in recent]
            counts = sorted((name, names.count(name)) for name in set(names))
            self.floods.append(
                Flood(self.name, now, len(recent), tuple(counts))
            )


class ModelPool:
    """Connections from one instance to the upstream at an address."""

    # The fleet, which the run sets before it starts any instance.
    network = None

    def __init__(
        self, address, last_timeout=None, max_fresh_age_s=1.0, account=None
    ):
        self.address = address
        self._owner = INCARNATION.get()
        self._idle = []
        self.closed_early = 0

    def close(self):
        self._idle.clear()

    async def send(self, request, timeout_s, *, repeatable, new_only=False):
        return await self.build_and_send(
            lambda _: request,
            timeout_s,
            repeatable=repeatable,
            new_only=new_only,
        )

    async def build_and_send(
        self, build, timeout_s, *, repeatable, new_only=False
    ):
        called_at = get_running_loop().time()
        upstream = self.network.get_upstream(self.address)
        start_time = None if new_only else self._take_idle(upstream)
        if start_time is None:
            start_time = await self._connect(
                upstream, min(timeout_s, CONNECT_TIMEOUT_S)
            )
        remaining_s = max(
            0.001, timeout_s - (get_running_loop().time() - called_at)
        )
        try:
            request = build(remaining_s)
        except Exception:
            self._idle.append(start_time)
            raise
        try:
            answer = await wait_for(
                self._exchange(upstream, start_time, request), remaining_s
            )
        except TimeoutError:
            self.close()
            raise ExchangeTimeout(
                "the upstream did not answer in time", sent=True
            ) from None
        self._idle.append(start_time)
        return answer

    def _take_idle(self, upstream):
        """Return the start time to which an idle connection belongs.

        This is the start time of the upstream when the connection was
        opened; None if there is no open connection.  A connection from
        before a restart is closed, except while the upstream is
        unreachable: then the instance cannot detect that it ended.
        """
        while self._idle:
            start_time = self._idle.pop()
            if start_time == upstream.started_at or upstream.is_unreachable:
                return start_time
            self.closed_early += 1
        return None

    async def _connect(self, upstream, limit_s):
        links = self._owner.instance.links
        await sleep(2 * self._owner.instance.iteration_s)
        if upstream.is_unreachable or not links.reaches_upstreams:
            await sleep(limit_s)
            raise ExchangeError(
                "no connection to the upstream in time", sent=False
            )
        await sleep(2 * links.get_delay(upstream.region, upstream.domain))
        if not upstream.is_up:
            raise ExchangeError(
                "the upstream refused the connection", sent=False
            )
        return upstream.started_at

    async def _exchange(self, upstream, start_time, request):
        links = self._owner.instance.links
        sent_at = get_running_loop().time()
        self.network.callers.check_send(
            request.request_id, self._owner.instance
        )
        delay_s = links.get_delay(upstream.region, upstream.domain)
        await sleep(delay_s)
        if upstream.is_unreachable or not links.reaches_upstreams:
            await Event().wait()
        if start_time != upstream.started_at or not upstream.is_up:
            raise ExchangeError("the upstream reset the connection", sent=True)
        instance = self._owner.instance.name
        if request.target == "/health":
            upstream.record_arrival(sent_at, instance)
            await sleep(delay_s)
            return _build_health(upstream)
        headers = {header.name: header.value for header in request.headers}
        if headers[EXPECTED_INSTANCE_HEADER] != upstream.name:
            return UpstreamAnswer(421, "Misdirected", [], b"")
        upstream.record_arrival(sent_at, instance)
        if upstream.running >= SLOTS + QUEUE_SLOTS:
            await sleep(delay_s)
            return _build_answer(upstream, 503)
        await self._process(upstream)
        await sleep(delay_s)
        return _build_answer(upstream, 200)

    async def _process(self, upstream):
        upstream.running += 1
        load_factor = max(1.0, upstream.running / SLOTS)
        factor = 2.0 if upstream.is_cold else 1.0
        crashed = upstream.crashed
        try:
            await wait_for(
                crashed.wait(), SERVICE_TIME_S * load_factor * factor
            )
        except TimeoutError:
            return
        finally:
            if not crashed.is_set():
                upstream.running -= 1
        if upstream.is_unreachable:
            await Event().wait()
        raise ExchangeError("the upstream reset the connection", sent=True)


def _build_health(upstream):
    remaining_s = max(0.0, upstream.cold_until - get_running_loop().time())
    headers = [
        Header("Gypsummount-Instance-Id", upstream.name),
        Header(
            "Gypsummount-Cold-Milliseconds", str(int(remaining_s * MS_PER_S))
        ),
    ]
    return UpstreamAnswer(200, "", headers, b"")


def _build_answer(upstream, status):
    load = f"{upstream.running},0,{SLOTS}"
    headers = [Header("Gypsummount-Server-Load", load)]
    if status == 503:
        headers.append(Header("Gypsummount-Not-Executed", "1"))
    return UpstreamAnswer(status, "", headers, b"")
