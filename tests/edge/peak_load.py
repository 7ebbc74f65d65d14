"""Arrivals and slots in virtual time, to compare selection policies."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections import Counter
from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from gypsummount._common import clocks
from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeService
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.placement import hash_object
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._edge import selection_policy
from gypsummount._edge.backends import Need
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica
from gypsummount._edge.selection import Selection
from gypsummount._edge.wire import LoadReport
from gypsummount.errors import NoCapacity
from tests.model.clock import VirtualLoop

KNOWN_FRACTION = 0.3
REMEMBERED_OBJECTS = 16
QUEUE_PER_SLOT = 3
TICK_S = 0.1
LINK_S = 0.001
PAUSE_S = 0.1
WARM_UP_S = 4.0
TAIL_S = 3.0


@dataclass(slots=True)
class Stream:
    """Requests of one workspace and route at a rate that may change.

    ``rate`` is a function of the time since the start (1/s).
    """

    workspace: str
    rate: object
    work_s: float = 0.3
    objective_s: float = 0.4
    route: str = "r"
    priority: int = 1
    objects: int = 80
    patience_s: float = 1.5
    body_class: int = 0


@dataclass(slots=True)
class Score:
    """What became of the callers of a workspace and route."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    attempts: int = 0
    held_s: list = field(default_factory=list)

    @property
    def callers(self):
        return self.on_time + self.late + self.refused

    @property
    def worth(self):
        return (self.on_time + 0.25 * self.late) / max(1, self.callers)


class FakeUpstream:
    """Slots, a bounded queue, a memory of objects and a machine's speed."""

    def __init__(self, name, slots, read_speed):
        self.name = name
        self.slots = slots
        self.read_speed = read_speed
        self.running = 0
        self.served = 0
        self.hits = 0
        self._queue = deque()
        self._known = OrderedDict()

    def report(self, *, with_speed):
        speed = int(self.read_speed(get_running_loop().time()))
        return LoadReport(
            self.running, len(self._queue), speed if with_speed else None
        )

    async def serve(self, object_hash, work_s):
        """Run a request; return False if it is refused instead."""
        if self.running >= self.slots:
            if len(self._queue) >= self.slots * QUEUE_PER_SLOT:
                return False
            turn = get_running_loop().create_future()
            self._queue.append(turn)
            await turn
        else:
            self.running += 1
        self.served += 1
        if object_hash in self._known:
            self.hits += 1
            work_s *= KNOWN_FRACTION
        speed = self.read_speed(get_running_loop().time())
        await sleep(work_s * speed / 100)
        self._known[object_hash] = None
        self._known.move_to_end(object_hash)
        if len(self._known) > REMEMBERED_OBJECTS:
            self._known.popitem(last=False)
        if self._queue:
            self._queue.popleft().set_result(None)
        else:
            self.running -= 1
        return True


