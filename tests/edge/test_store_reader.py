"""Reading of the store continues after errors and restores."""

from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from asyncio import wait_for
from random import Random

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.positions import combine_position
from gypsummount._edge import store_reader
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import StoreFeed
from gypsummount._edge.store_reader import StoreReader
from gypsummount.errors import StoreUnavailable


class FaultyFeed:
    """Raises the given faults from its first lists, then answers."""

    def __init__(self, *faults):
        self._faults = list(faults)
        self.watched = Event()

    async def list(self, kind):
        if self._faults:
            raise self._faults.pop()
        return Listing((), 5)

    async def watch(self, kind, revision, wait_s):
        self.watched.set()
        await Event().wait()


class TestReplication:
    @pytest.mark.parametrize(
        "fault", [TypeError("x"), KeyError("at"), StoreUnavailable("x")]
    )
    async def test_reading_continues_after_any_fault(self, fault):
        feed = FaultyFeed(fault, fault)
        replica = Replica(feed, FreshnessProof(4.0))
        reader = StoreReader(feed, replica, Random(1))
        task = create_task(reader.replicate(Kind.UPSTREAM))
        try:
            await wait_for(feed.watched.wait(), 5.0)
        finally:
            task.cancel()
        assert replica.is_known(Kind.UPSTREAM)


class RestoredFeed(StoreFeed):
    """A quiet store that is restored while its watches are open."""

    def __init__(self):
        self.current_era = 3
        self.listed = []
        self.watched = Event()

    @property
    def era(self):
        return self.current_era

    async def list(self, kind):
        self.listed.append(kind)
        return Listing((), combine_position(self.current_era, 5))

    async def watch(self, kind, revision, wait_s):
        self.watched.set()
        await Event().wait()

    async def write_rollout_state(self, order, state):
        return

    async def register(self, record):
        return

    def decode(self, record):
        return None

    async def close(self):
        return


class CatalogFeed(RestoredFeed):
    """A store that has a configuration."""

    async def list(self, kind):
        position = combine_position(self.current_era, 5)
        record = Record(kind, "main", position, b"")
        return Listing((record,), position)

    def decode(self, record):
        return Catalog(7, CallerLimits(15.0, 1000))


class TestRestore:
    @pytest.fixture
    async def reading(self):
        """Yield a feed and a reader whose watches of two kinds are open."""
        feed = RestoredFeed()
        replica = Replica(feed, FreshnessProof(4.0))
        reader = StoreReader(feed, replica, Random(1))
        tasks = [
            create_task(reader.replicate(kind))
            for kind in (Kind.ROLLOUT, Kind.INSTANCE)
        ]
        await wait_for(feed.watched.wait(), 5.0)
        yield feed, reader
        for task in tasks:
            task.cancel()

    async def test_open_watches_end_and_all_kinds_are_listed(self, reading):
        """Guards against changes that wait for a quiet watch to end.

        One of instances lasts 15 s.
        """
        feed, reader = reading
        feed.listed.clear()
        feed.current_era = 4
        await reader.try_read()
        await sleep(0.05)
        assert set(feed.listed) == {
            Kind.CATALOG,
            Kind.ROLLOUT,
            Kind.INSTANCE,
        }

    async def test_era_that_a_write_has_seen_is_noted(self, reading):
        feed, reader = reading
        feed.listed.clear()
        feed.current_era = 4
        await reader.renew_proof(0)
        await sleep(0.05)
        assert Kind.INSTANCE in feed.listed

    async def test_same_era_costs_no_call(self, reading):
        feed, reader = reading
        feed.listed.clear()
        await reader.try_read()
        await sleep(0.05)
        assert feed.listed == [Kind.CATALOG]


class TestOutdatedListings:
    async def test_listing_of_an_earlier_era_is_not_applied(self):
        """Guards against a replica of the store that runs on an old copy.

        This instance knows the new era from a peer only.
        """
        feed = RestoredFeed()
        replica = Replica(feed, FreshnessProof(4.0))
        reader = StoreReader(feed, replica, Random(1))
        reader.note_era(4)
        assert not await reader.try_read()
        assert not replica.is_known(Kind.CATALOG)


class TestFirstProof:
    """A process that starts may know only the copy of a restored store."""

    @pytest.fixture
    def reader(self):
        feed = CatalogFeed()
        return StoreReader(feed, Replica(feed, FreshnessProof(4.0)), Random(1))

    async def test_first_proof_waits_for_the_peers(self, reader):
        """Guards against keys that only the store's old copy still has."""
        proof = reader._replica.proof
        await reader.try_read()
        assert not proof.is_fresh(read_monotonic())
        reader.has_compared_peers = True
        await reader.try_read()
        assert proof.is_fresh(read_monotonic())

    async def test_instance_without_peers_proves_after_a_while(
        self, reader, monkeypatch
    ):
        monkeypatch.setattr(store_reader, "START_PROOF_WAIT_S", 0.0)
        await reader.try_read()
        assert reader._replica.proof.is_fresh(read_monotonic())

    async def test_store_without_eras_proves_at_once(self, reader):
        reader._feed.current_era = 0
        await reader.try_read()
        assert reader._replica.proof.is_fresh(read_monotonic())
