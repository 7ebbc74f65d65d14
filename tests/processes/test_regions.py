"""A region fails under more load than the other regions can serve."""

from asyncio import sleep
from signal import SIGKILL

from gypsummount._load.caller import Call
from tests.processes.load import check_single_runs
from tests.processes.load import end_load
from tests.processes.load import start_load

PHOTO = Call("fotos", "POST", "/fotos", b"plot", repeatable=False, retries=1)
# The load then needs at least 10 of the 12 slots of two regions.
LATENCY_S = 1.0
BEFORE_S = 2.0
FAILED_S = 8.0
REGION = "central"


async def fail_region(cluster):
    """Kill the region's instances; its upstreams stop answering."""
    for instance in cluster.instances:
        if instance.region == REGION:
            instance.entry.signal(SIGKILL)
            instance.agent.signal(SIGKILL)
    servers = list_servers(cluster, REGION)
    await cluster.switch_upstreams(servers=servers, silent_share=1.0)


def list_servers(cluster, region):
    return [
        server
        for line in cluster.rules.read_text(encoding="utf-8").splitlines()
        if line.startswith("pool ") and f"domain={region}-" in line
        for word in line.split()
        if word.startswith("servers=")
        for server in word.removeprefix("servers=").split(",")
    ]


class TestRegionFails:
    async def test_no_other_region_gets_more_than_its_slots(self, cluster):
        await cluster.switch_upstreams(latency_s=LATENCY_S)
        loads = [
            await start_load(
                cluster,
                PHOTO,
                callers=12,
                period_s=0.1,
                workspace=workspace,
            )
            for workspace in ("valle-grande", "tarrazu")
        ]
        await sleep(BEFORE_S)
        await fail_region(cluster)
        begun = [len(load.results) for load, _ in loads]
        await sleep(FAILED_S)
        for load, tasks in loads:
            await end_load(load, tasks)
        statistics = await cluster.fetch(cluster.control, "/statistics")
        failed = set(list_servers(cluster, REGION))
        rest = [row for name, row in statistics.items() if name not in failed]
        assert max(row["most_in_flight"] / row["slots"] for row in rest) == 1
        assert [row["shed"] for row in rest] == [0] * len(rest)
        for (load, _), count in zip(loads, begun, strict=True):
            assert sum(one.is_good for one in load.results[count:]) > 0
            await check_single_runs(cluster, load.results)
