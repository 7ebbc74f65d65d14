"""Dispatch messages that are lost, repeated, late or reordered."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.dispatchers import LEASE_MARGIN_S
from gypsummount._core.dispatchers import MAX_LEASE_S
from gypsummount._edge.dispatch_messages import ANSWER_MARK
from gypsummount._edge.dispatch_messages import DispatchRequest
from gypsummount._edge.dispatch_messages import encode_held
from gypsummount._edge.dispatch_messages import encode_release
from gypsummount._edge.dispatch_messages import encode_request
from gypsummount._edge.dispatch_messages import Held
from gypsummount._edge.dispatch_messages import HELD_MARK
from gypsummount._edge.dispatch_messages import RELEASE_MARK
from gypsummount._edge.dispatch_messages import REQUEST_MARK
from gypsummount._edge.dispatch_releases import MAX_SENDS
from gypsummount._edge.dispatch_releases import RETRY_S
from gypsummount._edge.dispatch_releases import UnacknowledgedReleases
from tests.edge.dispatch_network import build_need
from tests.edge.dispatch_network import build_result
from tests.edge.dispatch_network import fill
from tests.edge.dispatch_network import find_suited
from tests.edge.dispatch_network import let_pass
from tests.edge.dispatch_network import Network

SIZE = 6
# Messages about a few requests, and the end of all leases.
STEPS = st.tuples(
    st.sampled_from(["request", "release", "held", "expire"]),
    st.integers(0, 3),
)


@pytest.fixture
async def network():
    created = Network(SIZE)
    yield created
    created.close()


class TestUnreliableDatagrams:
    @pytest.mark.parametrize("seed", range(4))
    async def test_every_request_ends_and_no_slot_is_lost(self, seed):
        """Guards against in-flight counts that drift with each fault."""
        network = Network(10, seed=seed, loss=0.1, copies=0.2, delay_s=0.03)
        nodes = list(network.nodes.values())

        async def send(number):
            await sleep(number * 0.004)
            node = nodes[number % len(nodes)]
            pick = await node.acquire(build_need(number % 9), remaining_s=2.0)
            await sleep(0.02)
            node.dispatch.finish(pick, build_result())

        tasks = gather(*(send(number) for number in range(150)))
        await let_pass(1.2, network)
        await tasks
        later = read_monotonic() + MAX_LEASE_S + LEASE_MARGIN_S
        for node in nodes:
            node.dispatch.dispatcher.update(later)
            assert node.count_in_flight() == 0
            assert node.dispatch.dispatcher.in_use == 0
        network.close()

    async def test_repeated_request_is_granted_once(self, network):
        ranked, others = network.rank()
        await others[0].acquire()
        sender, data, _ = network.sent[0]
        ranked[0].handlers[REQUEST_MARK](data, sender)
        await sleep(0.01)
        assert ranked[0].dispatch.dispatcher.granted == 1
        assert others[0].count_in_flight() == 1
        assert ranked[0].count_in_flight() == 1

    async def test_lost_answer_is_asked_for_again(self, network):
        ranked, others = network.rank()
        network.drop.add(ANSWER_MARK)
        task = create_task(others[0].acquire())
        await sleep(0.04)
        network.drop.clear()
        await task
        assert ranked[0].dispatch.dispatcher.granted == 1
        assert others[0].dispatch.requests.timed_out == 0

    async def test_lost_answer_to_a_queued_request_is_asked_for_again(
        self, network
    ):
        _, others = network.rank()
        picks = await fill(others[0])
        task = create_task(others[1].acquire(build_need(7, objective_s=2.0)))
        await sleep(0.02)
        network.drop.add(ANSWER_MARK)
        freed = find_suited(picks, others[0], 7)
        others[0].dispatch.finish(freed, build_result())
        await sleep(0.02)
        network.drop.clear()
        # Without a repeated message it would be refused at its deadline.
        await task

    async def test_lost_release_is_sent_again_after_the_next_answer(
        self, network
    ):
        ranked, others = network.rank()
        pick = await others[0].acquire()
        network.drop.add(RELEASE_MARK)
        others[0].dispatch.finish(pick, build_result())
        await sleep(RETRY_S + 0.02)
        network.drop.clear()
        assert ranked[0].count_in_flight() == 1
        await others[0].acquire()
        await sleep(0.02)
        assert ranked[0].count_in_flight() == 1
        assert ranked[0].dispatch.dispatcher.in_use == 1

    def test_release_is_given_up_and_the_kept_ones_are_bounded(self):
        releases = UnacknowledgedReleases()
        for number in range(1000):
            releases.add("h", number, b"", 0.0)
        sent = [
            len(releases.acknowledge("h", (), RETRY_S * (turn + 1)))
            for turn in range(MAX_SENDS + 1)
        ]
        assert sent == [64, 64, 0, 0]

    async def test_acknowledged_release_is_not_sent_again(self, network):
        _, others = network.rank()
        pick = await others[0].acquire()
        others[0].dispatch.finish(pick, build_result())
        await sleep(RETRY_S + 0.02)
        for _ in range(2):
            await others[0].acquire()
        assert network.count(RELEASE_MARK) == 1

    async def test_long_exchange_keeps_its_grant(self, network):
        """Guards against a slot that counts as free while it is used."""
        ranked, others = network.rank()
        await others[0].acquire(remaining_s=60.0)
        now = read_monotonic()
        for step in range(1, 8):
            later = now + step * 1.6
            for node in network.nodes.values():
                node.dispatch._held.renew(node.dispatch._ranks.hosts, later)
            await sleep(0.01)
        assert ranked[0].dispatch.dispatcher.expired == 0
        assert network.count(HELD_MARK) == 7

    async def test_invalid_datagrams_change_nothing(self, network, caplog):
        node = next(iter(network.nodes.values()))
        for mark, handler in node.handlers.items():
            for _ in range(20):
                handler(mark + b"\xff", "10.9.9.9")
        assert network.sent == []
        assert node.count_in_flight() == 0
        assert 1 <= len(caplog.records) <= 3


class TestAnyOrder:
    @settings(max_examples=60, deadline=None)
    @given(st.lists(STEPS, max_size=25))
    def test_slots_in_use_are_those_of_the_grants(self, steps):
        """Guards against counts that drift with reordered messages."""
        run(self.apply(steps))

    async def apply(self, steps):
        network = Network(2)
        ranked, _ = network.rank()
        dispatcher = ranked[0].dispatch.dispatcher
        now = read_monotonic()
        granted = set()
        for kind, number in steps:
            if kind == "request":
                request = DispatchRequest(
                    number, build_need(), frozenset(), 1.0
                )
                dispatcher.receive_request(encode_request(request, 1.0), "h")
            elif kind == "release":
                data = encode_release(number, build_result())
                dispatcher.receive_release(data, "h")
            elif kind == "held":
                held = [Held(number, 7, 1.0, str(number % 6))]
                dispatcher.receive_held(encode_held("s", held), "h")
            else:
                dispatcher.update(now + MAX_LEASE_S * 2)
                dispatcher.update(now)
            await sleep(0)
            await sleep(0)
            assert ranked[0].count_in_flight() == dispatcher.in_use
            granted.add(number)
        assert dispatcher.granted <= len(granted)
        network.close()
