"""Reading of the store continues after unexpected errors."""

from asyncio import create_task
from asyncio import Event
from asyncio import wait_for
from random import Random

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
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
