"""Selection of upstreams by the dispatcher of a region."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from dataclasses import replace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import FAULTS_TO_EJECT
from gypsummount._edge.dispatch_messages import RELEASE_MARK
from gypsummount._edge.dispatch_messages import REQUEST_MARK
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.wire import LoadReport
from gypsummount.errors import NoCapacity
from tests.edge.dispatch_network import build_need
from tests.edge.dispatch_network import build_result
from tests.edge.dispatch_network import fill
from tests.edge.dispatch_network import find_suited
from tests.edge.dispatch_network import Network

SIZE = 6


@pytest.fixture
async def network():
    created = Network(SIZE)
    yield created
    created.close()


class TestGrants:
    async def test_request_takes_three_datagrams(self, network):
        ranked, others = network.rank()
        pick = await others[0].acquire()
        assert others[0].count_in_flight() == 1
        assert ranked[0].count_in_flight() == 1
        others[0].dispatch.finish(pick, build_result())
        await sleep(0.01)
        assert others[0].count_in_flight() == 0
        assert ranked[0].count_in_flight() == 0
        assert len(network.sent) == 3

    async def test_one_instance_counts_the_requests_of_all(self, network):
        """Guards against upstreams that are filled by ignorant instances."""
        ranked, _ = network.rank()
        nodes = list(network.nodes.values())
        picks = await gather(
            *(node.acquire(build_need(n)) for n, node in enumerate(nodes * 2))
        )
        assert ranked[0].count_in_flight() == len(picks)
        loads = {}
        for pick in picks:
            name = pick.backend.record.name
            loads[name] = loads.get(name, 0) + 1
        for backend in ranked[0].selection._backends:
            expected = loads.get(backend.record.name, 0)
            assert backend.load.in_flight == expected

    async def test_dispatcher_learns_from_the_exchanges_of_others(
        self, network
    ):
        """Guards against a dispatcher that knows no object and no fault."""
        ranked, others = network.rank()
        pick = await others[0].acquire()
        others[0].dispatch.finish(pick, build_result(0.3))
        await sleep(0.01)
        name = pick.backend.record.name
        backend = ranked[0].selection.find_backend(name)
        assert backend.load.has_answered_for(7)
        assert backend.load.latency_s == pytest.approx(0.3)
        for _ in range(FAULTS_TO_EJECT):
            pick = await others[1].acquire()
            assert pick.backend.record.name == name
            others[1].dispatch.finish(
                pick, build_result(end=ExchangeEnd.FAILED)
            )
            await sleep(0.01)
        assert not backend.load.is_available(read_monotonic())

    async def test_one_failed_connection_ejects_for_nobody_else(self, network):
        """Guards against one instance's broken link."""
        ranked, others = network.rank()
        pick = await others[0].acquire()
        others[0].dispatch.finish(
            pick, build_result(end=ExchangeEnd.UNANSWERED)
        )
        await sleep(0.01)
        backend = ranked[0].selection.find_backend(pick.backend.record.name)
        assert backend.load.is_available(read_monotonic())

    async def test_upstream_that_is_leaving_gets_nothing_from_others(
        self, network
    ):
        ranked, others = network.rank()
        pick = await others[0].acquire()
        others[0].dispatch.finish(
            pick, ExchangeResult(ExchangeEnd.SUCCEEDED, 0.1, None, True)
        )
        await sleep(0.01)
        second = await others[1].acquire()
        assert second.backend.record.name != pick.backend.record.name


class TestAccount:
    async def test_dispatcher_learns_service_times_and_speeds(self, network):
        """Guards against a dispatcher that selects by assumed times."""
        ranked, others = network.rank()
        need = replace(build_need(), workspace="w1", body_class=2)
        pick = await others[0].acquire(need)
        policy = ranked[0].selection._policies["s"]
        account = (
            ranked[0].selection.find_backend(pick.backend.record.name).account
        )
        assert account._requests == 1
        assert "w1" in policy._order.workspaces._recent
        times = policy._times.find("read", 2, need.objective_s)
        before_s = times.means_s[pick.familiarity]
        result = ExchangeResult(
            ExchangeEnd.SUCCEEDED, before_s / 2, LoadReport(0, 0, 300)
        )
        others[0].dispatch.finish(pick, result)
        await sleep(0.01)
        assert account._requests == 0
        assert account.estimate_speed(read_monotonic()) > 2.5
        assert times.means_s[pick.familiarity] < before_s
        assert account.knows(7, float("-inf"))

    async def test_exchange_counts_once_at_each_side(self, network):
        """Guards against demand and work that appear twice."""
        ranked, others = network.rank()
        pick = await others[0].acquire()
        asking = others[0].selection
        assert asking._policies["s"].state.new_requests == 0
        assert ranked[0].selection._policies["s"].state.new_requests == 1
        assert pick.backend.load.in_flight == 1
        assert pick.backend.account._requests == 1
        others[0].dispatch.finish(pick, build_result())
        await sleep(0.01)
        assert pick.backend.account._requests == 0
        assert others[0].count_in_flight() == 0
        assert ranked[0].count_in_flight() == 0

    async def test_own_pick_keeps_its_costs(self, network):
        """Guards against work that the dispatcher's own requests leave."""
        ranked, _ = network.rank()
        pick = await ranked[0].acquire()
        assert pick.backend.account._requests == 1
        ranked[0].dispatch.finish(pick, build_result())
        assert pick.backend.account._requests == 0


