"""Failures of dispatchers, links and views of the fleet."""

from asyncio import create_task
from asyncio import sleep

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.dispatchers import LEASE_MARGIN_S
from gypsummount._core.dispatchers import MAX_LEASE_S
from gypsummount._edge.dispatch_messages import HELD_MARK
from gypsummount._edge.dispatch_messages import REQUEST_MARK
from gypsummount._edge.dispatcher import FREEZE_GAP_S
from gypsummount._edge.tokens import REQUEST_TIMEOUTS_S
from tests.edge.dispatch_network import build_need
from tests.edge.dispatch_network import build_result
from tests.edge.dispatch_network import fill
from tests.edge.dispatch_network import let_pass
from tests.edge.dispatch_network import Network

SIZE = 6
SILENCE_S = sum(REQUEST_TIMEOUTS_S)
# Requests have a second: what is late by more would fail.
SLACK_S = 0.4


@pytest.fixture
async def network():
    created = Network(SIZE)
    yield created
    created.close()


class TestLostDispatcher:
    async def test_instance_selects_by_itself_and_asks_the_next_one(
        self, network
    ):
        """Guards against requests that fail or wait with a dispatcher."""
        ranked, others = network.rank()
        network.cut.add(ranked[0].digest.host)
        began = read_monotonic()
        pick = await others[0].acquire()
        assert read_monotonic() - began < SILENCE_S + SLACK_S
        assert others[0].dispatch.requests.timed_out == 1
        second = await others[0].acquire()
        assert others[0].dispatch.requests.timed_out == 1
        # The next one also learns of what was selected without it.
        assert ranked[1].count_in_flight() == 2
        for used in (pick, second):
            others[0].dispatch.finish(used, build_result())
        await sleep(0.01)
        assert ranked[1].count_in_flight() == 0

    async def test_queued_request_notices_it(self, network):
        """Guards against requests that wait in the queue of a dead one."""
        ranked, others = network.rank()
        picks = await fill(others[0])
        task = create_task(others[1].acquire(build_need(objective_s=3.0)))
        await sleep(0.05)
        network.cut.add(ranked[0].digest.host)
        await sleep(0)
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        began = read_monotonic()
        await task
        assert read_monotonic() - began < 0.08 + 0.2 + SILENCE_S + SLACK_S

    async def test_last_instance_of_a_region_selects_for_itself(self, network):
        ranked, others = network.rank()
        node = others[0]
        node.dispatch.apply_fleet(
            [], node.replica.catalog, is_grouped=True, is_serving=True
        )
        await node.acquire()
        assert network.sent == []

    async def test_stop_sends_waiting_requests_on_at_once(self, network):
        """Guards against planned stops that cost waiting requests time."""
        ranked, others = network.rank()
        await fill(others[0])
        task = create_task(others[1].acquire(build_need(objective_s=3.0)))
        await sleep(0.05)
        ranked[0].dispatch.stop()
        await task
        assert others[1].dispatch.requests.asked == 1
        assert others[1].dispatch.requests.timed_out == 0
        later = await others[1].acquire()
        assert ranked[1].count_in_flight() >= 1
        others[1].dispatch.finish(later, build_result())


class TestFrozenDispatcher:
    async def test_grants_too_old_by_the_boot_clock_are_freed(self, network):
        """Guards against slots that count as used for ever after a thaw."""
        ranked, others = network.rank()
        pick = await others[0].acquire(remaining_s=0.5)
        ranked[0].held_back = []
        network.cut.add(others[0].digest.host)
        others[0].dispatch.finish(pick, build_result())
        await sleep(0.02)
        network.thaw(ranked[0])
        dispatcher = ranked[0].dispatch.dispatcher
        dispatcher.update(read_monotonic() + 0.5 + LEASE_MARGIN_S)
        assert ranked[0].count_in_flight() == 0
        assert dispatcher.expired == 1

    async def test_requests_of_the_frozen_time_get_no_grant(self, network):
        """Guards against a thaw that fills the upstreams for nobody."""
        ranked, others = network.rank()
        ranked[0].held_back = []
        await others[0].acquire()
        dispatcher = ranked[0].dispatch.dispatcher
        dispatcher._updated_at -= FREEZE_GAP_S
        network.thaw(ranked[0])
        await sleep(0.02)
        assert dispatcher.granted == 0
        assert ranked[0].count_in_flight() == 0

    async def test_grant_after_the_request_was_given_up_is_returned(
        self, network
    ):
        """Guards against slots held for requests that went elsewhere."""
        ranked, others = network.rank()
        ranked[0].held_back = []
        await others[0].acquire()
        await sleep(0.02)
        held_back = ranked[0].held_back
        requests = [
            item for item in held_back if item[0].startswith(REQUEST_MARK)
        ]
        ranked[0].held_back = requests
        ranked[0].dispatch.dispatcher.update(read_monotonic())
        network.thaw(ranked[0])
        await sleep(0.05)
        assert ranked[0].dispatch.dispatcher.granted == 1
        assert ranked[0].count_in_flight() == 0
        assert others[0].count_in_flight() == 1


