"""Requests from callers to upstreams through separate processes."""

from asyncio import gather
from asyncio import sleep
from collections import Counter

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.keys import KEY_PATTERN
from gypsummount._load.caller import Call

GET_RONDAS = Call("rondas", "GET", "/rondas/hoy")
POST_RESERVAS = Call(
    "reservas", "POST", "/reservas", b"plot 7", repeatable=False
)
KEY_CHANGE_TIMEOUT_S = 5.0


class TestEndToEnd:
    async def test_requests_of_all_kinds_are_served(self, cluster):
        key = await cluster.grant("tarrazu")
        caller = cluster.create_caller(key)
        # Rate shares start empty and fill at their rate.
        await sleep(2.0)
        for _ in range(10):
            assert (await caller.call(GET_RONDAS)).is_good
        results = await gather(*(caller.call(POST_RESERVAS) for _ in range(5)))
        assert all(result.is_good for result in results)
        await self.check_single_runs(cluster)
        await self.check_withdrawal(cluster)
        await self.check_no_key_leaks(cluster)

    async def check_single_runs(self, cluster):
        runs = await cluster.read_runs()
        keys = [run["idempotency_key"] for run in runs]
        counts = Counter(key for key in keys if key)
        assert len(counts) == 5
        assert max(counts.values()) == 1

    async def check_withdrawal(self, cluster):
        granted = await cluster.admin.grant_key("dota", "tests", 0)
        caller = cluster.create_caller(str(granted["key"]))
        deadline = read_monotonic() + KEY_CHANGE_TIMEOUT_S
        while not (await caller.call(GET_RONDAS)).is_good:
            assert read_monotonic() < deadline
            await sleep(0.1)
        await cluster.admin.withdraw_key(str(granted["key_id"]))
        deadline = read_monotonic() + KEY_CHANGE_TIMEOUT_S
        while (await caller.call(GET_RONDAS)).code != "key_refused":
            assert read_monotonic() < deadline
            await sleep(0.1)

    async def check_no_key_leaks(self, cluster):
        """No API key appears in logs, admin answers, headers or the store."""
        pages = [
            cluster.programs.read_output(),
            str(await cluster.admin.read_status()),
            str(await cluster.admin.read_metrics()),
            str(await cluster.admin.list_keys()),
            str(
                await cluster.fetch(
                    cluster.upstream_control_address, "/headers"
                )
            ),
        ]
        names = await cluster.fetch(cluster.store, "/objects/?prefix=")
        for name in names:
            pages.append(
                str(await cluster.fetch(cluster.store, f"/objects/{name}"))
            )
        for page in pages:
            assert not KEY_PATTERN.search(page)
