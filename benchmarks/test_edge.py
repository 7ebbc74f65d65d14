"""The edge's processor time (against a bare relay) and memory."""

from asyncio import gather
from asyncio import sleep
from dataclasses import dataclass
import os
from pathlib import Path
import subprocess
import sys

from gypsummount._core.sanitizing import Header
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamRequest
from tests.platform.conftest import deployment  # noqa: F401
from tests.platform.conftest import KEY

# Upper bounds: 3 times the processor time per request of a bare relay,
# 0.5 s of processor time to start, 64 MB of resident memory.
MAX_CPU_RATIO = 3.0
MAX_START_CPU_S = 0.5
MAX_RESIDENT_MB = 64
CALLER_COUNT = 8
REQUESTS_PER_CALLER = 250
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Usage:
    """Processor time since the start, and resident memory."""

    processor_s: float
    resident_mb: float


def read_usage(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return Usage(ticks / TICKS_PER_S, resident / 1_000_000)


async def send_many(address):
    """Send requests from concurrent callers, one connection each."""

    async def call(caller):
        pool = ConnectionPool(address)
        for number in range(REQUESTS_PER_CALLER):
            request = UpstreamRequest(
                "GET",
                "/read/x",
                (
                    Header("Gypsummount-Deadline-Milliseconds", "5000"),
                    Header("Cookie", f"Gypsummount-Affinity-Key={caller}"),
                    Header("Api-Key", KEY),
                ),
                b"",
                f"id-{caller}-{number}",
                "Gypsummount-Request-Id",
                "h.example",
            )
            answer = await pool.send(request, 5.0, repeatable=True)
            assert answer.status == 200
        pool.close()

    await gather(*(call(number) for number in range(CALLER_COUNT)))


async def measure(pid, address):
    """Return a process's processor time per request (ms), after warm-up."""
    await send_many(address)
    before = read_usage(pid)
    await send_many(address)
    spent_s = read_usage(pid).processor_s - before.processor_s
    return spent_s * 1000 / (CALLER_COUNT * REQUESTS_PER_CALLER)


class TestEdge:
    async def test_processor_time_and_memory(self, deployment):  # noqa: F811
        quota = {"requestsPerS": 0, "burst": 0}
        config = deployment.store.objects["config"]["main"]["specification"]
        config["tenants"][0].update(quota)
        for name in ("i-1", "i-2"):
            entry = deployment.store.objects["servers"][name]
            entry["specification"]["slots"] = 64
        deployment.start(1)
        await deployment.wait_ready(1)
        pid = deployment.processes[1].pid
        start = read_usage(pid)
        host = f"127.0.0.2:{deployment.ports.front}"
        edge_ms = await measure(pid, host)
        resident_mb = read_usage(pid).resident_mb
        entry = deployment.store.objects["servers"]["i-1"]["specification"]
        listen = f"127.0.0.3:{deployment.ports.front}"
        relay = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.relay",
                listen,
                entry["address"],
                "i-1",
            ]
        )
        try:
            await sleep(1.5)
            relay_ms = await measure(relay.pid, listen)
        finally:
            relay.kill()
            relay.wait()
        print(
            f"edge {edge_ms:.2f} ms a request, relay {relay_ms:.2f} ms, ratio "
            f"{edge_ms / relay_ms:.2f}; start {start.processor_s:.2f} s, "
            f"resident {resident_mb:.1f} MB"
        )
        assert edge_ms <= MAX_CPU_RATIO * relay_ms
        assert start.processor_s <= MAX_START_CPU_S
        assert resident_mb <= MAX_RESIDENT_MB
