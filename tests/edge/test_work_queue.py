"""The queue of one instance under the policy by work."""

from asyncio import ensure_future
from asyncio import sleep
from asyncio import wait
from dataclasses import replace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.backends import Need
from gypsummount._edge.waiting import WaitingQueue
from gypsummount._edge.wire import LoadReport
from gypsummount._edge.work_policy import EARLY_FRACTION
from gypsummount.errors import NoCapacity
from tests.edge import peak_load


class _Region(peak_load.Region):
    """One instance whose upstreams all report their speed."""

    def __init__(self, *, in_flight):
        super().__init__(
            [
                peak_load.FakeUpstream(f"u{number}", 4, lambda now: 100)
                for number in range(3)
            ],
            1,
            1,
            with_speed=True,
        )
        self.selection = self.selections[0]
        now = read_monotonic()
        for backend in self.selection._backends:
            report = LoadReport(0, 0, 100)
            self.selection.record_load(backend, report, now)
            backend.load.in_flight = in_flight
        for _ in range(10):
            self.selection.update()

    def build_need(self, *, due_s=0.3, **options):
        due_at = read_monotonic() + due_s
        need = Need(
            "s", frozenset(), frozenset(), 7, 100, due_at, 0.3, "r", "w"
        )
        return replace(need, **options)

    def begin(self, need):
        deadline = read_monotonic() + 5.0
        return ensure_future(
            self.selection.acquire(need, frozenset(), deadline)
        )

    def free_slots(self):
        """Let every upstream report that it is idle."""
        now = read_monotonic()
        for backend in self.selection._backends:
            backend.load.in_flight = 0
        for backend in self.selection._backends:
            report = LoadReport(0, 0, 100)
            self.selection.record_load(backend, report, now)

    def close(self):
        self.selection.close()


@pytest.fixture
def busy():
    """A region in which a slot frees in a moment."""
    created = _Region(in_flight=5)
    yield created
    created.close()


@pytest.fixture
def overloaded():
    """A region in which no slot frees for long."""
    created = _Region(in_flight=12)
    yield created
    created.close()


class TestEarlyRefusal:
    async def test_request_without_hope_is_refused_at_once(self, overloaded):
        """Guards against callers that are held and refused in the end."""
        request = overloaded.begin(overloaded.build_need())
        await sleep(0.01)
        assert request.done()
        with pytest.raises(NoCapacity) as raised:
            await request
        assert 0.05 <= raised.value.retry_after_s <= 1.0
        report = overloaded.selection.list_queues()["s"]
        assert report.refused_early == 1

    async def test_refused_callers_return_at_different_times(self, overloaded):
        """Guards against refused callers that come back all at once."""
        times = set()
        for _ in range(5):
            with pytest.raises(NoCapacity) as raised:
                await overloaded.begin(overloaded.build_need())
            times.add(round(raised.value.retry_after_s, 4))
        assert len(times) > 1

    async def test_check_before_the_token_refuses_as_well(self, overloaded):
        """Guards against tokens of requests that find no capacity."""
        need = overloaded.build_need()
        with pytest.raises(NoCapacity):
            overloaded.selection.check_capacity(need, need.due_at + 5.0)

    async def test_late_request_is_not_held_long(self, overloaded):
        need = overloaded.build_need(due_s=-1.0)
        began = read_monotonic()
        with pytest.raises(NoCapacity):
            await overloaded.begin(need)
        assert read_monotonic() - began < 2 * EARLY_FRACTION * 0.3 + 0.05


class TestQueueOrder:
    async def test_late_request_waits_behind_one_that_can_be_on_time(
        self, busy
    ):
        """Guards against slots that late requests take from others."""
        late = busy.begin(busy.build_need(due_s=-1.0))
        await sleep(0)
        good = busy.begin(busy.build_need())
        await sleep(0)
        backends = list(busy.selection._backends)
        for backend in backends:
            backend.load.in_flight = 4
        busy.selection.release(backends[0])
        busy.selection.update()
        await sleep(0.01)
        assert good.done() and not late.done()
        late.cancel()
        await wait({late})

    async def test_returning_caller_goes_first(self, busy):
        new = busy.begin(busy.build_need(due_s=0.29))
        await sleep(0)
        again = busy.begin(busy.build_need(is_returning=True))
        await sleep(0)
        policy = busy.selection._policies["s"]
        ordered = policy._queue.sort(read_monotonic())
        assert [waiter.need.is_returning for waiter in ordered] == [
            True,
            False,
        ]
        for request in (new, again):
            request.cancel()
        await wait({new, again})

    async def test_pick_of_a_disconnected_caller_is_released(self, busy):
        """Guards against slots that are counted as used for ever."""
        request = busy.begin(busy.build_need())
        await sleep(0)
        assert not request.done()
        busy.free_slots()
        request.cancel()
        await wait({request})
        assert [
            backend.load.in_flight for backend in busy.selection._backends
        ] == [0, 0, 0]


class TestServicesWithoutSpeed:
    async def test_existing_policy_stays_without_the_figure(self):
        """Guards against a change for services that report no speed."""
        region = peak_load.Region(
            [peak_load.FakeUpstream("u0", 4, lambda now: 100)],
            1,
            1,
            with_speed=False,
        )
        selection = region.selections[0]
        for backend in selection._backends:
            report = LoadReport(1, 0)
            selection.record_load(backend, report, read_monotonic())
        policy = selection._policies["s"]
        assert not policy.uses_speed
        assert isinstance(policy._waiting, WaitingQueue)
        assert selection.list_queues() == {}
        selection.close()

    async def test_requests_that_waited_before_the_figure_are_served(self):
        """Guards against requests lost when the policy changes."""
        region = peak_load.Region(
            [peak_load.FakeUpstream("u0", 4, lambda now: 100)],
            1,
            1,
            with_speed=True,
        )
        selection = region.selections[0]
        backend = next(iter(selection._backends))
        backend.load.in_flight = 8
        now = read_monotonic()
        need = Need(
            "s", frozenset(), frozenset(), 7, 1, now + 5.0, 5.0, "r", "w"
        )
        waiting = ensure_future(
            selection.acquire(need, frozenset(), now + 5.0)
        )
        await sleep(0)
        selection.record_load(backend, LoadReport(0, 0, 100), now)
        backend.load.in_flight = 1
        selection.release(backend)
        await sleep(0.01)
        assert waiting.done()
        selection.close()