class TestPartition:
    async def test_both_sides_serve_and_agree_after_it(self, network):
        """Guards against lost slots after a link has failed."""
        ranked, others = network.rank()
        picks = [await others[0].acquire() for _ in range(2)]
        network.cut.add(others[0].digest.host)
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        cut_off = await others[0].acquire(remaining_s=2.0)
        reached = await others[1].acquire()
        assert ranked[0].count_in_flight() == 3
        network.cut.clear()
        others[0].dispatch._ranks._suspect_until.clear()
        last = await others[0].acquire()
        await sleep(0.05)
        ranked[0].dispatch.dispatcher.update(
            read_monotonic() + MAX_LEASE_S + LEASE_MARGIN_S
        )
        for node, pick in (
            (others[0], cut_off),
            (others[1], reached),
            (others[0], last),
        ):
            node.dispatch.finish(pick, build_result())
        await sleep(0.02)
        assert [node.count_in_flight() for node in network.nodes.values()] == [
            0
        ] * SIZE


class TestUnseenDispatcher:
    async def test_release_reaches_it(self, network):
        """Guards against slots that stay taken after a gap in the view."""
        ranked, others = network.rank()
        pick = await others[0].acquire()
        network.apply_fleet(without=(ranked[0].digest.name,))
        others[0].dispatch.finish(pick, build_result())
        await sleep(0.02)
        assert ranked[0].count_in_flight() == 0
        assert ranked[0].dispatch.dispatcher.in_use == 0


class TestRestartedDispatcher:
    async def test_requesters_report_what_they_hold(self, network):
        """Guards against a new dispatcher that fills busy upstreams."""
        ranked, others = network.rank()
        picks = [await others[0].acquire(remaining_s=3.0) for _ in range(5)]
        ranked[0].dispatch.stop()
        for backend in ranked[0].selection._backends:
            backend.load.in_flight = 0
        ranked[0].start_dispatch()
        network.apply_fleet()
        picks.append(await others[0].acquire())
        await sleep(0.02)
        assert network.count(HELD_MARK) == 1
        assert ranked[0].count_in_flight() == 6
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        await sleep(0.02)
        assert ranked[0].count_in_flight() == 0

    async def test_new_dispatcher_learns_what_is_held(self, network):
        """Guards against full upstreams when the dispatcher changes."""
        ranked, others = network.rank()
        picks = [await others[0].acquire(remaining_s=3.0) for _ in range(5)]
        network.apply_fleet(without=(ranked[0].digest.name,))
        picks.append(await others[0].acquire())
        await sleep(0.02)
        assert ranked[1].count_in_flight() == 6
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        await sleep(0.02)
        assert ranked[1].count_in_flight() == 0


class TestTwoDispatchers:
    async def test_each_frees_what_it_granted(self, network):
        """Guards against counts that drift while views of the fleet differ."""
        ranked, others = network.rank()
        lost = ranked[0].digest.name
        digests = [
            node.digest
            for node in network.nodes.values()
            if node.digest.name != lost and node is not others[0]
        ]
        others[0].dispatch.apply_fleet(
            digests,
            others[0].replica.catalog,
            is_grouped=True,
            is_serving=True,
        )
        held = [
            (node, await node.acquire()) for node in (others[0], others[1]) * 4
        ]
        assert ranked[0].count_in_flight() == 4
        assert ranked[1].count_in_flight() == 4
        for node, pick in held:
            node.dispatch.finish(pick, build_result())
        await let_pass(0.05, network)
        assert ranked[0].count_in_flight() == 0
        assert ranked[1].count_in_flight() == 0
