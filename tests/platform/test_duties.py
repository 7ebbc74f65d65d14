"""Duties of real processes, with test doubles of store and endpoint."""

from asyncio import sleep
from itertools import pairwise
from signal import SIGCONT
from signal import SIGSTOP
from signal import SIGTERM

import pytest

from gypsummount._common.clocks import read_monotonic
from tests.platform.duty_double import DutyDouble
from tests.platform.duty_double import serve_duties

LEASE_S = 3.0
# The design bound on the time without a holder, and time for slow machines.
TAKEOVER_S = 2 * LEASE_S + 1.5
# A candidate polls once a second.
HANDOVER_S = 2.0


class DutyFleet:
    """Three instances, of which one holds the duty."""

    def __init__(self, deployment, double):
        self.deployment = deployment
        self.double = double

    async def wait_for_holder(self, limit_s, *, other_than=""):
        """Return the number of the instance that calls, with new calls."""
        ends_at = read_monotonic() + limit_s
        known = len(self.double.executed)
        while read_monotonic() < ends_at:
            await sleep(0.05)
            calls = self.double.executed[known:]
            if calls and calls[-1].holder != other_than:
                return int(calls[-1].holder.removeprefix("n"))
        logs = [self.deployment.read_log(number) for number in (1, 2, 3)]
        raise AssertionError("\n".join(logs))

    def signal(self, number, signal):
        self.deployment.processes[number].send_signal(signal)

    def check_calls(self):
        """Check that calls came from one holder at a time."""
        calls = self.double.executed
        for before, after in pairwise(calls):
            if before.holder == after.holder:
                assert before.token <= after.token
            else:
                assert before.token < after.token
        holders = self.double.list_holders()
        assert len(holders) == len(set(holders)), holders
        assert not self.double.refused


@pytest.fixture
async def fleet(deployment):
    double = DutyDouble()
    deployment.program = "tests.platform.duty_program"
    deployment.cloud = {
        "address": serve_duties(deployment.stack, double),
        "requestsPerS": 50.0,
        "duties": ["usage"],
        "dutyPerS": 50.0,
    }
    for number in (1, 2, 3):
        deployment.start(number)
    created = DutyFleet(deployment, double)
    # The lease is taken only after the store was known for a lease.
    created.first = await created.wait_for_holder(15.0)
    # Candidates poll and know the era for a lease.
    await sleep(1.0)
    yield created
    created.check_calls()


class TestHolders:
    async def test_killed_holder_is_replaced(self, fleet):
        """Guards against a duty that nobody carries out after a loss."""
        fleet.deployment.processes[fleet.first].kill()
        await fleet.wait_for_holder(TAKEOVER_S, other_than=f"n{fleet.first}")

    async def test_stopped_holder_hands_over_at_once(self, fleet):
        """Guards against a wait for the expiry at a planned stop."""
        fleet.signal(fleet.first, SIGTERM)
        second = await fleet.wait_for_holder(
            HANDOVER_S, other_than=f"n{fleet.first}"
        )
        # The payload, a count, was handed over with the lease.
        bodies = [int(call.body) for call in fleet.double.executed]
        assert bodies == sorted(bodies)
        log = fleet.deployment.read_log(fleet.first)
        assert "Releases duty 'usage'" in log
        assert "Holds duty 'usage'" in fleet.deployment.read_log(second)

    async def test_suspended_holder_does_not_call_when_it_wakes(self, fleet):
        """Guards against calls with an old token after a freeze."""
        fleet.signal(fleet.first, SIGSTOP)
        await fleet.wait_for_holder(TAKEOVER_S, other_than=f"n{fleet.first}")
        fleet.signal(fleet.first, SIGCONT)
        await sleep(2.0)
        last = fleet.double.executed[-1].holder
        assert last != f"n{fleet.first}"
        assert "Lost duty" in fleet.deployment.read_log(fleet.first)


class TestNoDuty:
    async def test_without_cloud_no_lease_is_read_or_written(self, instance):
        """Guards against calls of deployments without duties."""
        await sleep(1.5)
        assert "leases" not in instance.store.objects
        assert "leases" not in instance.store.kinds_read
        assert "duty" not in instance.read_log(1)
