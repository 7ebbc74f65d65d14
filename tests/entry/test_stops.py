"""Planned stops of an entry, with requests on open connections."""

from asyncio import create_task
from asyncio import open_connection
from asyncio import sleep

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._entry.budgets import EntryBudgets
from tests.common.pooled_callers import read_head


def build_request(key):
    return (
        "POST /reservas HTTP/1.1\r\n"
        "Host: h\r\n"
        f"Authorization: Bearer {key}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@pytest.fixture
async def connection(standalone):
    """An open connection of a caller, with a key of its workspace."""
    host, _, port = standalone.listen.rpartition(":")
    reader, writer = await open_connection(host, int(port))
    yield reader, writer
    writer.close()


class TestStop:
    async def test_request_is_refused_once_all_others_have_ended(
        self, standalone, connection, monkeypatch
    ):
        """Guards against requests that run until the stop cuts them.

        An entry that has lent some of its share waits for the ends of
        the loans after its last request.
        """
        monkeypatch.setattr(
            EntryBudgets, "has_lent_nothing", lambda self: False
        )
        key = standalone.grant_key("w")
        reader, writer = connection
        stopping = create_task(standalone.entry._stop_as_planned())
        await sleep(0.3)
        writer.write(build_request(key))
        status, headers = await read_head(reader)
        stopping.cancel()
        assert (status, headers["gypsummount-outcome"]) == (503, "not-run")
        assert headers["connection"] == "close"
        assert standalone.count_runs("reservas") == 0

    async def test_request_that_may_outlast_the_entry_is_refused(
        self, standalone, connection
    ):
        """Guards against requests longer than what is left of the stop."""
        key = standalone.grant_key("w")
        reader, writer = connection
        entry = standalone.entry
        entry.drain.begin(read_monotonic() + 0.3, read_monotonic())
        writer.write(build_request(key))
        status, headers = await read_head(reader)
        assert (status, headers["gypsummount-outcome"]) == (503, "not-run")
        assert standalone.count_runs("reservas") == 0
