"""Failure domains isolated from each other and from the platform."""

from asyncio import gather
from asyncio import sleep
from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from gypsummount._common.clocks import read_monotonic
from gypsummount._demo.rules import BURST_S
from gypsummount._demo.rules import WORKSPACE_RATES
from tests.fleet.cuts import start_partitionable_fleet

DOMAIN = "sur-a"
CONFIG_TIMEOUT_S = 5.0
OVERLOAD_S = 6.0
WORKSPACE = "tarrazu"
RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10
ENTRIES = 8
STALE_S = 8
MAX_WATCH_S = 5.5
UPDATE_DELAY_S = 1.0


def refuse_stale_keys(text):
    return text.replace(
        "stale_s=30 when_stale=serve", f"stale_s={STALE_S} when_stale=refuse"
    )


def shorten_rollouts(text):
    return text.replace("deadline_s=20", "deadline_s=8")


@fixture
async def lenient_fleet(monkeypatch):
    """A fleet that accepts keys while withdrawals may be missed."""
    async with AsyncExitStack() as stack:
        yield await start_partitionable_fleet(stack, monkeypatch)


@fixture
async def strict_fleet(monkeypatch):
    """A fleet that refuses keyed routes while keys may be stale."""
    async with AsyncExitStack() as stack:
        yield await start_partitionable_fleet(
            stack, monkeypatch, refuse_stale_keys
        )


@fixture
async def short_rollout_fleet(monkeypatch):
    """A fleet whose rollouts have a deadline of 8 s."""
    async with AsyncExitStack() as stack:
        yield await start_partitionable_fleet(
            stack, monkeypatch, shorten_rollouts
        )


class TestCutDomain:
    async def test_it_serves_on_and_catches_up_when_joined(
        self, lenient_fleet
    ):
        key, key_id = await lenient_fleet.grant(WORKSPACE)
        isolated = (await lenient_fleet.isolate(DOMAIN))[0]
        connected = lenient_fleet.fleet.instances[0]
        serial = await lenient_fleet.apply(
            "workspace new rate=1 burst=1 # t\n", 1
        )
        await lenient_fleet.operations.withdraw_key(key_id)
        keys_serial = lenient_fleet.operations._state.keys.serial
        others = [
            instance
            for instance in lenient_fleet.fleet.instances
            if instance.domain != DOMAIN
        ]
        await lenient_fleet.wait_for(
            lambda: all(
                other.entry.snapshot.config_serial == serial
                and other.entry.snapshot.keys.serial == keys_serial
                for other in others
            ),
            CONFIG_TIMEOUT_S,
        )
        assert (await lenient_fleet.call(connected, key)).code == "key_refused"
        assert (await lenient_fleet.call(isolated, key)).is_good
        assert isolated.entry.snapshot.config_serial == 1
        await lenient_fleet.reconnect()
        await lenient_fleet.wait_for(
            lambda: (
                isolated.entry.snapshot.config_serial == serial
                and isolated.entry.snapshot.keys.serial == keys_serial
            ),
            CONFIG_TIMEOUT_S,
        )
        assert (await lenient_fleet.call(isolated, key)).code == "key_refused"

    async def test_rate_holds_over_both_sides_of_the_cut(self, lenient_fleet):
        key, _ = await lenient_fleet.grant(WORKSPACE)
        isolated = (await lenient_fleet.isolate(DOMAIN))[0]
        connected = lenient_fleet.fleet.instances[0]
        began = read_monotonic()
        before = lenient_fleet.count_runs(WORKSPACE)

        async def overload(instance):
            while read_monotonic() - began < OVERLOAD_S:
                await gather(
                    *(lenient_fleet.call(instance, key) for _ in range(8))
                )
                await sleep(0.2)

        await gather(overload(isolated), overload(connected))
        elapsed_s = read_monotonic() - began
        runs = lenient_fleet.count_runs(WORKSPACE) - before
        rate = WORKSPACE_RATES[WORKSPACE]
        allowed = rate * (elapsed_s + BURST_S)
        allowed_retries = RETRY_SHARE * allowed + MAX_SAVED_RETRIES * ENTRIES
        assert runs <= allowed + allowed_retries
        assert runs > 0

    async def test_refusing_policy_stops_keyed_routes_inside(
        self, strict_fleet
    ):
        key, _ = await strict_fleet.grant(WORKSPACE)
        isolated = (await strict_fleet.isolate(DOMAIN))[0]
        connected = strict_fleet.fleet.instances[0]
        # The watch that was open at the start of the partition has ended.
        await strict_fleet.wait_for(
            isolated.agent.state.may_keys_be_stale, STALE_S + UPDATE_DELAY_S
        )
        await sleep(UPDATE_DELAY_S)
        assert (await strict_fleet.call(isolated, key)).code == "key_stale"
        assert not connected.agent.state.may_keys_be_stale()
        assert (await strict_fleet.call(connected, key)).is_good
        await strict_fleet.reconnect()
        await strict_fleet.wait_for(
            lambda: not isolated.agent.state.may_keys_be_stale(),
            CONFIG_TIMEOUT_S,
        )
        await sleep(UPDATE_DELAY_S)
        assert (await strict_fleet.call(isolated, key)).is_good

    async def test_store_outage_alone_makes_no_key_stale(self, strict_fleet):
        key, _ = await strict_fleet.grant(WORKSPACE)
        strict_fleet.fleet.store.switches.outage = True
        await sleep(STALE_S + MAX_WATCH_S)
        for instance in strict_fleet.fleet.instances:
            age = instance.agent.state.members.get_store_age(read_monotonic())
            assert age > STALE_S
            assert not instance.agent.state.may_keys_be_stale()
        assert (
            await strict_fleet.call(strict_fleet.fleet.instances[0], key)
        ).is_good


