"""Selection with full upstreams, drains and lost regions."""

import asyncio

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.processing_times import MAX_LOAD_PER_SLOT
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.backends import Need
from gypsummount._edge.load_policy import MAX_PREFERRED
from gypsummount._edge.waiting import MAX_WAITING
from gypsummount.errors import NoCapacity
from tests.edge.upstreams import acquire
from tests.edge.upstreams import create_need
from tests.edge.upstreams import create_record
from tests.edge.upstreams import LOCAL_UPSTREAMS
from tests.edge.upstreams import SLOTS


def answer(pick, object_hash):
    pick.backend.load.record_success(0.1, object_hash)


class TestAffinity:
    async def test_object_goes_to_one_upstream(self, selection):
        names = set()
        for _ in range(20):
            pick = await acquire(selection, create_need(7))
            names.add(pick.backend.record.name)
            selection.release(pick.backend)
        assert len(names) == 1

    async def test_full_first_choices_do_not_scatter_a_known_object(
        self, selection
    ):
        """Guards against a service slowed by requests for unknown objects.

        Such a request takes three times as long, so sending a known
        object to upstreams other than its first choices fills those too.
        """
        first = await acquire(selection, create_need(7))
        answer(first, 7)
        selection.release(first.backend)
        picks = []
        with pytest.raises(NoCapacity):
            for _ in range(100):
                need = create_need(7)
                picks.append(await acquire(selection, need))
        names = {pick.backend.record.name for pick in picks}
        assert len(names) == MAX_PREFERRED
        assert len(picks) <= MAX_PREFERRED * SLOTS * MAX_LOAD_PER_SLOT

    async def test_unknown_object_may_go_to_any_free_upstream(self, selection):
        count = int(SLOTS * MAX_LOAD_PER_SLOT) + LOCAL_UPSTREAMS - 1
        picks = [
            await acquire(selection, create_need(7)) for _ in range(count)
        ]
        names = {pick.backend.record.name for pick in picks}
        assert len(names) == LOCAL_UPSTREAMS

    async def test_unknown_object_has_one_upstream_while_all_are_busy(
        self, selection
    ):
        """Guards against a region that stays slow while the load lasts.

        After a start or the loss of a domain, upstreams know few
        objects.  A request for an unknown object takes the time of
        several for known ones, so objects spread over many upstreams
        keep all of them slow.
        """
        for backend in selection._backends:
            backend.load.in_flight = SLOTS - 1
        names = set()
        for _ in range(4):
            pick = await acquire(selection, create_need(7))
            names.add(pick.backend.record.name)
        assert len(names) == 1


class TestLateRequests:
    async def test_late_request_does_not_queue_at_an_upstream(self, selection):
        for backend in selection._backends:
            backend.load.in_flight = SLOTS
        with pytest.raises(NoCapacity):
            await selection.acquire(
                create_need(7, due_at=0.0), frozenset(), 0.0
            )


class TestFullQueues:
    def fill(self, selection, rank):
        """Fill all upstreams and the queue; return the waiting requests."""
        for backend in selection._backends:
            backend.load.in_flight = int(SLOTS * MAX_LOAD_PER_SLOT)
        return [
            asyncio.ensure_future(
                selection.acquire(
                    create_need(number, rank=rank), frozenset(), 1e12
                )
            )
            for number in range(MAX_WAITING)
        ]

    async def test_urgent_request_displaces_the_last_one(self, selection):
        """Guards against a queue that refuses urgent requests when it is full.

        The fractions of a traffic split would then depend on the other
        requests in the queue.
        """
        waiting = self.fill(selection, rank=2)
        await asyncio.sleep(0)
        urgent = asyncio.ensure_future(
            selection.acquire(create_need(99, rank=1), frozenset(), 1e12)
        )
        await asyncio.sleep(0.01)
        assert not urgent.done()
        refused = [request for request in waiting if request.done()]
        assert refused == [waiting[-1]]
        with pytest.raises(NoCapacity):
            await refused[0]
        for request in (*waiting, urgent):
            request.cancel()

    async def test_request_of_the_same_rank_is_refused(self, selection):
        waiting = self.fill(selection, rank=2)
        await asyncio.sleep(0)
        with pytest.raises(NoCapacity):
            await selection.acquire(create_need(99, rank=2), frozenset(), 1e12)
        for request in waiting:
            request.cancel()


