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

IDLE_S = 20.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_MB = 1_000_000


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
    return Cost(ticks / TICKS_PER_S, pages * PAGE_BYTES)


async def main() -> int:
    """Start a fleet, let it settle for 5 s and print its idle costs."""
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            await cluster.start()
            await sleep(5.0)
            await measure_idle_costs(cluster)
        finally:
            await cluster.close()
    return 0


async def measure_idle_costs(cluster: Cluster) -> None:
    """Print costs per agent and entry, and the rates of store calls.

    The mean processor share and the largest resident size of each role
    are taken over an idle interval.
    """
    roles = {
        "agent": [
            instance.agent.process.pid for instance in cluster.instances
        ],
        "entry": [
            instance.entry.process.pid for instance in cluster.instances
        ],
    }
    before = {pid: read_cost(pid) for pids in roles.values() for pid in pids}
    calls_before = await cluster.fetch(cluster.store, "/counts")
    await sleep(IDLE_S)
    calls_after = await cluster.fetch(cluster.store, "/counts")
    for role, pids in roles.items():
        costs = [read_cost(pid) for pid in pids]
        used_cpu_s = sum(
            cost.cpu_s - before[pid].cpu_s
            for pid, cost in zip(pids, costs, strict=True)
        )
        cpu_fraction = used_cpu_s / IDLE_S / len(pids)
        largest = max(cost.resident_bytes for cost in costs) / BYTES_PER_MB
        print(
            f"{role}: {cpu_fraction:.2%} of a core each, "
            f"at most {largest:.1f} MB resident"
        )
    for name, count in calls_after.items():
        rate = (count - calls_before[name]) / IDLE_S
        print(f"store {name}: {rate:.1f}/s for {len(roles['agent'])} agents")


if __name__ == "__main__":
    sys.exit(run(main()))
