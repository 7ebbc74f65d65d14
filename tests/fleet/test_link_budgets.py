"""Link budgets between regions under more load than the links allow."""

from asyncio import gather
from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.totals import LINK_BURST_S
from gypsummount._load.caller import Call
from tests.fleet.cuts import start_partitionable_fleet

WORKSPACE = "valle-grande"
BODY_BYTES = 2000
LINK_BYTES_PER_S = 50_000
# The bodies are what the test counts as forwarded bytes.
GET_RONDAS = Call("rondas", "GET", "/rondas/hoy", b"p" * BODY_BYTES, retries=0)
LOAD_S = 5.0
CONCURRENT_CALLS = 16
DRAIN_TIMEOUT_S = 5.0


def lower_links_and_raise_rate(text):
    """Lower the link rates and raise one workspace's rate above them.

    Both replaced texts are those of the demo's rules.
    """
    gbits = LINK_BYTES_PER_S * 8 / 1e9
    text = text.replace("gbits=4", f"gbits={gbits:g}")
    return text.replace("rate=15 burst=30", "rate=80 burst=160")


@fixture
async def narrow_fleet(monkeypatch):
    """A fleet whose links have less bandwidth than the load needs."""
    async with AsyncExitStack() as stack:
        yield await start_partitionable_fleet(
            stack, monkeypatch, lower_links_and_raise_rate
        )


class TestLinkBudget:
    async def test_forwarded_bytes_stay_within_the_link(self, narrow_fleet):
        key, _ = await narrow_fleet.grant(WORKSPACE)
        await self.drain_servers_outside_central(narrow_fleet)
        # All servers in use are in central, so that requests to guanacaste
        # are forwarded over the link between the two regions.
        senders = [
            instance
            for instance in narrow_fleet.fleet.instances
            if instance.domain.startswith("guanacaste")
        ]
        began = read_monotonic()
        before = narrow_fleet.count_runs(WORKSPACE)

        async def overload(instance):
            while read_monotonic() - began < LOAD_S:
                await gather(
                    *(
                        narrow_fleet.call(instance, key, GET_RONDAS)
                        for _ in range(CONCURRENT_CALLS)
                    )
                )

        await gather(*(overload(instance) for instance in senders))
        elapsed_s = read_monotonic() - began
        sent_bytes = (narrow_fleet.count_runs(WORKSPACE) - before) * BODY_BYTES
        assert 0 < sent_bytes <= LINK_BYTES_PER_S * (elapsed_s + LINK_BURST_S)

    async def drain_servers_outside_central(self, narrow_fleet):
        rules = narrow_fleet.fleet.instances[0].agent.state.rules
        drained = [
            server
            for pool in rules.pools.values()
            if pool.service == GET_RONDAS.service
            and not pool.domain.startswith("central")
            for server in pool.servers
        ]
        for server in drained:
            await narrow_fleet.operations.drain(server, restore=False)
        await narrow_fleet.wait_for(
            lambda: all(
                set(drained) <= instance.entry.snapshot.draining
                for instance in narrow_fleet.fleet.instances
            ),
            DRAIN_TIMEOUT_S,
        )
