"""Instances of one region that exchange dispatch messages in memory."""

from asyncio import get_running_loop
from asyncio import sleep
from dataclasses import replace
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.groups import Member
from gypsummount._core.placement import combine_hashes
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._edge.backends import Need
from gypsummount._edge.dispatch import Dispatch
from gypsummount._edge.probing import Prober
from gypsummount._edge.selection import Selection
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.wire import LoadReport
from tests.edge.test_peers import build_digest
from tests.edge.upstreams import create_replica
from tests.edge.upstreams import LOCAL_UPSTREAMS
from tests.edge.upstreams import REGIONS
from tests.edge.upstreams import SLOTS

REGION = "a"
DEFAULT_OBJECTIVE_S = 0.5
MAX_OBJECTS = 200
# So late that no request is refused as late.
DUE_S = 60.0


def build_need(object_hash=7, *, objective_s=DEFAULT_OBJECTIVE_S):
    return Need(
        "s",
        frozenset(),
        frozenset(),
        object_hash,
        1,
        read_monotonic() + DUE_S,
        objective_s,
        "read",
    )


def build_result(duration_s=0.1, *, end=ExchangeEnd.SUCCEEDED):
    return ExchangeResult(end, duration_s, LoadReport(0, 0, 100))


class Node:
    """One instance; ``held_back`` keeps what it gets while frozen."""

    def __init__(self, digest, send):
        self.digest = digest
        self.replica = create_replica()
        self.selection = Selection(
            self.replica, REGION, REGIONS, Prober(self.replica, None, REGION)
        )
        self.selection.apply_fleet_state(
            {}, SlowStartPlan(digest.name, {REGION: (digest.name,)})
        )
        self.selection.update()
        for backend in self.selection._backends:
            backend.load.record_health_check(read_monotonic(), 0.0)
        # The upstreams of the service report their speed.
        backend = next(iter(self.selection._backends))
        self.selection.record_load(
            backend, LoadReport(0, 0, 100), read_monotonic()
        )
        self.held_back = None
        self._send = send
        self.start_dispatch()

    def start_dispatch(self):
        """Start the dispatch anew, as after a restart of the process."""
        self.dispatch = Dispatch(
            Member(self.digest.name, self.digest.capacity),
            REGION,
            self.selection,
            self._send,
        )
        self.handlers = self.dispatch.list_handlers()

    def count_in_flight(self):
        return sum(
            backend.load.in_flight for backend in self.selection._backends
        )

    async def acquire(self, need=None, *, remaining_s=1.0):
        return await self.dispatch.acquire(
            need or build_need(), frozenset(), read_monotonic() + remaining_s
        )


class Network:
    """Delivers datagrams at once, or with seeded loss and delays."""

    def __init__(self, size, *, seed=None, loss=0.0, copies=0.0, delay_s=0.0):
        self._random = Random(seed)
        self._loss = loss
        self._copies = copies
        self._delay_s = delay_s
        self.nodes = {}
        self.cut = set()
        self.drop = set()
        self.sent = []
        for number in range(size):
            digest = replace(build_digest(number, REGION), capacity=1.0)
            host = digest.host
            self.nodes[host] = Node(digest, self._build_send(host))
        self.apply_fleet()

    def apply_fleet(self, *, without=()):
        """Tell all instances which of them are live."""
        digests = [node.digest for node in self.nodes.values()]
        for node in self.nodes.values():
            node.dispatch.apply_fleet(
                [
                    digest
                    for digest in digests
                    if digest is not node.digest and digest.name not in without
                ],
                node.replica.catalog,
                is_grouped=True,
                is_serving=node.digest.name not in without,
            )

    def rank(self):
        """Return the nodes that may dispatch, in order, then the others."""
        nodes = list(self.nodes.values())
        ranked = nodes[0].dispatch._ranks._ranked["s"]
        by_name = {node.digest.name: node for node in nodes}
        others = [node for node in nodes if node.digest.name not in ranked]
        return [by_name[name] for name in ranked], others

    def count(self, mark):
        return sum(1 for _, data, _ in self.sent if data.startswith(mark))

    def close(self):
        for node in self.nodes.values():
            node.dispatch.stop()
            node.selection.close()

    def _build_send(self, sender):
        def send(data, receiver):
            self.sent.append((sender, data, receiver))
            if data[:2] in self.drop or self._random.random() < self._loss:
                return
            copies = 1 + (self._random.random() < self._copies)
            for _ in range(copies):
                delay_s = self._random.random() * self._delay_s
                loop = get_running_loop()
                loop.call_later(delay_s, self._deliver, sender, data, receiver)

        return send

    def _deliver(self, sender, data, receiver):
        if sender in self.cut or receiver in self.cut:
            return
        node = self.nodes[receiver]
        if node.held_back is not None:
            node.held_back.append((data, sender))
            return
        handler = node.handlers.get(data[:2])
        if handler is not None:
            handler(data, sender)

    def thaw(self, node):
        held_back, node.held_back = node.held_back, None
        for data, sender in held_back:
            node.handlers[data[:2]](data, sender)


async def let_pass(span_s, network):
    """Let time pass, with the periodic steps of all instances."""
    until = read_monotonic() + span_s
    while (now := read_monotonic()) < until:
        for node in network.nodes.values():
            if node.held_back is None:
                node.dispatch.update(now)
                node.selection.update()
        await sleep(min(0.05, max(0.0, until - now)))


def find_first(node, object_hash):
    """Return the upstream that is the first choice for an object."""
    first = max(
        (b for b in node.selection._backends if b.region == REGION),
        key=lambda backend: combine_hashes(object_hash, backend.load.seed),
    )
    return first.record.name


def find_suited(picks, node, object_hash):
    """Return the first pick of the first choice for an object."""
    name = find_first(node, object_hash)
    return next(pick for pick in picks if pick.backend.record.name == name)


async def fill(node):
    """Take all that the region's upstreams have; return the picks.

    Each has room for one request more than slots.  The objects are chosen
    so that each upstream is the first choice for as many.
    """
    objects = {}
    for object_hash in range(MAX_OBJECTS):
        objects.setdefault(find_first(node, object_hash), []).append(
            object_hash
        )
    assert len(objects) == LOCAL_UPSTREAMS
    return [
        await node.acquire(build_need(hashes[index], objective_s=0.01))
        for index in range(SLOTS + 1)
        for hashes in objects.values()
    ]
