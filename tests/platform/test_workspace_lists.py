"""Configurations whose list of workspaces is empty, null or missing."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep

import pytest

from tests.platform.conftest import KEY
from tests.platform.doubles import build_config

APPLY_S = 0.5
BUSY_S = 0.8
UNKNOWN_KEY = "never-granted"
FIRST = 1
SECOND = 3


def build_without_workspaces(version, **fields):
    """Return a configuration with ``tenants`` as given, or without it."""
    config = build_config(version, [])
    del config["tenants"]
    return {**config, **fields}


async def call_with_each_key(deployment, number):
    """Return the statuses with a withdrawn, an unknown and no key."""
    answers = await gather(
        *(
            deployment.call(number, "GET", "/read/x", key=key)
            for key in (KEY, UNKNOWN_KEY, None)
        )
    )
    return [answer.status for answer in answers]


def count_runs(deployment):
    return sum(len(server.runs) for server in deployment.servers.values())


@pytest.fixture
async def region(deployment):
    """Start two instances of one region; the second copies the first."""
    for number in (FIRST, SECOND):
        deployment.start(number)
    await deployment.wait_ready(FIRST, SECOND)
    return deployment


class TestNoWorkspaces:
    @pytest.mark.parametrize("workspaces", [[], None])
    async def test_routes_ask_for_a_key_that_nobody_holds(
        self, instance, workspaces
    ):
        """Guards against open routes once the last workspace is removed."""
        config = build_without_workspaces(4, tenants=workspaces)
        instance.store.put("config", "main", config)
        await sleep(APPLY_S)
        assert await call_with_each_key(instance, 1) == [401, 401, 401]
        assert count_runs(instance) == 0

    async def test_routes_ask_for_no_key_without_the_field(self, instance):
        instance.store.put("config", "main", build_without_workspaces(4))
        await sleep(APPLY_S)
        assert await call_with_each_key(instance, 1) == [200, 200, 200]
        for server in instance.servers.values():
            for headers in server.headers:
                assert "Gypsummount-Tenant-Name" not in headers

    async def test_public_route_asks_for_no_key(self, instance):
        config = build_without_workspaces(4, tenants=[])
        config["listeners"][0]["rules"][0]["public"] = True
        instance.store.put("config", "main", config)
        await sleep(APPLY_S)
        assert await call_with_each_key(instance, 1) == [200, 200, 200]

    async def test_workspace_that_is_added_again_is_served(self, instance):
        for version, tenants in ((4, []), (5, None)):
            config = build_without_workspaces(version, tenants=tenants)
            instance.store.put("config", "main", config)
        instance.store.put("config", "main", build_config(6, ["new"]))
        await sleep(APPLY_S)
        answer = await instance.call(1, "GET", "/read/x", key="new")
        assert answer.status == 200

    async def test_copies_from_a_peer_keep_the_difference(self, region):
        """Guards against followers that serve on without keys."""
        config = build_without_workspaces(4, tenants=[])
        region.store.put("config", "main", config)
        await sleep(APPLY_S)
        for number in (FIRST, SECOND):
            statuses = await call_with_each_key(region, number)
            assert statuses == [401, 401, 401]
        region.store.put("config", "main", build_without_workspaces(5))
        await sleep(APPLY_S)
        for number in (FIRST, SECOND):
            statuses = await call_with_each_key(region, number)
            assert statuses == [200, 200, 200]


class TestWaitingRequests:
    async def test_request_that_waits_is_not_sent_without_a_key(
        self, instance
    ):
        """Guards against requests that waited while all keys were withdrawn.

        Upstreams are busy with the first requests when the list of
        workspaces becomes empty.
        """
        for name, server in instance.servers.items():
            server.delay_s = BUSY_S
            record = instance.store.objects["servers"][name]["specification"]
            instance.store.put("servers", name, {**record, "slots": 1})
        config = build_without_workspaces(4)
        for rule in config["listeners"][0]["rules"]:
            rule["targetLatencyS"] = rule["action"]["timeoutS"] = 3 * BUSY_S
        instance.store.put("config", "main", config)
        await sleep(APPLY_S)
        calls = [
            create_task(
                instance.call(
                    1, "GET", "/read/x", key=None, request_id=f"id-{number}"
                )
            )
            for number in range(4)
        ]
        await sleep(BUSY_S / 4)
        ran = count_runs(instance)
        assert 0 < ran < len(calls)
        config = {**config, "version": 5, "tenants": []}
        instance.store.put("config", "main", config)
        statuses = [(await call).status for call in calls]
        assert statuses.count(200) == count_runs(instance) == ran
        assert statuses.count(401) == len(calls) - ran
