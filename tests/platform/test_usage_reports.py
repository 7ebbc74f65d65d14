"""Usage reports of real processes, with doubles of store and endpoint."""

from asyncio import create_task
from asyncio import sleep
from json import loads

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.clocks import read_wall
from gypsummount._core.usage_reports import DISCOVERY_S
from gypsummount.platform.usage_calls import encode_usage
from tests.platform.duty_double import DutyDouble
from tests.platform.duty_double import serve_duties

# The default window (s), and the time after it in which a report is due.
WINDOW_S = 5.0
DUE_S = 10.0
# Slow machines answer the last call a little later.
LIMIT_S = DUE_S + 1.0
FLEET = (1, 2, 3, 4)
BURST = 8


class UsageFleet:
    """Four instances with the duty ``usage``."""

    def __init__(self, deployment, double):
        self.deployment = deployment
        self.double = double

    def read_reports(self):
        """Return the counts of each window; no window has two reports."""
        reports = {}
        for call in self.double.executed:
            body = loads(call.body)
            known = reports.setdefault(body["window"], body["counts"])
            assert known == body["counts"], f"window {body['window']}"
        return reports

    def count_runs(self):
        return sum(
            len(server.runs) for server in self.deployment.servers.values()
        )

    async def wait_for_window(self):
        """Wait until a window has just begun; return it."""
        while not 0.2 < read_wall() % WINDOW_S < 1.0:
            await sleep(0.05)
        return int(read_wall() // WINDOW_S)

    async def send(self, numbers):
        """Send requests through instances; return how many were run."""
        before = self.count_runs()
        for index in range(BURST):
            for number in numbers:
                await self.deployment.call(
                    number, "GET", "/read/x", request_id=f"{number}-{index}"
                )
        return self.count_runs() - before

    async def wait_for_report(self, window):
        """Return the counts of a window, which must come in time."""
        ends_at = (window + 1) * WINDOW_S + LIMIT_S
        while read_wall() < ends_at:
            reports = self.read_reports()
            if window in reports:
                return reports[window]
            await sleep(0.1)
        logs = [self.deployment.read_log(number) for number in FLEET]
        raise AssertionError("\n".join(logs))

    async def wait_for_holder(self):
        """Return the number of the instance that reports."""
        ends_at = read_monotonic() + WINDOW_S + LIMIT_S
        while not self.double.executed:
            await sleep(0.1)
            assert read_monotonic() < ends_at
        return int(self.double.executed[-1].holder.removeprefix("n"))


@pytest.fixture
async def fleet(deployment):
    double = DutyDouble()
    deployment.cloud = {
        "address": serve_duties(deployment.stack, double),
        "requestsPerS": 50.0,
        "duties": ["usage"],
        "dutyPerS": 50.0,
    }
    for number in FLEET:
        deployment.start(number)
    await deployment.wait_ready(*FLEET)
    created = UsageFleet(deployment, double)
    created.holder = await created.wait_for_holder()
    # A holder misses windows that began before it knew all instances.
    await sleep(DISCOVERY_S)
    yield created
    created.read_reports()


class TestReports:
    async def test_requests_of_all_instances_are_reported(self, fleet):
        """Guards against refusals that count, and counts that get lost."""
        window = await fleet.wait_for_window()
        runs = await fleet.send(FLEET)
        fleet.deployment.servers["i-1"].behaviour = "full"
        runs += await fleet.send((1, 2))
        assert int(read_wall() // WINDOW_S) == window
        assert runs >= BURST * len(FLEET)
        assert await fleet.wait_for_report(window) == {"w": runs}

    async def test_killed_holder_s_window_is_reported_once(self, fleet):
        """Guards against a window lost, or changed, with its holder."""
        window = await fleet.wait_for_window()
        others = [number for number in FLEET if number != fleet.holder]
        runs = await fleet.send(others)
        # The responses are lost, but the calls are executed.
        fleet.double.behaviour = "lost"
        await sleep(1.5)
        fleet.deployment.processes[fleet.holder].kill()
        await sleep(1.0)
        fleet.double.behaviour = "good"
        assert await fleet.wait_for_report(window) == {"w": runs}
        assert fleet.double.list_holders()[-1] != f"n{fleet.holder}"

    async def test_lost_response_is_repeated_exactly(self, fleet):
        """Guards against a second report with counts that came later."""
        fleet.double.behaviour = "lost"
        window = await fleet.wait_for_window()
        runs = await fleet.send(FLEET)
        assert await fleet.wait_for_report(window) == {"w": runs}
        await sleep(2.5)
        bodies = [loads(call.body) for call in fleet.double.executed]
        repeats = [body for body in bodies if body["window"] == window]
        assert len(repeats) >= 2
        fleet.read_reports()


class TestStops:
    @pytest.mark.parametrize("is_holder", [False, True])
    async def test_planned_stop_loses_no_counts(self, fleet, is_holder):
        """Guards against counts of the last second that nobody gets."""
        others = [number for number in FLEET if number != fleet.holder]
        number = fleet.holder if is_holder else others[0]
        deployment = fleet.deployment
        first = await fleet.wait_for_window()
        before = fleet.count_runs()
        calls = create_task(
            deployment.call_until_stopped(deployment.open_pool(number), "id")
        )
        await sleep(0.3)
        process = deployment.processes[number]
        process.terminate()
        await calls
        while process.poll() is None:
            await sleep(0.05)
        last = int(read_wall() // WINDOW_S)
        runs = fleet.count_runs() - before
        assert runs > BURST
        counted = 0
        for window in range(first, last + 1):
            counts = await fleet.wait_for_report(window)
            counted += counts.get("w", 0)
        assert counted == runs


class TestWire:
    def test_body_of_a_call(self):
        """Guards against a body that the endpoint does not accept."""
        body = encode_usage(353445120, {"w": 412})
        assert loads(body) == {"window": 353445120, "counts": {"w": 412}}
