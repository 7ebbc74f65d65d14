"""Operators' commands, carried out by a fleet of real processes."""

from asyncio import sleep
from collections import Counter

import pytest

from gypsummount._cli.client import AdminClient
from gypsummount._cli.client import AdminRefused
from gypsummount._cli.client import AdminUnreachable
from gypsummount._common.clocks import read_monotonic
from gypsummount._load.caller import Call
from tests.processes.load import SHARE_FILL_S

GET_RONDAS = Call("rondas", "GET", "/rondas/hoy")
DRAIN_TIMEOUT_S = 3.0
CALL_COUNT = 20


async def find_busiest_server(cluster, caller):
    """Return the server that gets most of the caller's requests."""
    since = read_monotonic()
    await send_calls(caller)
    counts = Counter(
        run["server"]
        for run in await cluster.read_runs()
        if run["at"] >= since
    )
    return counts.most_common(1)[0][0]


async def send_calls(caller):
    results = [await caller.call(GET_RONDAS) for _ in range(CALL_COUNT)]
    assert [result.code for result in results] == [""] * CALL_COUNT


async def count_runs(cluster, server):
    runs = await cluster.read_runs()
    return sum(run["server"] == server for run in runs)


async def check_gets_no_requests(cluster, caller, server):
    """Check that the server gets no requests after DRAIN_TIMEOUT_S."""
    await sleep(DRAIN_TIMEOUT_S)
    before = await count_runs(cluster, server)
    await send_calls(caller)
    assert await count_runs(cluster, server) == before


async def check_gets_requests_again(cluster, caller, server):
    before = await count_runs(cluster, server)
    await sleep(DRAIN_TIMEOUT_S)
    await send_calls(caller)
    assert await count_runs(cluster, server) > before


class TestOperations:
    async def test_every_command_is_carried_out_or_refused(self, cluster):
        await self.check_drain(cluster)
        await self.check_published_as_leaving(cluster)
        await self.check_rollout(cluster)
        await self.check_explanation(cluster)
        await self.check_refusals(cluster)

    async def check_drain(self, cluster):
        caller = cluster.create_caller(await cluster.grant("tarrazu"))
        await sleep(SHARE_FILL_S)
        server = await find_busiest_server(cluster, caller)
        drained = await cluster.admin.drain(server, restore=False)
        assert drained["state"] == "leaving"
        await check_gets_no_requests(cluster, caller, server)
        restored = await cluster.admin.drain(server, restore=True)
        assert restored["state"] == "serving"
        await check_gets_requests_again(cluster, caller, server)

    async def check_published_as_leaving(self, cluster):
        caller = cluster.create_caller(await cluster.grant("tarrazu"))
        server = await find_busiest_server(cluster, caller)
        await cluster.publish_upstream(server, "leaving")
        await check_gets_no_requests(cluster, caller, server)
        await cluster.publish_upstream(server, "live")
        await check_gets_requests_again(cluster, caller, server)

    async def check_rollout(self, cluster):
        started = await cluster.admin.change_rollout("rondas-v2", "start")
        assert started["phase"] == "moving"
        with pytest.raises(AdminRefused, match="look at its state"):
            await cluster.admin.change_rollout("rondas-v2", "start")
        back = await cluster.admin.change_rollout("rondas-v2", "back")
        assert back["phase"] == "taken-back"
        with pytest.raises(AdminRefused, match="add a rollout rule"):
            await cluster.admin.change_rollout("none", "start")

    async def check_explanation(self, cluster):
        explanation = await cluster.admin.explain(
            "GET", "/rondas/x", "tarrazu"
        )
        assert explanation["service"] == "rondas"
        assert explanation["entries"]
        assert explanation["workspace"]["rate"] == 12.0
        explanation = await cluster.admin.explain("GET", "/none", "tarrazu")
        assert explanation["route"] is None

    async def check_refusals(self, cluster):
        with pytest.raises(AdminRefused, match="add a workspace rule"):
            await cluster.admin.grant_key("none", "tests", 0)
        with pytest.raises(AdminRefused, match="gypsummount status"):
            await cluster.admin.drain("127.0.0.1:1", restore=False)
        unauthorized = AdminClient(
            (cluster.instances[0].admin_listen,), "wrong"
        )
        with pytest.raises(AdminRefused, match="operator's token"):
            await unauthorized.read_status()
        unauthorized.close()
        await cluster.switch_store(outage=True)
        with pytest.raises((AdminUnreachable, AdminRefused), match="store"):
            await cluster.admin.grant_key("dota", "tests", 0)
