"""Measures the control plane's cost in a fleet of idle processes."""

from asyncio import run
from asyncio import sleep
from dataclasses import dataclass
import os
from pathlib import Path
import sys
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.processes.cluster import Cluster  # noqa: E402

SECONDS = 20.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
BYTES_A_MB = 1_000_000


@dataclass(slots=True, frozen=True)
class Cost:
    """Processor time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


def read_cost(pid: int) -> Cost:
    """Return the processor time since the start and the memory in use."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Cost(ticks / TICKS_A_SECOND, pages * PAGE_BYTES)


async def main() -> int:
    """Start a fleet, let it settle for 5 s and print its idle costs."""
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            await cluster.start()
            await sleep(5.0)
            await measure(cluster)
        finally:
            await cluster.close()
    return 0


async def measure(cluster: Cluster) -> None:
    """Print costs per agent and entry, and the rates of store calls.

    The mean processor share and the largest resident size of each role
    are taken over an idle interval.
    """
    roles = {
        "agent": [one.agent.process.pid for one in cluster.instances],
        "entry": [one.entry.process.pid for one in cluster.instances],
    }
    before = {pid: read_cost(pid) for pids in roles.values() for pid in pids}
    calls = await cluster.fetch(cluster.store, "/counts")
    await sleep(SECONDS)
    after_calls = await cluster.fetch(cluster.store, "/counts")
    for role, pids in roles.items():
        costs = [read_cost(pid) for pid in pids]
        used = sum(
            cost.cpu_s - before[pid].cpu_s
            for pid, cost in zip(pids, costs, strict=True)
        )
        share = used / SECONDS / len(pids)
        largest = max(cost.resident_bytes for cost in costs) / BYTES_A_MB
        print(
            f"{role}: {share:.2%} of a core each, "
            f"at most {largest:.1f} MB resident"
        )
    for name, count in after_calls.items():
        rate = (count - calls[name]) / SECONDS
        print(f"store {name}: {rate:.1f}/s for {len(roles['agent'])} agents")


if __name__ == "__main__":
    sys.exit(run(main()))
