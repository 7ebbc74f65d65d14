"""Only one instance of a region reads the store; others copy from it.

The instance that reads the store is called the reader, the others are
its followers.
"""

from asyncio import sleep
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP

import pytest

from gypsummount._common.clocks import read_monotonic
from tests.platform.conftest import KEY
from tests.platform.doubles import build_config

SETTLE_S = 2.0
MEASURE_S = 4.0
APPLY_TIMEOUT_S = 2.5
FIRST = 1
SECOND = 3
THIRD = 5


@pytest.fixture
async def region(deployment):
    """Start three instances of one region; the first reads the store."""
    numbers = (FIRST, SECOND, THIRD)
    for number in numbers:
        deployment.start(number)
    await deployment.wait_ready(*numbers)
    await sleep(SETTLE_S)
    return deployment


async def measure_delay(deployment, number, key):
    """Return the time (s) until an instance accepts a key."""
    began = read_monotonic()
    while (
        await deployment.call(number, "GET", "/read/x", key=key)
    ).status != 200:
        assert read_monotonic() - began < APPLY_TIMEOUT_S, deployment.read_log(
            number
        )
        await sleep(0.05)
    return read_monotonic() - began


class TestCalls:
    async def test_followers_add_no_calls_when_records_change(self, region):
        before = region.store.calls
        for version in range(4, 4 + int(MEASURE_S * 4)):
            region.store.put("config", "main", build_config(version, [KEY]))
            await sleep(0.25)
        changes = int(MEASURE_S * 4)
        freshness_proofs = MEASURE_S * 1.5
        other_watches = 6
        calls = region.store.calls - before
        assert calls <= changes + freshness_proofs + other_watches

    async def test_followers_get_each_change(self, region):
        region.store.put("config", "main", build_config(4, ["new"]))
        for number in (FIRST, SECOND, THIRD):
            await measure_delay(region, number, "new")


class TestLossOfTheReader:
    async def test_change_is_in_force_after_the_reader_was_killed(
        self, region
    ):
        region.processes[FIRST].send_signal(SIGKILL)
        region.store.put("config", "main", build_config(4, ["new"]))
        for number in (SECOND, THIRD):
            await measure_delay(region, number, "new")

    async def test_change_is_in_force_while_the_reader_is_frozen(self, region):
        region.processes[FIRST].send_signal(SIGSTOP)
        try:
            region.store.put("config", "main", build_config(4, ["new"]))
            for number in (SECOND, THIRD):
                await measure_delay(region, number, "new")
        finally:
            region.processes[FIRST].send_signal(SIGCONT)
        await measure_delay(region, FIRST, "new")

    async def test_change_is_in_force_when_the_store_returns(self, region):
        region.store.is_down = True
        await sleep(2.0)
        region.store.put("config", "main", build_config(4, ["new"]))
        region.store.is_down = False
        for number in (FIRST, SECOND, THIRD):
            await measure_delay(region, number, "new")