class TestRolloutWithoutStore:
    async def test_move_ends_at_its_deadline_without_the_store(
        self, short_rollout_fleet
    ):
        """Entries return to the old version without an agent's order."""
        name = "rondas-v2"
        await short_rollout_fleet.operations.start_rollout(name)
        await sleep(1.0)
        short_rollout_fleet.fleet.store.switches.outage = True
        rules = short_rollout_fleet.fleet.instances[0].agent.state.rules
        plan = rules.rollouts[name]
        route = rules.routes["/rondas"]
        await sleep(plan.deadline_s + 1.0)
        for instance in short_rollout_fleet.fleet.instances:
            versions = instance.entry.versions
            chosen = {
                versions.choose(route, read_monotonic()).version
                for _ in range(50)
            }
            assert chosen == {plan.old}
        short_rollout_fleet.fleet.store.switches.outage = False
        watches = short_rollout_fleet.operations._state.rollouts.by_name
        await short_rollout_fleet.wait_for(
            lambda: watches[name].state.phase == "taken-back", 15.0
        )


class TestForwarding:
    async def test_domain_without_upstreams_is_served_by_others(
        self, lenient_fleet
    ):
        """The serving upstreams stay within their slots and headroom."""
        key, _ = await lenient_fleet.grant(WORKSPACE)
        instance = lenient_fleet.list_instances_of_domain("guanacaste-a")[0]
        rules = instance.agent.state.rules
        own_server = rules.pools["rondas/guanacaste-a/v1"].servers[0]
        await lenient_fleet.operations.drain(own_server, restore=False)
        await lenient_fleet.wait_for(
            lambda: own_server in instance.entry.snapshot.draining,
            CONFIG_TIMEOUT_S,
        )
        for upstream in lenient_fleet.fleet.upstreams:
            upstream.switches.latency_s = 0.1
            upstream.max_in_flight = 0
        before = {
            upstream.server: len(upstream.runs)
            for upstream in lenient_fleet.fleet.upstreams
        }
        results = await gather(
            *(lenient_fleet.call(instance, key) for _ in range(16))
        )
        assert [result.code for result in results if not result.is_good] == []
        headroom = rules.services["rondas"].headroom
        for upstream in lenient_fleet.fleet.upstreams:
            if upstream.server == own_server:
                assert len(upstream.runs) == before[own_server]
            allowed = int(upstream.slots * headroom) + 1
            assert upstream.max_in_flight <= allowed
