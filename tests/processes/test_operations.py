"""Operators' commands against a fleet of real processes."""

from asyncio import sleep

import pytest

from gypsummount._cli.client import AdminClient
from gypsummount._cli.client import AdminRefused
from gypsummount._cli.client import AdminUnreachable
from gypsummount._load.caller import Call

ROUNDS = Call("rondas", "GET", "/rondas/hoy")
NO_NEW_WORK_S = 3.0


class TestOperations:
    async def test_every_command_is_carried_out_or_refused(self, cluster):
        await self.check_drain(cluster)
        await self.check_rollout(cluster)
        await self.check_explanation(cluster)
        await self.check_refusals(cluster)

    async def check_drain(self, cluster):
        key = await cluster.grant("tarrazu")
        caller = cluster.create_caller(key)
        server = next(
            word.removeprefix("servers=")
            for word in cluster.rules.read_text().split()
            if word.startswith("servers=")
        )
        drained = await cluster.admin.drain(server, restore=False)
        assert drained["state"] == "leaving"
        await sleep(NO_NEW_WORK_S)
        before = await self.count_runs(cluster, server)
        for _ in range(20):
            await caller.call(ROUNDS)
        assert await self.count_runs(cluster, server) == before
        restored = await cluster.admin.drain(server, restore=True)
        assert restored["state"] == "serving"

    async def count_runs(self, cluster, server):
        runs = await cluster.read_runs()
        return sum(run["server"] == server for run in runs)

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
        told = await cluster.admin.explain("GET", "/rondas/x", "tarrazu")
        assert told["service"] == "rondas"
        assert told["entries"]
        assert told["workspace"]["rate"] == 12.0
        told = await cluster.admin.explain("GET", "/none", "tarrazu")
        assert told["route"] is None

    async def check_refusals(self, cluster):
        with pytest.raises(AdminRefused, match="add a workspace rule"):
            await cluster.admin.grant_key("none", "tests", 0)
        with pytest.raises(AdminRefused, match="gypsummount status"):
            await cluster.admin.drain("127.0.0.1:1", restore=False)
        stranger = AdminClient((cluster.instances[0].admin_listen,), "wrong")
        with pytest.raises(AdminRefused, match="operator's token"):
            await stranger.read_status()
        stranger.close()
        await cluster.switch_store(outage=True)
        with pytest.raises((AdminUnreachable, AdminRefused), match="store"):
            await cluster.admin.grant_key("dota", "tests", 0)
