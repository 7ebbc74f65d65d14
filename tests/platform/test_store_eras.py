"""The store client in front of a store that is restored from a copy."""

from asyncio import create_task
from asyncio import sleep
from contextlib import AsyncExitStack
from json import dumps

import pytest

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.positions import combine_position
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._core.sanitizing import Header
from gypsummount._edge.store_feed import Kind
from gypsummount.errors import HistoryDiscarded
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.eras import StoreEras
from gypsummount.platform.store import StoreClient
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream
from tests.platform.store_double import serve_store
from tests.platform.store_double import StoreDouble


@pytest.fixture
async def store():
    """Yield a store of era 4 with one evacuation, and a client of it."""
    async with AsyncExitStack() as stack:
        double = StoreDouble()
        double.era = 4
        double.put("evacuations", "z1", {})
        client = StoreClient(serve_store(stack, double))
        stack.push_async_callback(client.close)
        yield double, client


def state_era(value):
    return [Header("Content-Type", "text/plain"), Header("store-ERA", value)]


class TestEras:
    def test_answer_of_an_earlier_era_is_refused(self):
        """Guards against state of a replica that runs on an old copy."""
        eras = StoreEras()
        assert eras.accept(state_era("3")) == 3
        with pytest.raises(StoreUnavailable):
            eras.accept(state_era("2"))
        assert eras.newest == 3

    @pytest.mark.parametrize(
        "value", ["", "x", "-1", "4.0", "8192", "9" * 400, "٣", "1e3"]
    )
    def test_unreadable_era_changes_nothing(self, value):
        eras = StoreEras()
        eras.accept(state_era("3"))
        assert eras.accept(state_era(value)) == 3
        assert eras.newest == 3

    def test_missing_era_changes_nothing(self):
        eras = StoreEras()
        assert eras.accept([]) == 0
        eras.accept(state_era("3"))
        assert eras.accept([]) == 3

    def test_ignored_eras_cost_few_lines(self, caplog):
        eras = StoreEras()
        eras.accept(state_era("3"))
        for _ in range(100):
            eras.accept(state_era("x"))
        assert 1 <= len(caplog.records) <= 3

    def test_restore_is_logged_but_not_the_first_answer(self, caplog):
        caplog.set_level("INFO")
        eras = StoreEras()
        eras.accept(state_era("0"))
        assert caplog.records == []
        eras.accept(state_era("1"))
        assert "new era" in caplog.text

    def test_store_without_eras_costs_no_line(self, caplog):
        assert StoreEras().accept([]) == 0
        assert caplog.records == []

    def test_large_revision_of_a_store_without_eras_is_sent_whole(self):
        eras = StoreEras()
        eras.accept([])
        assert eras.get_sent_revision(1 << 50) == 1 << 50


class TestPositions:
    async def test_listing_has_positions(self, store):
        double, client = store
        listing = await client.list(Kind.EVACUATION)
        assert client.era == 4
        assert listing.revision == combine_position(4, double.revision)
        assert get_era(listing.records[0].revision) == 4

    async def test_creation_of_an_order_is_a_position(self, store):
        double, client = store
        order = {"service": "s", "targetVersion": "v2", "durationS": 9}
        double.put("rollouts", "s", order)
        listing = await client.list(Kind.ROLLOUT)
        created = client.decode(listing.records[0]).created
        assert created == listing.records[0].revision

    async def test_watch_sends_the_revision_without_the_era(self, store):
        double, client = store
        position = (await client.list(Kind.EVACUATION)).revision
        double.put("evacuations", "z2", {})
        changes = await client.watch(Kind.EVACUATION, position, 1.0)
        assert [record.name for record in changes.records] == ["z2"]
        assert changes.revision == combine_position(4, double.revision)

    async def test_store_without_eras_has_plain_revisions(self, store):
        double, client = store
        double.era = None
        listing = await client.list(Kind.EVACUATION)
        assert listing.revision == double.revision
        changes = await client.watch(Kind.EVACUATION, listing.revision, 0.05)
        assert changes.revision == double.revision
        assert client.era == 0

    @pytest.mark.parametrize("revision", [-1, 1 << 41, 1 << 60])
    async def test_impossible_revision_is_no_position(self, revision):
        body = dumps({"items": [], "at": revision}).encode()

        async def answer(reader, writer):
            await read_request(reader)
            head = f"Content-Length: {len(body)}\r\nStore-Era: 2\r\n\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{head}".encode() + body)
            await writer.drain()

        async with ScriptedUpstream(answer) as upstream:
            client = StoreClient(upstream.address)
            with pytest.raises(StoreUnavailable):
                await client.list(Kind.CATALOG)
            await client.close()


