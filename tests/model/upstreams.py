"""Models of upstreams and of the connections to them."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait_for
from collections import deque
from dataclasses import dataclass

from gypsummount._core.sanitizing import Header
from gypsummount._edge.feed import Kind
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.platform.wire import EXPECTED
from tests.model.clock import INCARNATION

SLOTS = 9
QUEUE = 27
WORK_S = 0.08
COLD_S = 3.0
COLD_RATE = 24.0
COLD_MOST = COLD_RATE * 1.5 + 5
CONNECT_LIMIT_S = 1.0
HEARTBEAT_S = 1.5
ENTRY_LAG_S = 0.8
# The probability that a heartbeat from before a restart or a change
# arrives after a newer one.
OLD_BEAT_SHARE = 0.3
LAPSE_S = 4.5
MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that arrived at an upstream, and which instance sent it."""

    sent_at: float
    came_at: float
    machine: str


@dataclass(slots=True, frozen=True)
class Flood:
    """Too many requests to a cold upstream within one second."""

    upstream: str
    at: float
    count: int
    by_machine: tuple


class ModelUpstream:
    """One upstream, with its restarts, its registration and its load."""

    def __init__(self, name, address, domain, region, store, random):
        self.name = name
        self.address = address
        self.domain = domain
        self.region = region
        self._store = store
        self._random = random
        self.born = get_running_loop().time()
        self.is_up = True
        self.is_dark = False
        self.state = "ready"
        self.cold_until = 0.0
        self.running = 0
        self.ended = Event()
        self.beat_at = self.born
        self.floods = []
        self._written = None
        self._sequence = 0
        self._last = self.build_entry()
        self._arrivals = deque()

    @property
    def is_cold(self):
        return self.is_up and get_running_loop().time() < self.cold_until

    def crash(self, *, is_dark):
        self.is_up = False
        self.is_dark = is_dark
        self.running = 0
        self.ended.set()

    def come_back(self):
        now = get_running_loop().time()
        self.is_up = True
        self.is_dark = False
        self.born = now
        self._sequence = 0
        self.cold_until = now + COLD_S
        self.ended = Event()
        self._arrivals.clear()

    def drain(self):
        self.state = "draining"
        self._sequence += 1

    def turn_cold(self):
        self.cold_until = get_running_loop().time() + COLD_S

    async def send_heartbeats(self):
        while True:
            await self._beat()
            await sleep(HEARTBEAT_S)

    async def _beat(self):
        if not self.is_up:
            self._lapse()
            return
        self._sequence += 1
        entry = self.build_entry()
        await sleep(self._random.uniform(0, ENTRY_LAG_S))
        is_over = not self.is_up or entry["state"] != self.state
        if self._store.is_down or is_over:
            return
        self.beat_at = get_running_loop().time()
        if {**entry, "sequence": 0} != self._written:
            self._written = {**entry, "sequence": 0}
            self._last = entry
            self._store.put(Kind.UPSTREAM, self.name, entry)

    async def announce(self):
        """Write the first registration after a start.

        A stale one may follow.
        """
        before = self._last
        await self._beat()
        await self.repeat_old(before)

    async def repeat_old(self, before):
        """Let a heartbeat from before a change arrive late, at random."""
        if self._random.random() < OLD_BEAT_SHARE:
            await sleep(self._random.uniform(0, ENTRY_LAG_S))
            self._written = before
            self._store.put(Kind.UPSTREAM, self.name, before)

    def _lapse(self):
        silent_s = get_running_loop().time() - self.beat_at
        if silent_s > LAPSE_S and not self._store.is_down:
            self._written = None
            self._store.delete(Kind.UPSTREAM, self.name)

    def build_entry(self):
        left_s = max(0.0, self.cold_until - get_running_loop().time())
        return {
            "service": "s",
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingS": round(left_s, 1),
            "sequence": self._sequence,
            "born": int(self.born * MS_PER_S),
        }

    def note_arrival(self, sent_at, machine):
        """Count a request to a cold upstream; record a flood.

        Only requests sent within the last second count.
        """
        if not self.is_cold:
            return
        now = get_running_loop().time()
        self._arrivals.append(Arrival(sent_at, now, machine))
        while self._arrivals[0].came_at <= now - 1.0:
            self._arrivals.popleft()
        inside = [one for one in self._arrivals if one.sent_at > now - 1.0]
        if len(inside) > COLD_MOST:
            names = [one.machine for one in inside]
            counts = sorted((name, names.count(name)) for name in set(names))
            self.floods.append(
                Flood(self.name, now, len(inside), tuple(counts))
            )


