"""Planned stops of entries whose callers use idle connections late."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from random import Random
from signal import SIGTERM

from tests.common.pooled_callers import list_lost
from tests.common.pooled_callers import PooledCaller
from tests.processes.load import POST_RESERVAS

CALLERS = 6
CONNECTIONS = 6
MAX_PAUSE_S = 2.4
WORK_S = 0.4
PATH = POST_RESERVAS.path


def build_head(key, request_id, framing):
    return (
        f"POST {PATH}/{request_id} HTTP/1.1\r\n"
        "Host: h\r\n"
        f"Authorization: Bearer {key}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


class TestLateRequests:
    async def test_no_request_that_runs_is_cut(self, cluster):
        """Guards against requests that run and are cut while loans end."""
        key = await cluster.grant("tarrazu")
        await cluster.switch_upstreams(latency_s=WORK_S)
        stopped = cluster.instances[1]
        host, _, port = stopped.listen.rpartition(":")
        callers = [
            PooledCaller(
                f"c{number}",
                (host, int(port)),
                lambda request_id, framing: build_head(
                    key, request_id, framing
                ),
                Random(number),
            )
            for number in range(CALLERS)
        ]
        for caller in callers:
            await caller.connect(CONNECTIONS)
        calls = [create_task(caller.run(MAX_PAUSE_S)) for caller in callers]
        await sleep(0.5)
        stopped.entry.signal(SIGTERM)
        assert await stopped.entry.wait(20) == 0
        await gather(*calls)
        attempts = [
            attempt for caller in callers for attempt in caller.attempts
        ]
        runs = {
            run["path"].rpartition("/")[2] for run in await cluster.read_runs()
        }
        assert list_lost(attempts, runs) == []
        statuses = [attempt.status for attempt in attempts]
        assert statuses.count(200) > CALLERS