class Region:
    """Upstreams, and instances that choose among them."""

    def __init__(self, upstreams, instances, seed, *, with_speed):
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self.with_speed = with_speed
        self.random = Random(seed)
        self.scores = {}
        self.selections = [self._create_selection() for _ in range(instances)]

    def _create_selection(self):
        replica = Replica(None, FreshnessProof(4.0))
        replica.catalog = Catalog(1, CallerLimits(15.0, 1000))
        replica.catalog.services["s"] = EdgeService("s", 0.0, None)
        for number, upstream in enumerate(self.upstreams.values()):
            replica.upstreams[upstream.name] = UpstreamRecord(
                upstream.name,
                "s",
                f"127.0.0.1:{9000 + number}",
                "a1",
                "v1",
                upstream.slots,
                True,
            )
        replica.changes = 1
        prober = Prober(replica, None, "a")
        selection = Selection(replica, "a", {"a1": "a"}, prober)
        selection.apply_fleet_state({}, SlowStartPlan("n1", {"a": ("n1",)}))
        selection.update()
        return selection

    async def run(self, streams, duration_s):
        """Run the streams; count the callers after the warm-up."""
        ticks = create_task(self._tick())
        start = get_running_loop().time()
        await gather(
            *(self._arrive(stream, start, duration_s) for stream in streams)
        )
        await sleep(TAIL_S)
        ticks.cancel()
        for selection in self.selections:
            selection.close()
        return self.scores

    async def _tick(self):
        while True:
            await sleep(TICK_S)
            for selection in self.selections:
                selection.update()

    async def _arrive(self, stream, start, duration_s):
        loop = get_running_loop()
        callers = []
        while loop.time() - start < duration_s:
            rate = stream.rate(loop.time() - start)
            await sleep(self.random.expovariate(rate))
            is_counted = loop.time() - start > WARM_UP_S
            # Few objects are asked for often, many rarely.
            place = int(stream.objects * self.random.random() ** 3)
            object_hash = hash_object(f"{stream.route} {place}")
            callers.append(
                create_task(self._call(stream, object_hash, is_counted))
            )
        await gather(*callers)

    async def _call(self, stream, object_hash, is_counted):
        """Send a caller's request, and again after each refusal."""
        score = Score()
        if is_counted:
            key = (stream.workspace, stream.route)
            score = self.scores.setdefault(key, Score())
        loop = get_running_loop()
        first_at = loop.time()
        deadline = first_at + stream.patience_s
        while True:
            selection = self.random.choice(self.selections)
            arrived_at = loop.time()
            need = Need(
                "s",
                frozenset(),
                frozenset(),
                object_hash,
                stream.priority * 100,
                first_at + stream.objective_s,
                stream.objective_s,
                stream.route,
                stream.workspace,
                stream.body_class,
                arrived_at > first_at,
            )
            score.attempts += 1
            try:
                await self._send(selection, need, deadline, stream)
                break
            except NoCapacity as error:
                held_s = loop.time() - arrived_at
                score.held_s.append(held_s / stream.objective_s)
                await sleep(error.retry_after_s)
            if loop.time() >= deadline:
                score.refused += 1
                return
        if loop.time() <= need.due_at:
            score.on_time += 1
        elif loop.time() <= deadline:
            score.late += 1
        else:
            score.refused += 1

    async def _send(self, selection, need, deadline, stream):
        """Do what the proxy does with a request, up to two sends."""
        tried = frozenset()
        loop = get_running_loop()
        for _ in range(2):
            pick = await selection.acquire(need, tried, deadline)
            backend = pick.backend
            upstream = self.upstreams[backend.record.name]
            sent_at = loop.time()
            await sleep(LINK_S)
            ran = await upstream.serve(need.object_hash, stream.work_s)
            report = upstream.report(with_speed=self.with_speed)
            await sleep(LINK_S)
            now = loop.time()
            selection.release(backend, pick)
            backend.load.record_answer(now)
            selection.record_load(backend, report, now)
            if ran:
                latency_s = now - sent_at
                backend.load.record_success(latency_s, need.object_hash)
                selection.record_latency(need, pick, latency_s)
                return
            backend.load.record_refusal(now, PAUSE_S)
            tried = tried | {backend.record.name}
        error = NoCapacity("refused by the upstreams")
        error.retry_after_s = 0.05
        raise error


def play(
    streams, duration_s, *, with_speed, upstreams=None, instances=3, seed=1
):
    """Return the scores of a load under the new or the existing policy."""
    loop = VirtualLoop()
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(clocks, "clock_gettime", lambda _: loop.now)
        patches.setattr(selection_policy, "random", Random(seed).random)
        try:

            async def run():
                made = (upstreams or create_upstreams)(Random(seed))
                region = Region(made, instances, seed, with_speed=with_speed)
                return await region.run(streams, duration_s)

            return loop.run_until_complete(run())
        finally:
            loop.close()


def create_upstreams(random, count=8):
    """Return upstreams whose machines vary in speed many times a second."""
    return [
        FakeUpstream(f"u{number}", 4, _create_speed(random.random()))
        for number in range(count)
    ]


def _create_speed(phase):
    def read(now):
        step = Random(int(now * 8 + phase * 1000) * 7919 + int(phase * 1e6))
        return 70 + 80 * step.random()

    return read


def total(scores):
    """Return the sum of all scores."""
    result = Score()
    counts = Counter()
    for score in scores.values():
        result.held_s += score.held_s
        for name in ("on_time", "late", "refused", "attempts"):
            counts[name] += getattr(score, name)
    for name, count in counts.items():
        setattr(result, name, count)
    return result
