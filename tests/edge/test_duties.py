"""Duties of one instance: announcements, ranks, payloads and calls."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import timeout
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.metrics import Metrics
from gypsummount._core.readers import Contact
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import compress_json
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import encode_state
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING
from gypsummount._edge.duties import Duties
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.store_feed import LeaseReading
from gypsummount.errors import RecordInvalid
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable
from tests.edge.instances import create_settings
from tests.edge.test_peers import build_digest

DUTIES = DutySettings("127.0.0.1:1", ("usage",), lease_s=1.0)


class FakeStore:
    """The record of one lease; ``is_down`` fails all calls."""

    def __init__(self):
        self.era = 0
        self.record = None
        self.calls = 0
        self.is_down = False

    async def read_lease(self, duty):
        self._check()
        return LeaseReading(self.record, self.era)

    async def write_lease(self, record):
        self._check()
        revision = self.record.revision if self.record is not None else 0
        if record.revision != revision:
            raise StoreConflict("changed")
        self.record = replace(record, revision=revision + 1)
        return self.record

    def _check(self):
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable("down")


class FakeFeed(DutyFeed):
    """Records the calls; ``outcome`` is that of all calls."""

    def __init__(self):
        self.outcome = DutyOutcome.DONE
        self.calls = []
        self.in_flight = 0
        self.most_in_flight = 0

    async def call(self, duty, holder, token, body, *, may_send):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await sleep(0.01)
        self.in_flight -= 1
        if not may_send():
            return DutyResult(DutyOutcome.NOT_SENT)
        self.calls.append((duty, holder, token, body))
        return DutyResult(self.outcome)

    async def close(self):
        return


class Instance:
    """One instance that is the only candidate for its duty."""

    def __init__(self, store, stack, name="own"):
        self.feed = FakeFeed()
        self.metrics = Metrics(None, "")
        self.duties = Duties(
            create_settings(name, duties=DUTIES),
            1,
            store,
            self.feed,
            self.metrics,
        )
        self.duties.start(stack)
        self.lease = self.duties.leases["usage"]
        self.update()

    def update(self, *live):
        self.duties.update(
            list(live), SERVING, Contact.CONNECTED, read_monotonic()
        )

    async def acquire(self):
        for _ in range(100):
            if self.lease.token:
                return
            await sleep(0.05)
        raise AssertionError("not acquired")


@pytest.fixture
async def store():
    return FakeStore()


@pytest.fixture
async def holder(store):
    async with AsyncExitStack() as stack:
        created = Instance(store, stack)
        await created.acquire()
        yield created


class TestDigests:
    """Announcements of a holder to the fleet."""

    def test_digest_without_a_duty_has_no_field(self):
        """Guards against more bytes in fleets without duties."""
        digest = build_digest(1, "r1")
        assert "duties" not in encode_state(digest, {})

    def test_duties_survive_encoding(self):
        digest = replace(build_digest(1, "r1"), duties={"usage": 2**40})
        datagram = build_datagram(NO_ECHO, encode_body(digest))
        assert decode_digest(datagram) == digest

    @pytest.mark.parametrize(
        "duties", [{"usage": -1}, {"usage": 2**60}, {"usage": "5"}, [5], 5]
    )
    def test_invalid_duties_are_rejected(self, duties):
        raw = {**encode_state(build_digest(1, "r1"), {}), "duties": duties}
        with pytest.raises(RecordInvalid):
            decode_digest(build_datagram(NO_ECHO, compress_json(raw)))


class TestParts:
    """Who holds a duty and who is a candidate."""

    @pytest.fixture
    def duties(self, store):
        return Duties(
            create_settings(duties=DUTIES),
            1,
            store,
            FakeFeed(),
            Metrics(None, ""),
        )

    def update(self, duties, *live):
        now = read_monotonic() + 10.0 * (self.updates + 1)
        self.updates += 1
        duties.update(list(live), SERVING, Contact.CONNECTED, now)

    updates = 0

    def announce(self, duties, number, token, region="r1"):
        digest = build_digest(number, region)
        if token:
            digest = replace(digest, duties={"usage": token})
        duties.observe(digest)
        return digest

    def test_highest_announced_token_is_the_holder(self, duties):
        self.announce(duties, 1, 5)
        second = self.announce(duties, 2, 6)
        self.announce(duties, 3, 4)
        assert duties.get_holder("usage").name == second.name
        assert duties.get_holder("usage").token == 6

    def test_holder_that_announces_no_duty_is_none(self, duties):
        self.announce(duties, 1, 5)
        self.announce(duties, 1, 0)
        assert duties.get_holder("usage") is None

    def test_lower_token_counts_once_the_holder_is_gone(self, duties):
        """Guards against a lost holder that hides its successor."""
        self.announce(duties, 1, 9)
        self.update(duties)
        second = self.announce(duties, 2, 3)
        assert duties.get_holder("usage").name == second.name

    def test_candidate_is_in_another_region_than_the_last_holder(self, duties):
        """Guards against a new order when the holder disappears.

        The candidates that polled so far take over soonest.
        """
        digest = self.announce(duties, 1, 5, "r2")
        other = build_digest(3, "r2")
        self.update(duties, digest, other)
        assert duties.get_first_candidate("usage").name == "own"
        self.update(duties, other)
        assert duties.get_first_candidate("usage").name == "own"
        assert duties.leases["usage"].rank == 0

    def test_instance_that_lost_the_store_is_no_candidate(self, duties):
        self.update(duties)
        assert duties.leases["usage"].rank == 0
        now = read_monotonic() + 100.0
        duties.update([], SERVING, Contact.LOST, now)
        assert duties.leases["usage"].rank is None

    async def test_without_duties_nothing_runs(self, store):
        """Guards against tasks and calls of other deployments."""
        duties = Duties(create_settings(), 1, store, None, Metrics(None, ""))
        async with AsyncExitStack() as stack:
            duties.start(stack)
            duties.observe(build_digest(1, "r1"))
            duties.update([], SERVING, Contact.CONNECTED, 1e9)
            await sleep(0.05)
        await duties.close()
        assert duties.list_held() == {}
        assert duties.list_gauges() == {}
        assert store.calls == 0


class TestHolder:
    async def test_payload_is_acknowledged(self, holder, store):
        assert await holder.lease.write_payload("window 1")
        assert store.record.payload == "window 1"
        assert holder.lease.payload == "window 1"

    async def test_payloads_are_written_one_by_one(self, holder, store):
        """Guards against an acknowledgement of a payload not stored."""
        results = await gather(
            *(holder.lease.write_payload(str(n)) for n in range(5))
        )
        assert all(results)
        assert store.record.payload == "4"

    async def test_payload_without_the_store_is_not_acknowledged(
        self, holder, store
    ):
        store.is_down = True
        assert not await holder.lease.write_payload("window 1")
        assert not holder.lease.token

    async def test_payload_at_a_stop_is_not_waited_for(self, holder, store):
        """Guards against a writer that waits for a task that has ended."""
        store.is_down = True
        writing = create_task(holder.lease.write_payload("window 1"))
        await sleep(0)
        holder.duties.stop()
        async with timeout(2.0):
            assert not await writing

    async def test_calls_are_made_one_at_a_time(self, holder):
        await gather(*(holder.lease.call(b"x") for _ in range(5)))
        assert len(holder.feed.calls) == 5
        assert holder.feed.most_in_flight == 1

    async def test_fenced_call_gives_up_the_lease(self, holder, store):
        """Guards against further calls with a refused token."""
        holder.feed.outcome = DutyOutcome.FENCED
        result = await holder.lease.call(b"x")
        assert result.outcome is DutyOutcome.FENCED
        assert not holder.lease.token
        result = await holder.lease.call(b"x")
        assert result.outcome is DutyOutcome.NOT_SENT
        await sleep(0.2)
        assert store.record.is_released
        assert store.record.refusals == 1
        assert holder.metrics.read_counts()["duty.refused"] == 1

    async def test_task_ends_although_it_was_just_woken(self, store):
        """Guards against a cancellation that coincides with an event.

        The process would never end.
        """
        async with timeout(5.0) as limit, AsyncExitStack() as stack:
            created = Instance(store, stack)
            await created.acquire()
            created.lease.poll_early()
        assert not limit.expired()

    async def test_stopped_holder_releases_with_its_last_payload(
        self, holder, store
    ):
        holder.lease.on_release = lambda: "last"
        call = create_task(holder.lease.call(b"x"))
        await sleep(0)
        holder.duties.stop()
        assert holder.duties.list_held() == {}
        await sleep(0.2)
        assert store.record.is_released
        assert store.record.payload == "last"
        assert (await call).outcome is DutyOutcome.NOT_SENT

    async def test_other_instance_takes_a_released_lease(self, holder, store):
        async with AsyncExitStack() as stack:
            other = Instance(store, stack, "other")
            await sleep(1.5)
            token = holder.lease.token
            holder.duties.stop()
            await other.acquire()
            assert other.lease.token > token

    async def test_announced_token_and_gauges(self, holder):
        token = holder.lease.token
        assert holder.duties.list_held() == {"usage": token}
        assert holder.duties.list_gauges() == {
            'duty_held{duty="usage"}': 1,
            'duty_candidate_rank{duty="usage"}': 0,
            'duty_token{duty="usage",holder="own"}': token,
        }
