"""The store client does not reuse connections that may have been lost."""

from asyncio import Event
from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.store_feed import Kind
from gypsummount.platform import store
from gypsummount.platform.store import StoreClient
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream

KEPT_S = 0.1
BODY = b'{"items":[],"at":5}'
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n"


async def answer_once(reader, writer):
    """Answer only the first call on a connection."""
    await read_request(reader)
    writer.write(HEAD.encode() + BODY)
    await writer.drain()
    await Event().wait()


class TestSilentConnections:
    async def test_idle_connection_is_not_used_again(self, monkeypatch):
        """Guards against changes that arrive late by a call's time limit.

        A call over an idle connection that was lost without a reset gets
        no answer and fails only at its time limit.
        """
        monkeypatch.setattr(store, "KEPT_S", KEPT_S)
        async with ScriptedUpstream(answer_once) as upstream:
            client = StoreClient(upstream.address)
            await client.list(Kind.CATALOG)
            await sleep(2 * KEPT_S)
            began = read_monotonic()
            await client.list(Kind.CATALOG)
            assert read_monotonic() - began < store.CALL_TIMEOUT_S / 2
            await client.close()
