"""Link budgets between regions under more load than the links allow."""

from asyncio import gather
from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.totals import LINK_BURST_S
from gypsummount._load.caller import Call
from tests.fleet.cuts import start_cut_fleet

WORKSPACE = "valle-grande"
BODY_BYTES = 2000
LINK_BYTES_PER_S = 50_000
ROUNDS = Call("rondas", "GET", "/rondas/hoy", b"p" * BODY_BYTES, retries=0)
LOAD_S = 5.0
AT_ONCE = 16
IN_FORCE_S = 5.0


def narrow_links(text):
    """Lower the link rates and raise one workspace's rate above them."""
    gbits = LINK_BYTES_PER_S * 8 / 1e9
    text = text.replace("gbits=4", f"gbits={gbits:g}")
    return text.replace("rate=15 burst=30", "rate=80 burst=160")


@fixture
async def narrow(monkeypatch):
    """A fleet whose links have less bandwidth than the load needs."""
    async with AsyncExitStack() as stack:
        yield await start_cut_fleet(stack, monkeypatch, narrow_links)


class TestLinkBudget:
    async def test_forwarded_bytes_stay_within_the_link(self, narrow):
        key, _ = await narrow.grant(WORKSPACE)
        await self.leave_servers_in_central_only(narrow)
        inside = [
            one
            for one in narrow.fleet.instances
            if one.domain.startswith("guanacaste")
        ]
        began = read_monotonic()
        before = narrow.count_runs(WORKSPACE)

        async def overdrive(instance):
            while read_monotonic() - began < LOAD_S:
                await gather(
                    *(
                        narrow.call(instance, key, ROUNDS)
                        for _ in range(AT_ONCE)
                    )
                )

        await gather(*(overdrive(instance) for instance in inside))
        passed = read_monotonic() - began
        sent = (narrow.count_runs(WORKSPACE) - before) * BODY_BYTES
        assert 0 < sent <= LINK_BYTES_PER_S * (passed + LINK_BURST_S)

    async def leave_servers_in_central_only(self, narrow):
        rules = narrow.fleet.instances[0].agent.state.rules
        drained = [
            server
            for pool in rules.pools.values()
            if pool.service == ROUNDS.service
            and not pool.domain.startswith("central")
            for server in pool.servers
        ]
        for server in drained:
            await narrow.operations.drain(server, restore=False)
        await narrow.wait_for(
            lambda: all(
                set(drained) <= one.entry.snapshot.draining
                for one in narrow.fleet.instances
            ),
            IN_FORCE_S,
        )