class TestDisconnectedCallers:
    async def test_upstream_assigned_too_late_is_released(self, selection):
        """Guards against upstreams that seem full but run nothing.

        A caller that disconnects just as an upstream is assigned to its
        request would otherwise keep that capacity for ever.
        """
        backends = list(selection._backends)
        for backend in backends:
            backend.load.in_flight = int(SLOTS * MAX_LOAD_PER_SLOT)
        waiting = asyncio.ensure_future(
            selection.acquire(create_need(7), frozenset(), 1e12)
        )
        await asyncio.sleep(0)
        for backend in backends:
            backend.load.in_flight = 0
        selection.update()
        waiting.cancel()
        await asyncio.wait({waiting})
        assert [backend.load.in_flight for backend in backends] == [0] * 8


class TestRegions:
    async def test_home_regions_bind(self, selection):
        pick = await acquire(selection, create_need(7, regions=frozenset("b")))
        assert pick.backend.region == "b"

    async def test_region_without_working_upstreams_is_avoided(
        self, selection, replica
    ):
        replica.evacuated = frozenset(("a1", "a2"))
        replica.changes += 1
        pick = await acquire(selection, create_need(7))
        assert pick.backend.region == "b"

    async def test_evacuated_domain_gets_nothing(self, selection, replica):
        replica.evacuated = frozenset(("a1",))
        replica.changes += 1
        for object_hash in range(40):
            pick = await acquire(selection, create_need(object_hash))
            assert pick.backend.record.domain != "a1"
            selection.release(pick.backend)


class TestDrains:
    async def test_draining_upstream_gets_nothing(self, selection, replica):
        for name in ("0", "1", "2"):
            domain = replica.upstreams[name].domain
            replica.upstreams[name] = create_record(
                name, domain, is_ready=False
            )
        replica.changes += 1
        for object_hash in range(40):
            pick = await acquire(selection, create_need(object_hash))
            assert pick.backend.record.name not in ("0", "1", "2")
            selection.release(pick.backend)


class TestSlowWork:
    """Load pattern: work of seconds, seen by many instances.

    Each instance sends to an upstream only once in a minute or so, so
    that it has measured little itself.
    """

    OBJECTIVE_S = 2.1

    def create_need(self, object_hash):
        return Need(
            "s",
            frozenset(),
            frozenset(),
            object_hash,
            1,
            1e9,
            self.OBJECTIVE_S,
        )

    async def test_upstream_that_works_is_not_silent(
        self, selection, monkeypatch
    ):
        """Guards against cold limits on upstreams that are merely slow."""
        first = await acquire(selection, self.create_need(7))
        now = read_monotonic()
        monkeypatch.setattr(
            "gypsummount._edge.selection.read_monotonic", lambda: now
        )
        # The first answer is due after the objective at the latest.
        while now < first.backend.load._silent_since + self.OBJECTIVE_S:
            now += 0.3
            selection.update()
        await acquire(selection, self.create_need(7))
        assert not first.backend.load.is_suspected(now)

    async def test_load_that_a_peer_saw_moves_the_request(self, selection):
        """Guards against a queue at an upstream that others have filled."""
        now = read_monotonic()
        first = await acquire(selection, self.create_need(7))
        selection.release(first.backend)
        name = first.backend.record.name
        selection.apply_loads({name: LoadObservation(3.0 * SLOTS, 0.2)}, now)
        second = await acquire(selection, self.create_need(7))
        assert second.backend is not first.backend

    async def test_older_sight_of_a_peer_is_ignored(self, selection):
        now = read_monotonic()
        first = await acquire(selection, self.create_need(7))
        selection.release(first.backend)
        first.backend.load.record_load_report(0, 0, now)
        name = first.backend.record.name
        selection.apply_loads({name: LoadObservation(3.0 * SLOTS, 0.2)}, now)
        again = await acquire(selection, self.create_need(7))
        assert again.backend is first.backend

    async def test_load_is_told_while_it_is_recent(self, selection):
        pick = await acquire(selection, self.create_need(7))
        pick.backend.load.record_load_report(3, 2, read_monotonic())
        loads = selection.list_loads()
        assert loads.keys() == {pick.backend.record.name}
        assert loads[pick.backend.record.name].load == 5.0

    async def test_load_that_a_peer_saw_is_not_passed_on(self, selection):
        """Guards against digests that repeat what others have told."""
        pick = await acquire(selection, self.create_need(7))
        name = pick.backend.record.name
        now = read_monotonic()
        selection.apply_loads({name: LoadObservation(5.0, 0.0)}, now)
        assert selection.list_loads() == {}
        pick.backend.load.record_load_report(3, 2, read_monotonic())
        assert selection.list_loads().keys() == {name}