class ModelPool:
    """Connections from one instance to the upstream at an address."""

    network = None

    def __init__(self, address, suspicion=None, fresh_s=1.0):
        self.address = address
        self._owner = INCARNATION.get()
        self._kept = []
        self.closed_early = 0

    def close(self):
        self._kept.clear()

    async def send(self, request, limit_s, *, repeatable, new_only=False):
        return await self.send_built(
            lambda _: request,
            limit_s,
            repeatable=repeatable,
            new_only=new_only,
        )

    async def send_built(self, build, limit_s, *, repeatable, new_only=False):
        began = get_running_loop().time()
        upstream = self.network.find_upstream(self.address)
        start = None if new_only else self._take_kept(upstream)
        if start is None:
            start = await self._open(upstream, min(limit_s, CONNECT_LIMIT_S))
        left_s = max(0.001, limit_s - (get_running_loop().time() - began))
        try:
            request = build(left_s)
        except Exception:
            self._kept.append(start)
            raise
        try:
            answer = await wait_for(
                self._exchange(upstream, start, request), left_s
            )
        except TimeoutError:
            self.close()
            raise ExchangeTimeout(
                "the upstream did not answer in time", sent=True
            ) from None
        self._kept.append(start)
        return answer

    def _take_kept(self, upstream):
        """Return the start time of the upstream that a kept connection is to.

        None if no kept connection is open.  A connection to an earlier
        start is closed, except while the upstream is dark: then nobody
        sees that it ended.
        """
        while self._kept:
            start = self._kept.pop()
            if start == upstream.born or upstream.is_dark:
                return start
            self.closed_early += 1
        return None

    async def _open(self, upstream, limit_s):
        links = self._owner.machine.links
        await sleep(2 * self._owner.machine.round_s)
        if upstream.is_dark or not links.reaches_upstreams:
            await sleep(limit_s)
            raise ExchangeError(
                "no connection to the upstream in time", sent=False
            )
        await sleep(2 * links.find_delay(upstream.region, upstream.domain))
        if not upstream.is_up:
            raise ExchangeError(
                "the upstream refused the connection", sent=False
            )
        return upstream.born

    async def _exchange(self, upstream, start, request):
        links = self._owner.machine.links
        sent_at = get_running_loop().time()
        self.network.callers.note_send(request.request_id, self._owner.machine)
        delay_s = links.find_delay(upstream.region, upstream.domain)
        await sleep(delay_s)
        if upstream.is_dark or not links.reaches_upstreams:
            await Event().wait()
        if start != upstream.born or not upstream.is_up:
            raise ExchangeError("the upstream reset the connection", sent=True)
        machine = self._owner.machine.name
        if request.target == "/health":
            upstream.note_arrival(sent_at, machine)
            await sleep(delay_s)
            return _build_health(upstream)
        headers = {one.name: one.value for one in request.headers}
        if headers[EXPECTED] != upstream.name:
            return UpstreamAnswer(421, "Misdirected", [], b"")
        upstream.note_arrival(sent_at, machine)
        if upstream.running >= SLOTS + QUEUE:
            await sleep(delay_s)
            return _build_answer(upstream, 503)
        await self._work(upstream)
        await sleep(delay_s)
        return _build_answer(upstream, 200)

    async def _work(self, upstream):
        upstream.running += 1
        busy = max(1.0, upstream.running / SLOTS)
        factor = 2.0 if upstream.is_cold else 1.0
        ended = upstream.ended
        try:
            await wait_for(ended.wait(), WORK_S * busy * factor)
        except TimeoutError:
            return
        finally:
            if not ended.is_set():
                upstream.running -= 1
        if upstream.is_dark:
            await Event().wait()
        raise ExchangeError("the upstream reset the connection", sent=True)


def _build_health(upstream):
    left_s = max(0.0, upstream.cold_until - get_running_loop().time())
    headers = [
        Header("Gypsummount-Instance-Id", upstream.name),
        Header("Gypsummount-Cold-Milliseconds", str(int(left_s * MS_PER_S))),
    ]
    return UpstreamAnswer(200, "", headers, b"")


def _build_answer(upstream, status):
    load = f"{upstream.running},0,{SLOTS}"
    headers = [Header("Gypsummount-Server-Load", load)]
    if status == 503:
        headers.append(Header("Gypsummount-Not-Executed", "1"))
    return UpstreamAnswer(status, "", headers, b"")