class TestSwitch:
    async def test_service_without_a_speed_sends_nothing(self, network):
        for node in network.nodes.values():
            policies = node.selection._policies
            policies["s"] = policies["s"]._previous
            await node.acquire()
        assert network.sent == []

    async def test_small_fleet_sends_nothing(self, network):
        for node in network.nodes.values():
            node.dispatch.apply_fleet(
                [], node.replica.catalog, is_grouped=False, is_serving=True
            )
            await node.acquire()
        assert network.sent == []


class TestQueue:
    async def test_waiting_request_gets_the_slot_that_another_frees(
        self, network
    ):
        """Guards against idle slots while a request waits elsewhere."""
        _, others = network.rank()
        picks = await fill(others[0])
        freed = find_suited(picks, others[0], 7)
        task = create_task(others[1].acquire(build_need(7, objective_s=2.0)))
        await sleep(0.05)
        assert not task.done()
        others[0].dispatch.finish(freed, build_result())
        pick = await task
        assert others[1].dispatch.requests.queued == 1
        assert pick.backend.record.name == freed.backend.record.name

    async def test_refusal_comes_with_a_time_to_return(self, network):
        _, others = network.rank()
        await fill(others[0])
        with pytest.raises(NoCapacity) as caught:
            await others[1].acquire(build_need(objective_s=0.1))
        assert 0.1 < caught.value.retry_after_s < 1.0

    async def test_client_that_disconnects_leaves_the_queue(self, network):
        """Guards against slots for requests whose callers have gone."""
        ranked, others = network.rank()
        picks = await fill(others[0])
        task = create_task(others[1].acquire(build_need(objective_s=2.0)))
        await sleep(0.05)
        task.cancel()
        await sleep(0.05)
        assert ranked[0].dispatch.dispatcher._waiting == {}
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        await sleep(0.05)
        assert ranked[0].count_in_flight() == 0

    async def test_client_that_disconnects_returns_its_grant(self, network):
        """Guards against a grant that arrives just after the client left."""
        ranked, others = network.rank()
        task = create_task(others[0].acquire())
        await sleep(0)
        task.cancel()
        await sleep(0.05)
        assert ranked[0].count_in_flight() == 0
        assert others[0].count_in_flight() == 0

    async def test_cancellation_that_overtakes_the_request_is_kept(
        self, network
    ):
        """Guards against a grant for a request that has ended."""
        ranked, others = network.rank()
        network.drop.add(REQUEST_MARK)
        task = create_task(others[0].acquire())
        await sleep(0)
        task.cancel()
        await sleep(0.05)
        assert network.count(RELEASE_MARK) == 1
        sender, request, _ = network.sent[0]
        dispatcher = ranked[0].dispatch.dispatcher
        dispatcher.receive_request(request, sender)
        await sleep(0.05)
        assert dispatcher.granted == 0
        assert ranked[0].count_in_flight() == 0


class TestOwnChecks:
    async def test_upstream_that_this_instance_may_not_use_is_replaced(
        self, network
    ):
        ranked, others = network.rank()
        refused = (await others[0].acquire()).backend.record.name
        others[1].selection.find_backend(refused).is_usable = False
        pick = await others[1].acquire()
        assert pick.backend.record.name != refused
        await sleep(0.01)
        assert ranked[0].count_in_flight() == 2

    async def test_cold_upstream_is_granted_only_to_those_that_may_send(
        self, network
    ):
        """Guards against a cold upstream's rate that nobody may use.

        Only few instances may send to it, and rarely the dispatcher.
        """
        ranked, others = network.rank()
        may, may_not = others[0], others[1]
        for node in network.nodes.values():
            name = node.digest.name
            node.selection.apply_fleet_state(
                {}, SlowStartPlan(name, {"a": (may.digest.name,)})
            )
            for backend in node.selection._backends:
                backend.load.mark_cold(
                    read_monotonic(),
                    read_monotonic() + 9.0,
                    ColdReason.REGISTRATION,
                )
        assert (await may.acquire()).backend.region == "a"
        with pytest.raises(NoCapacity):
            await may_not.acquire(build_need(objective_s=0.05))
        assert ranked[0].count_in_flight() == 1

    async def test_restarted_cold_upstream_keeps_to_its_rate(self, network):
        """Guards against floods when only the sender knows the restart."""
        _, others = network.rank()
        rate = 24
        for backend in others[0].selection._backends:
            backend.load.mark_cold(
                read_monotonic(),
                read_monotonic() + 9.0,
                ColdReason.REGISTRATION,
            )
        sent = []
        for _ in range(40):
            try:
                pick = await others[0].acquire(build_need(objective_s=0.02))
            except NoCapacity:
                break
            sent.append(pick.backend.record.name)
            others[0].dispatch.finish(pick, build_result())
        assert len(sent) > rate
        assert max(sent.count(name) for name in sent) <= rate
