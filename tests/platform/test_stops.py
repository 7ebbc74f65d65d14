"""Planned stops and reloads of the program, with test doubles."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from signal import SIGHUP
from signal import SIGTERM

from tests.common.pooled_callers import connect_slowly
from tests.common.pooled_callers import read_head
from tests.common.pooled_callers import read_slowly
from tests.platform.heads import build_head


class TestStops:
    async def test_planned_stop_finishes_running_requests(self, instance):
        for server in instance.servers.values():
            server.delay_s = 1.0
        calls = [
            instance.call(1, "POST", "/book/x", request_id=str(number))
            for number in range(3)
        ]
        pending = gather(*calls)
        await sleep(0.4)
        instance.processes[1].send_signal(SIGTERM)
        answers = await pending
        assert [answer.status for answer in answers] == [200, 200, 200]
        assert not await instance.is_ready(1)
        for _ in range(60):
            if instance.processes[1].poll() is not None:
                break
            await sleep(0.1)
        assert instance.processes[1].poll() == 0

    async def test_requests_during_a_stop_are_answered_or_not_run(
        self, instance
    ):
        """Guards against requests that run without an answer at a stop.

        Callers use kept-alive connections until the instance stops.
        """
        pools = [instance.open_pool(1) for _ in range(12)]
        callers = [
            create_task(instance.call_until_stopped(pool, str(number)))
            for number, pool in enumerate(pools)
        ]
        await sleep(0.3)
        instance.processes[1].send_signal(SIGTERM)
        results = await gather(*callers)
        answered = {
            request_id for result in results for request_id in result.answered
        }
        runs = [
            request_id
            for server in instance.servers.values()
            for request_id in server.runs
        ]
        assert set(runs) <= answered
        assert len(runs) > 100

    async def test_hangup_reloads_and_serves_on(self, instance):
        path = instance.folder / "settings-1.json"
        text = path.read_text()
        # Raises the freshness limit (s) that write_settings sets.
        path.write_text(text.replace("revokeS=5", "revokeS=6"))
        instance.processes[1].send_signal(SIGHUP)
        await sleep(0.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 200
        assert "Settings are reloaded" in instance.read_log(1)

    async def test_invalid_settings_are_rejected(self, instance):
        path = instance.folder / "settings-1.json"
        path.write_text("{}")
        instance.processes[1].send_signal(SIGHUP)
        await sleep(0.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 200
        assert "keeping the current ones" in instance.read_log(1)


class TestSlowCallers:
    """Callers on slow links, which send or receive across the stop."""

    # More than the kernel takes from the process at once.
    ANSWER_BYTES = 8_000_000
    BYTES_PER_S = 3_000_000

    async def connect(self, instance):
        return await connect_slowly(("127.0.0.2", instance.ports.front))

    async def test_answer_is_written_to_its_end(self, instance):
        """Guards against answers that the stop cuts in the middle.

        No request is running any more when the process could stop, but
        most of the answer is still in its buffers.
        """
        for server in instance.servers.values():
            server.answer_bytes = self.ANSWER_BYTES
        reader, writer = await self.connect(instance)
        instance.processes[1].send_signal(SIGTERM)
        await sleep(2.3)
        writer.write(build_head("id-1", 2500, "Content-Length: 0"))
        status = await read_slowly(reader, self.BYTES_PER_S)
        writer.close()
        assert status == 200

    async def test_request_that_is_being_sent_is_answered(self, instance):
        """Guards against a stop that closes in the middle of a request."""
        reader, writer = await self.connect(instance)
        instance.processes[1].send_signal(SIGTERM)
        await sleep(3.2)
        writer.write(build_head("id-1", 1000, "Transfer-Encoding: chunked"))
        for _ in range(10):
            writer.write(b"2\r\nxx\r\n")
            await sleep(0.08)
        writer.write(b"0\r\n\r\n")
        status, _ = await read_head(reader)
        writer.close()
        runs = [
            run for server in instance.servers.values() for run in server.runs
        ]
        assert (status, runs) in [(200, ["id-1"]), (503, [])]
