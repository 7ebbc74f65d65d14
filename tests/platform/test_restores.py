"""Processes whose store is restored from an older copy."""

from asyncio import sleep
from signal import SIGKILL

import pytest

from gypsummount._common.clocks import read_monotonic
from tests.platform.conftest import KEY
from tests.platform.doubles import build_config

READER = 1
FOLLOWER = 3
LATE = 5
NEW_KEY = "key-after-the-withdrawal"
OUTAGE_S = 0.5
APPLY_TIMEOUT_S = 5.0
# Longer than any proof from before the restore may be used.
PROOF_SPAN_S = 5.0


@pytest.fixture
async def fleet(deployment):
    """Start a reader of the store and its follower; withdraw a key."""
    store = deployment.store
    store.era = 1
    for number in (READER, FOLLOWER):
        deployment.start(number)
    await deployment.wait_ready(READER, FOLLOWER)
    await sleep(1.0)
    copy = store.copy()
    store.put("config", "main", build_config(4, [NEW_KEY]))
    store.put("evacuations", "z2", {})
    for number in (READER, FOLLOWER):
        await wait_for_status(deployment, number, NEW_KEY, 200)
    await sleep(1.0)
    store.is_down = True
    await sleep(OUTAGE_S)
    store.restore(copy)
    store.is_down = False
    return deployment


async def get_status(deployment, number, key):
    answer = await deployment.call(number, "GET", "/read/x", key=key)
    return answer.status


async def wait_for_status(deployment, number, key, status):
    ends_at = read_monotonic() + APPLY_TIMEOUT_S
    while await get_status(deployment, number, key) != status:
        assert read_monotonic() < ends_at, deployment.read_log(number)
        await sleep(0.05)


async def read_gauges(deployment, number):
    """Return the metrics without labels of an instance."""
    answer = await deployment.call(
        number, "GET", "/metrics", port=deployment.ports.metrics
    )
    lines = [line.split() for line in answer.body.decode().splitlines()]
    return {line[0]: float(line[1]) for line in lines if len(line) == 2}


class TestRestore:
    async def test_withdrawn_key_and_evacuation_hold(self, fleet):
        """Guards against a withdrawn key that the copy brings back.

        It stays refused where it was known, at an instance that is
        restarted and reads the store, and at a new one.
        """
        fleet.processes[READER].send_signal(SIGKILL)
        fleet.processes[READER].wait()
        fleet.start(READER)
        fleet.start(LATE)
        await fleet.wait_ready(READER, LATE)
        ends_at = read_monotonic() + PROOF_SPAN_S
        while read_monotonic() < ends_at:
            for number in (READER, FOLLOWER, LATE):
                status = await get_status(fleet, number, KEY)
                assert status != 200, fleet.read_log(number)
            await sleep(0.05)
        # No proof can be younger than the restore.
        for number in (READER, FOLLOWER, LATE):
            assert await get_status(fleet, number, NEW_KEY) == 503
            gauges = await read_gauges(fleet, number)
            assert gauges["gypsummount_configuration_withheld"] == 1
            assert gauges["gypsummount_store_era"] == 2
        gauges = await read_gauges(fleet, FOLLOWER)
        assert gauges["gypsummount_store_restores"] == 1
        assert gauges["gypsummount_restore_records_kept"] >= 1
        fleet.store.put("config", "main", build_config(4, [NEW_KEY]))
        for number in (READER, FOLLOWER, LATE):
            await wait_for_status(fleet, number, NEW_KEY, 200)
            assert await get_status(fleet, number, KEY) == 401
        registered = fleet.store.objects["instances"]
        assert {"n1", "n3", "n5"} <= registered.keys()
