"""An instance registers again when a restored store lacks it."""

from asyncio import create_task
from asyncio import sleep
from random import Random

import pytest

from gypsummount._edge import registration
from gypsummount._edge.registration import Registration
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount.errors import StoreUnavailable
from tests.edge.test_restores import build_record
from tests.edge.test_restores import build_replica
from tests.edge.test_restores import list_kind

RECORD = InstanceRecord("n1", "10.0.0.1")
STEP_S = 0.02


class RegisteringFeed:
    """Counts registrations; the first ``failures`` of them fail."""

    def __init__(self, failures=0):
        self.era = 1
        self.failures = failures
        self.registrations = 0

    async def register(self, record):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("no answer")
        self.registrations += 1


@pytest.fixture
async def started(monkeypatch):
    """Yield a feed and a replica of a registered instance."""
    monkeypatch.setattr(registration, "CHECK_INTERVAL_S", STEP_S)
    monkeypatch.setattr(registration, "MAX_SPREAD_S", STEP_S)
    monkeypatch.setattr(registration, "REGISTER_RETRY_S", STEP_S)
    feed = RegisteringFeed(failures=1)
    replica = build_replica()
    list_own(replica, 1, 101, "10.0.0.1")
    task = create_task(Registration(feed, replica, RECORD, Random(1)).run())
    await sleep(5 * STEP_S)
    assert feed.registrations == 1
    yield feed, replica
    task.cancel()


def list_own(replica, era, revision, *hosts):
    records = [
        build_record(Kind.INSTANCE, "n1", era, revision, {"host": host})
        for host in hosts
    ]
    list_kind(replica, Kind.INSTANCE, era, revision, *records)


class TestRegistration:
    @pytest.mark.parametrize("hosts", [(), ("10.0.0.99",)])
    async def test_lost_record_is_written_again(self, started, hosts):
        """Guards against instances that others no longer find."""
        feed, replica = started
        list_own(replica, 2, 90, *hosts)
        feed.era = 2
        await sleep(10 * STEP_S)
        assert feed.registrations == 2

    async def test_record_in_the_copy_costs_no_write(self, started):
        feed, replica = started
        list_own(replica, 2, 90, "10.0.0.1")
        await sleep(10 * STEP_S)
        assert feed.registrations == 1

    async def test_same_era_costs_no_write(self, started):
        feed, replica = started
        list_own(replica, 1, 120)
        await sleep(10 * STEP_S)
        assert feed.registrations == 1