class TestRestore:
    async def test_watch_from_an_unknown_revision_lists_again(self, store):
        double, client = store
        copy = double.copy()
        double.put("evacuations", "z2", {})
        position = (await client.list(Kind.EVACUATION)).revision
        double.restore(copy)
        with pytest.raises(HistoryDiscarded):
            await client.watch(Kind.EVACUATION, position, 1.0)
        assert client.era == 5

    async def test_reused_revision_is_not_watched_onwards(self, store):
        """Guards against missed changes up to a revision that came twice."""
        double, client = store
        copy = double.copy()
        double.put("evacuations", "z2", {})
        position = (await client.list(Kind.EVACUATION)).revision
        double.restore(copy)
        double.put("evacuations", "z3", {})
        assert double.revision == get_revision(position)
        double.put("evacuations", "z4", {})
        with pytest.raises(HistoryDiscarded):
            await client.watch(Kind.EVACUATION, position, 1.0)

    async def test_open_watch_does_not_pass_over_a_restore(self, store):
        double, client = store
        position = (await client.list(Kind.EVACUATION)).revision
        watch = create_task(client.watch(Kind.EVACUATION, position, 2.0))
        await sleep(0.1)
        double.restore(double.copy())
        with pytest.raises(HistoryDiscarded):
            await watch

    async def test_conditional_write_of_an_earlier_era_is_not_sent(
        self, store
    ):
        """Guards against a write over another change of that revision."""
        double, client = store
        order = {"service": "s", "targetVersion": "v2", "durationS": 9}
        double.put("rollouts", "s", order)
        listing = await client.list(Kind.ROLLOUT)
        known = client.decode(listing.records[0])
        double.restore(double.copy())
        await client.list(Kind.EVACUATION)
        calls = double.calls
        with pytest.raises(StoreConflict):
            await client.write_rollout_state(known, "running")
        assert double.calls == calls

    async def test_conditional_write_sends_the_plain_revision(self, store):
        double, client = store
        order = {"service": "s", "targetVersion": "v2", "durationS": 9}
        stored = double.put("rollouts", "s", order)
        revision = stored["metadata"]["revision"]
        known = RolloutOrder("s", "v2", 9.0, combine_position(4, revision), 1)
        await client.list(Kind.ROLLOUT)
        await client.write_rollout_state(known, "running")
        status = double.objects["rollouts"]["s"]["status"]
        assert status["state"] == "running"

    async def test_restore_between_two_pages_lists_again(self):
        """Guards against a listing that mixes two eras."""
        page = {"items": [{"metadata": {"name": "a", "revision": 5}}]}
        body = dumps({**page, "hasMore": True, "at": 5}).encode()
        eras = iter((2, 3))

        async def answer(reader, writer):
            while True:
                await read_request(reader)
                head = f"Content-Length: {len(body)}\r\n"
                head += f"Store-Era: {next(eras)}\r\n\r\n"
                writer.write(f"HTTP/1.1 200 OK\r\n{head}".encode() + body)
                await writer.drain()

        async with ScriptedUpstream(answer) as upstream:
            client = StoreClient(upstream.address)
            with pytest.raises(HistoryDiscarded):
                await client.list(Kind.UPSTREAM)
            await client.close()
