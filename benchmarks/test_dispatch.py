"""Cost of a selection by a dispatcher, over sockets of this machine."""

from asyncio import gather
from dataclasses import replace
from time import process_time

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.peers import Peers
from tests.edge.dispatch_network import build_need
from tests.edge.dispatch_network import build_result
from tests.edge.dispatch_network import Network

# All instances together may spend this much on one request; messages,
# sockets and event loops of both sides are included.
MAX_REQUEST_S = 0.00025
MAX_DATAGRAMS = 3.05
MAX_BYTES = 200
REQUESTS = 1500
IN_FLIGHT = 8
REPEATS = 5
# The periodic step runs at least ten times a second.
UPDATE_EVERY = 30
PORT = 47_391
HOSTS = ("127.0.0.2", "127.0.0.3")


class _Side:
    """One instance whose datagrams pass through a socket."""

    def __init__(self, node, host):
        self.node = node
        self.sizes = []
        node.digest = replace(node.digest, host=host)
        node._send = self._send
        node.start_dispatch()
        self.gossip = Gossip(
            node.digest.name, host, PORT, Peers("a"), None, None, None
        )
        self.gossip.add_handlers(node.dispatch.list_handlers())

    def _send(self, data, host):
        self.sizes.append(len(data))
        self.gossip.send(data, host)


@pytest.fixture
async def network():
    created = Network(2)
    created.sides = [
        _Side(node, host)
        for node, host in zip(created.nodes.values(), HOSTS, strict=True)
    ]
    for side in created.sides:
        await side.gossip.open()
    created.apply_fleet()
    yield created
    for side in created.sides:
        side.gossip.close()
    created.close()


async def measure_request(network, node):
    """Return the processor time (s) of one selection, at its best."""

    async def run(first):
        for number in range(first, REQUESTS, IN_FLIGHT):
            pick = await node.acquire(build_need(number % 40))
            node.dispatch.finish(pick, build_result())
            if number % UPDATE_EVERY == 0:
                for side in network.sides:
                    side.node.dispatch.update(read_monotonic())

    best_s = float("inf")
    for _ in range(REPEATS):
        began = process_time()
        await gather(*(run(first) for first in range(IN_FLIGHT)))
        best_s = min(best_s, (process_time() - began) / REQUESTS)
    return best_s


class TestDispatchedSelection:
    async def test_cost_of_one_request(self, network):
        """Guards against a dispatcher that its processor limits."""
        ranked, _ = network.rank()
        asking = ranked[1]
        dispatched_s = await measure_request(network, asking)
        own_s = await measure_request(network, ranked[0])
        sizes = [size for side in network.sides for size in side.sizes]
        count = REQUESTS * REPEATS
        print(
            f"dispatched {dispatched_s * 1e6:.1f} us, here "
            f"{own_s * 1e6:.1f} us, {len(sizes) / count:.3f} datagrams and "
            f"{sum(sizes) / count:.0f} bytes a request"
        )
        assert asking.dispatch.requests.asked == count
        assert dispatched_s <= MAX_REQUEST_S
        assert len(sizes) / count <= MAX_DATAGRAMS
        assert sum(sizes) / count <= MAX_BYTES
