"""A region fails under more load than the other regions can serve."""

from asyncio import sleep
from signal import SIGKILL

from gypsummount._load.caller import Call
from tests.processes.load import check_single_runs
from tests.processes.load import start_load
from tests.processes.load import stop_load

POST_FOTOS = Call(
    "fotos", "POST", "/fotos", b"plot", repeatable=False, retries=1
)
# With this latency the load needs at least 10 of the 12 slots of the two
# regions that stay up.
LATENCY_S = 1.0
STEADY_S = 2.0
OUTAGE_S = 8.0
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
        for line in cluster.rules_path.read_text(encoding="utf-8").splitlines()
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
                POST_FOTOS,
                callers=12,
                period_s=0.1,
                workspace=workspace,
            )
            for workspace in ("valle-grande", "tarrazu")
        ]
        await sleep(STEADY_S)
        await fail_region(cluster)
        counts_before = [len(load.results) for load, _ in loads]
        await sleep(OUTAGE_S)
        for load, tasks in loads:
            await stop_load(load, tasks)
        statistics = await cluster.fetch(
            cluster.upstream_control_address, "/statistics"
        )
        failed_servers = set(list_servers(cluster, REGION))
        other_rows = [
            row
            for name, row in statistics.items()
            if name not in failed_servers
        ]
        assert (
            max(row["most_in_flight"] / row["slots"] for row in other_rows)
            == 1
        )
        assert [row["shed"] for row in other_rows] == [0] * len(other_rows)
        for (load, _), count in zip(loads, counts_before, strict=True):
            assert sum(result.is_good for result in load.results[count:]) > 0
            await check_single_runs(cluster, load.results)
