"""Contract that all store adapters keep, and faults over HTTP."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep

import pytest
from pytest_asyncio import fixture

from gypsummount._common.sockets import bind_address
from gypsummount._demo.fleet import Ports
from gypsummount._standin.http import SingleHandlerServer
from gypsummount._standin.store import StoreStandin
from gypsummount._store.http import HttpStore
from gypsummount._store.memory import MemoryStore
from gypsummount._store.updates import update_object
from gypsummount._store.updates import UpdateResult
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreError
from gypsummount.errors import StoreUnavailable

CALL_TIMEOUT_S = 0.3


@fixture
async def standin():
    """The stand-in store and an HTTP adapter connected to it."""
    store = StoreStandin()
    address = Ports().reserve()
    server = SingleHandlerServer(
        store.answer, bind_address("--listen", address)
    )
    adapter = HttpStore(address, call_timeout_s=CALL_TIMEOUT_S)
    yield store, adapter
    await adapter.close()
    await server.close()


@fixture(params=["memory", "http"])
async def store(request, standin):
    """An empty store; the tests run with each kind of adapter."""
    if request.param == "http":
        return standin[1]
    return MemoryStore()


class OverwrittenStore(MemoryStore):
    """Loses the answer to a create whose value is then overwritten."""

    async def create(self, name, value):
        version = await super().create(name, value)
        await self.replace(name, value + b"y", version)
        raise StoreUnavailable("the answer was lost")


def add_once(letter):
    """Return a change that appends a letter unless it is present."""

    def change(value):
        value = value or b""
        return None if letter in value else value + letter

    return change


class TestContract:
    async def test_absent_object_is_none(self, store):
        assert await store.get("a") is None

    async def test_create_happens_once(self, store):
        version = await store.create("a", b"1")
        with pytest.raises(StoreConflict, match="read it again"):
            await store.create("a", b"2")
        found = await store.get("a")
        assert (found.value, found.version) == (b"1", version)

    async def test_replace_needs_the_present_version(self, store):
        first = await store.create("a", b"1")
        await store.replace("a", b"2", first)
        with pytest.raises(StoreConflict):
            await store.replace("a", b"3", first)
        assert (await store.get("a")).value == b"2"

    async def test_delete_needs_the_present_version(self, store):
        first = await store.create("a", b"1")
        second = await store.replace("a", b"2", first)
        with pytest.raises(StoreConflict):
            await store.delete("a", first)
        await store.delete("a", second)
        assert await store.get("a") is None

    async def test_watch_ends_with_the_change(self, store):
        version = await store.create("a", b"1")
        watch = create_task(store.watch("a", version))
        await sleep(0.02)
        await store.replace("a", b"2", version)
        assert (await watch).value == b"2"

    async def test_watch_of_an_absent_object_ends_with_its_creation(
        self, store
    ):
        watch = create_task(store.watch("a", None))
        await sleep(0.02)
        await store.create("a", b"1")
        assert (await watch).value == b"1"

    async def test_names_are_listed_by_prefix(self, store):
        for name in ("x/b", "x/a", "y"):
            await store.create(name, b"")
        assert await store.list_names("x/") == ["x/a", "x/b"]


class TestFaults:
    async def test_outage_is_an_error_with_a_remedy(self, standin):
        store, adapter = standin
        store.switches.outage = True
        with pytest.raises(StoreUnavailable, match="check --store"):
            await adapter.get("a")

    async def test_silent_call_ends_at_its_limit(self, standin):
        store, adapter = standin
        store.switches.hang = True
        with pytest.raises(StoreUnavailable):
            await adapter.get("a")

    async def test_lost_answer_of_a_write_is_resolved(self, standin):
        store, adapter = standin
        store.switches.lose_answers = 1
        result = await update_object(adapter, "a", lambda _: b"mine")
        assert result.changed
        assert store.counts.writes == 1

    async def test_lost_answers_among_writers_lose_or_repeat_no_change(
        self, standin
    ):
        store, adapter = standin
        store.switches.lose_answers = 3
        letters = [bytes([letter]) for letter in b"abcdef"]
        results = await gather(
            *(
                update_object(adapter, "a", add_once(letter))
                for letter in letters
            ),
            return_exceptions=True,
        )
        failures = [
            item for item in results if not isinstance(item, UpdateResult)
        ]
        assert len(failures) <= 3
        assert all(isinstance(error, StoreUnavailable) for error in failures)
        value = (await adapter.get("a")).value
        assert sorted(value) == sorted(b"abcdef")

    async def test_lost_answer_is_unknown_after_another_writer_overwrote_it(
        self,
    ):
        store = OverwrittenStore()
        with pytest.raises(StoreUnavailable):
            await update_object(store, "a", add_once(b"x"))
        retried = await update_object(store, "a", add_once(b"x"))
        assert retried == UpdateResult(b"xy", changed=False)

    async def test_value_over_the_limit_is_refused(self, standin):
        with pytest.raises(StoreError, match="under 1000000"):
            await standin[1].create("a", b"x" * 1_000_001)

    async def test_waiting_watch_counts_as_one_call(self, standin):
        store, adapter = standin
        version = await adapter.create("a", b"1")
        watch = create_task(adapter.watch("a", version))
        await sleep(0.1)
        assert store.counts.watches == 1
        await adapter.replace("a", b"2", version)
        await watch
