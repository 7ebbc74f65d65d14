"""Failure domains isolated from each other and from the platform."""

from asyncio import gather
from asyncio import sleep
from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from gypsummount._common.clocks import read_monotonic
from gypsummount._demo.rules import BURST_S
from gypsummount._demo.rules import WORKSPACE_RATES
from tests.fleet.cuts import start_cut_fleet

DOMAIN = "sur-a"
IN_FORCE_S = 5.0
OVERDRIVE_S = 6.0
WORKSPACE = "tarrazu"
RETRY_SHARE = 0.1
SAVED_RETRIES = 10
ENTRIES = 8
STALE_S = 8
WATCH_END_S = 5.5
PUSH_S = 1.0


def refuse_stale_keys(text):
    return text.replace(
        "stale_s=30 when_stale=serve", f"stale_s={STALE_S} when_stale=refuse"
    )


def shorten_rollouts(text):
    return text.replace("deadline_s=20", "deadline_s=8")


@fixture
async def whole(monkeypatch):
    """A fleet that accepts keys while withdrawals may be missed."""
    async with AsyncExitStack() as stack:
        yield await start_cut_fleet(stack, monkeypatch)


@fixture
async def strict(monkeypatch):
    """A fleet that refuses keyed routes while keys may be stale."""
    async with AsyncExitStack() as stack:
        yield await start_cut_fleet(stack, monkeypatch, refuse_stale_keys)


@fixture
async def brief(monkeypatch):
    """A fleet whose rollouts have a deadline of 8 s."""
    async with AsyncExitStack() as stack:
        yield await start_cut_fleet(stack, monkeypatch, shorten_rollouts)


class TestCutDomain:
    async def test_it_serves_on_and_catches_up_when_joined(self, whole):
        key, key_id = await whole.grant(WORKSPACE)
        inside = (await whole.cut(DOMAIN))[0]
        outside = whole.fleet.instances[0]
        serial = await whole.apply("workspace new rate=1 burst=1 # t\n", 1)
        await whole.operations.withdraw_key(key_id)
        keys = whole.operations._state.keys.serial
        others = [one for one in whole.fleet.instances if one.domain != DOMAIN]
        await whole.wait_for(
            lambda: all(
                one.entry.snapshot.config_serial == serial
                and one.entry.snapshot.keys.serial == keys
                for one in others
            ),
            IN_FORCE_S,
        )
        assert (await whole.call(outside, key)).code == "key_refused"
        assert (await whole.call(inside, key)).is_good
        assert inside.entry.snapshot.config_serial == 1
        await whole.heal()
        await whole.wait_for(
            lambda: (
                inside.entry.snapshot.config_serial == serial
                and inside.entry.snapshot.keys.serial == keys
            ),
            IN_FORCE_S,
        )
        assert (await whole.call(inside, key)).code == "key_refused"

    async def test_rate_holds_over_both_sides_of_the_cut(self, whole):
        key, _ = await whole.grant(WORKSPACE)
        inside = (await whole.cut(DOMAIN))[0]
        outside = whole.fleet.instances[0]
        began = read_monotonic()
        before = whole.count_runs(WORKSPACE)

        async def overdrive(instance):
            while read_monotonic() - began < OVERDRIVE_S:
                await gather(*(whole.call(instance, key) for _ in range(8)))
                await sleep(0.2)

        await gather(overdrive(inside), overdrive(outside))
        passed = read_monotonic() - began
        runs = whole.count_runs(WORKSPACE) - before
        rate = WORKSPACE_RATES[WORKSPACE]
        allowed = rate * (passed + BURST_S)
        repeats = RETRY_SHARE * allowed + SAVED_RETRIES * ENTRIES
        assert runs <= allowed + repeats
        assert runs > 0

    async def test_refusing_policy_stops_keyed_routes_inside(self, strict):
        key, _ = await strict.grant(WORKSPACE)
        inside = (await strict.cut(DOMAIN))[0]
        outside = strict.fleet.instances[0]
        # The watch that was open at the start of the partition has ended.
        await strict.wait_for(
            inside.agent.state.may_keys_be_stale, STALE_S + PUSH_S
        )
        await sleep(PUSH_S)
        assert (await strict.call(inside, key)).code == "key_stale"
        assert not outside.agent.state.may_keys_be_stale()
        assert (await strict.call(outside, key)).is_good
        await strict.heal()
        await strict.wait_for(
            lambda: not inside.agent.state.may_keys_be_stale(), IN_FORCE_S
        )
        await sleep(PUSH_S)
        assert (await strict.call(inside, key)).is_good

    async def test_store_outage_alone_makes_no_key_stale(self, strict):
        key, _ = await strict.grant(WORKSPACE)
        strict.fleet.store.switches.outage = True
        await sleep(STALE_S + WATCH_END_S)
        for instance in strict.fleet.instances:
            age = instance.agent.state.members.find_store_age(read_monotonic())
            assert age > STALE_S
            assert not instance.agent.state.may_keys_be_stale()
        assert (await strict.call(strict.fleet.instances[0], key)).is_good


class TestRolloutWithoutStore:
    async def test_move_ends_at_its_deadline_without_the_store(self, brief):
        """Entries return to the old version without an agent's order."""
        name = "rondas-v2"
        await brief.operations.start_rollout(name)
        await sleep(1.0)
        brief.fleet.store.switches.outage = True
        rules = brief.fleet.instances[0].agent.state.rules
        plan = rules.rollouts[name]
        route = rules.routes["/rondas"]
        await sleep(plan.deadline_s + 1.0)
        for instance in brief.fleet.instances:
            versions = instance.entry.versions
            chosen = {
                versions.choose(route, read_monotonic()).version
                for _ in range(50)
            }
            assert chosen == {plan.old}
        brief.fleet.store.switches.outage = False
        watches = brief.operations._state.rollouts.by_name
        await brief.wait_for(
            lambda: watches[name].state.phase == "taken-back", 15.0
        )


class TestForwarding:
    async def test_domain_without_upstreams_is_served_by_others(self, whole):
        """The serving upstreams stay within their slots and headroom."""
        key, _ = await whole.grant(WORKSPACE)
        instance = whole.list_domain("guanacaste-a")[0]
        rules = instance.agent.state.rules
        own = rules.pools["rondas/guanacaste-a/v1"].servers[0]
        await whole.operations.drain(own, restore=False)
        await whole.wait_for(
            lambda: own in instance.entry.snapshot.draining, IN_FORCE_S
        )
        for upstream in whole.fleet.upstreams:
            upstream.switches.latency_s = 0.1
            upstream.most_in_flight = 0
        before = {one.server: len(one.runs) for one in whole.fleet.upstreams}
        results = await gather(*(whole.call(instance, key) for _ in range(16)))
        assert [one.code for one in results if not one.is_good] == []
        headroom = rules.services["rondas"].headroom
        for upstream in whole.fleet.upstreams:
            if upstream.server == own:
                assert len(upstream.runs) == before[own]
            allowed = int(upstream.slots * headroom) + 1
            assert upstream.most_in_flight <= allowed
