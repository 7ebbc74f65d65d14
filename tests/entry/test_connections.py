"""Complete answers over reused connections to faulty upstreams."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from asyncio import wait_for

import pytest

from gypsummount._common.body_account import BodyAccount
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import MAX_FRESH_AGE_S
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamRequest
from tests.entry.wires import build_answer
from tests.entry.wires import read_id
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream

LIMIT_S = 0.3


def create_request(number=1, method="GET"):
    return UpstreamRequest(method, "/x", (), b"", f"id-{number}")


async def serve_correctly(reader, writer):
    while True:
        head = await read_request(reader)
        writer.write(build_answer(head, b"whole"))


async def send(pool, number=1, *, limit_s=LIMIT_S, repeatable=True):
    return await pool.send(
        create_request(number), limit_s, repeatable=repeatable
    )


class TestReuse:
    async def test_clean_exchanges_share_one_connection(self):
        async with ScriptedUpstream(serve_correctly) as upstream:
            pool = ConnectionPool(upstream.address)
            for number in range(20):
                assert (await send(pool, number)).body == b"whole"
            pool.close()
            assert upstream.connections == 1

    async def test_unrepeatable_request_avoids_old_connections(self):
        async with ScriptedUpstream(serve_correctly) as upstream:
            pool = ConnectionPool(upstream.address)
            await send(pool)
            await sleep(MAX_FRESH_AGE_S + 0.05)
            await send(pool, repeatable=False)
            pool.close()
            assert upstream.connections == 2

    async def test_closed_idle_connection_is_not_used(self):
        async def serve_one(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole"))
            await writer.drain()

        async with ScriptedUpstream(serve_one) as upstream:
            pool = ConnectionPool(upstream.address)
            for number in range(3):
                assert (await send(pool, number)).body == b"whole"
                await sleep(0.02)
            pool.close()
            assert upstream.connections == 3

    async def test_idle_connection_closed_early_is_counted(self):
        """Guards against upstream restarts that go unnoticed.

        If no request is running at the restart, the only sign is that
        idle connections end soon after their last use.
        """

        async def serve_and_end(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole"))
            await writer.drain()
            await sleep(0.05)

        async with ScriptedUpstream(serve_and_end) as upstream:
            pool = ConnectionPool(upstream.address)
            await send(pool)
            assert pool.idle == 1
            await sleep(0.15)
            await send(pool)
            pool.close()
            assert pool.closed_early == 1

    async def test_late_answer_is_not_taken_for_the_next_request(self):
        async def serve_late(reader, writer):
            head = await read_request(reader)
            await sleep(LIMIT_S + 0.1)
            writer.write(build_answer(head, b"late"))
            await serve_correctly(reader, writer)

        async with ScriptedUpstream(serve_late) as upstream:
            pool = ConnectionPool(upstream.address)
            with pytest.raises(ExchangeTimeout):
                await send(pool, 1)
            answer = await send(pool, 2, limit_s=2 * LIMIT_S)
            pool.close()
            assert answer.body == b"late"
            assert upstream.connections == 2

    async def test_doubled_refusal_is_not_taken_for_the_next_answer(self):
        """Guards against 'not run' for a request that the upstream runs.

        The upstream writes an earlier refusal once more when the next
        request comes; the refusal carries no id.
        """
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"

        async def refuse_twice(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole"))
            while True:
                await read_request(reader)
                writer.write(refusal)

        async with ScriptedUpstream(refuse_twice) as upstream:
            pool = ConnectionPool(upstream.address)
            await send(pool, 1)
            with pytest.raises(ExchangeError) as raised:
                await send(pool, 2)
            pool.close()
            assert raised.value.sent

    async def test_connection_of_an_answer_without_id_is_not_kept(self):
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"

        async def refuse(reader, writer):
            while True:
                await read_request(reader)
                writer.write(refusal)

        async with ScriptedUpstream(refuse) as upstream:
            pool = ConnectionPool(upstream.address)
            assert (await send(pool, 1)).status == 503
            assert (await send(pool, 2)).status == 503
            pool.close()
            assert upstream.connections == 2

    async def test_port_out_of_range_is_an_exchange_error(self):
        pool = ConnectionPool("127.0.0.1:99999")
        with pytest.raises(ExchangeError) as raised:
            await send(pool)
        assert not raised.value.sent

    async def test_unrequested_answer_closes_the_connection(self):
        async def serve_two_at_once(reader, writer):
            while True:
                head = await read_request(reader)
                answer = build_answer(head, b"whole")
                extra = build_answer(head, b"extra")
                writer.write(answer + extra)

        async with ScriptedUpstream(serve_two_at_once) as upstream:
            pool = ConnectionPool(upstream.address)
            for number in range(5):
                assert (await send(pool, number)).body == b"whole"
            pool.close()
            assert upstream.connections == 5

    async def test_late_extra_answer_closes_the_connection(self):
        async def serve_extra_later(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole"))
            await sleep(0.02)
            writer.write(build_answer(head, b"extra"))
            await serve_correctly(reader, writer)

        async with ScriptedUpstream(serve_extra_later) as upstream:
            pool = ConnectionPool(upstream.address)
            for number in range(3):
                assert (await send(pool, number)).body == b"whole"
                await sleep(0.05)
            pool.close()
            assert upstream.connections == 3


class TestEndlessAnswers:
    """Guards against exchanges that an endless answer keeps open.

    The upstream sends bytes until the connection is closed.
    """

    @pytest.mark.parametrize(
        ("start", "more"),
        [
            (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"),
            (b"", b"garbage"),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"body"),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"4\r\nbody\r\n",
            ),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", b"body"),
        ],
        ids=["headers", "garbage", "unframed", "chunks", "beyond_length"],
    )
    async def test_exchange_ends_and_closes_the_connection(self, start, more):
        ended = Event()

        async def serve_endless(reader, writer):
            await read_request(reader)
            writer.write(start)
            try:
                while True:
                    writer.write(more * 1000)
                    await writer.drain()
            finally:
                ended.set()

        async with ScriptedUpstream(serve_endless) as upstream:
            pool = ConnectionPool(upstream.address)
            # The answer of the stated length is complete, so the exchange
            # may succeed; the connection has to be closed all the same.
            try:
                await send(pool)
            except ExchangeError as error:
                assert error.sent
            assert pool.idle == 0
            await wait_for(ended.wait(), 1.0)
            pool.close()

    async def test_answer_dropped_for_lack_of_memory_is_not_complete(self):
        """Guards against a dropped body that looks like a whole one.

        The end of the connection delimits the body, and the drop closes it.
        """

        async def serve_unframed(reader, writer):
            head = await read_request(reader)
            id_line = b"X-Request-Id: " + read_id(head)
            writer.write(b"HTTP/1.1 200 OK\r\n" + id_line + b"\r\n\r\n")
            while True:
                writer.write(b"x" * 1000)
                await writer.drain()

        async with ScriptedUpstream(serve_unframed) as upstream:
            account = BodyAccount(limit_bytes=100_000)
            pool = ConnectionPool(upstream.address, account=account)
            request = UpstreamRequest(
                "GET", "/x", (), b"", "id-1", accepts_unframed=True
            )
            with pytest.raises(ExchangeError, match="no memory"):
                await pool.send(request, LIMIT_S, repeatable=True)
            pool.close()
            assert account.held_bytes == 0


class TestBrokenAnswers:
    async def test_truncated_body_is_an_error(self):
        async def serve_truncated(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"who", length="5"))
            await writer.drain()

        await self.check_error(serve_truncated, sent=True)

    async def test_body_without_a_length_is_an_error(self):
        async def serve_without_length(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwho")
            await writer.drain()

        await self.check_error(serve_without_length, sent=True)

    async def test_answer_to_another_request_is_an_error(self):
        async def serve_crossed(reader, writer):
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole", request_id="other"))
            await sleep(1)

        await self.check_error(serve_crossed, sent=True)

    async def test_garbage_is_an_error(self):
        async def serve_garbage(reader, writer):
            await read_request(reader)
            writer.write(b"what?\r\n\r\n")
            await sleep(1)

        await self.check_error(serve_garbage, sent=True)

    async def test_close_without_an_answer_is_an_error(self):
        async def serve_nothing(reader, writer):
            await read_request(reader)

        await self.check_error(serve_nothing, sent=True)

    async def test_refused_connection_reports_nothing_sent(self):
        async with ScriptedUpstream(serve_correctly) as upstream:
            address = upstream.address
        pool = ConnectionPool(address)
        with pytest.raises(ExchangeError) as failure:
            await send(pool)
        assert not failure.value.sent

    async def check_error(self, script, *, sent):
        async with ScriptedUpstream(script) as upstream:
            pool = ConnectionPool(upstream.address)
            with pytest.raises(ExchangeError) as failure:
                await send(pool)
            assert failure.value.sent == sent
            assert pool.idle == 0


class TestCancellation:
    async def test_cancelled_request_closes_its_connection(self):
        seen = []

        async def serve_slowly(reader, writer):
            await read_request(reader)
            seen.append(await reader.read(1))

        async with ScriptedUpstream(serve_slowly) as upstream:
            pool = ConnectionPool(upstream.address)
            task = create_task(send(pool, limit_s=5))
            await sleep(0.05)
            task.cancel()
            with pytest.raises(CancelledError):
                await task
            await sleep(0.05)
            assert seen == [b""]
            assert pool.idle == 0

    async def test_timeout_closes_the_idle_connections(self):
        count = 0

        async def serve_then_hang(reader, writer):
            nonlocal count
            head = await read_request(reader)
            writer.write(build_answer(head, b"whole"))
            count += 1
            await read_request(reader)
            await sleep(5)

        async with ScriptedUpstream(serve_then_hang) as upstream:
            pool = ConnectionPool(upstream.address)
            tasks = [create_task(send(pool, number)) for number in range(3)]
            for task in tasks:
                await task
            assert pool.idle == 3
            with pytest.raises(ExchangeTimeout):
                await send(pool, 9, limit_s=0.1)
            assert pool.idle == 0
