"""Rollouts under load, also while agents that advance them fail.

The agents that advance a rollout are called its drivers.
"""

from asyncio import create_task
from asyncio import sleep
from dataclasses import dataclass
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP

from gypsummount._common.clocks import read_monotonic
from tests.processes.load import GET_RONDAS
from tests.processes.load import start_load
from tests.processes.load import stop_load

ROLLOUT = "rondas-v2"
NEW_VERSION = "v2"
# The deadline_s of the demo's rollout rules.
ROLLOUT_DEADLINE_S = 20.0
MAX_ROLLOUT_S = ROLLOUT_DEADLINE_S + 2.0
SETTLE_S = 1.0
POLL_S = 0.1
LATENCY_S = 0.4
COLD_LATENCY_S = 0.2
# The number of requests after which a stand-in upstream's caches are warm.
WARM_REQUESTS = 20
MAX_FAILED_REQUESTS = 60
# The first of the steps in the demo's rollout rules.
FIRST_STEP_SHARE = 0.1


@dataclass(slots=True)
class Progress:
    """State of a rollout as polled from the admin API.

    ``phase`` is ``moving`` from the start of the rollout until it is
    ``finished`` or ``taken-back``.  ``first_step_until`` is the time of
    the last poll at which the first step was in force (monotonic seconds,
    read before the poll was sent).
    """

    phase: str = ""
    reason: str = ""
    first_step_until: float = 0.0

    async def follow(self, cluster):
        """Poll until the rollout has ended."""
        while True:
            polled_at = read_monotonic()
            row = await read_rollout(cluster)
            self.phase = row["phase"]
            self.reason = row.get("reason", "")
            if self.phase == "moving" and row["step"] == 0:
                self.first_step_until = polled_at
            if self.phase in ("finished", "taken-back"):
                return
            await sleep(POLL_S)


async def read_rollout(cluster):
    status = await cluster.admin.read_status()
    return next(row for row in status["rollouts"] if row["name"] == ROLLOUT)


def list_new_servers(cluster):
    return [
        server
        for line in cluster.rules_path.read_text(encoding="utf-8").splitlines()
        if line.startswith("pool rondas") and f"version={NEW_VERSION}" in line
        for word in line.split()
        if word.startswith("servers=")
        for server in word.removeprefix("servers=").split(",")
    ]


async def warm_up(cluster, servers):
    """Warm the caches of servers, so that only load slows them down."""
    for server in servers:
        for _ in range(WARM_REQUESTS):
            await cluster.http.fetch(f"http://{server}/warm")


async def list_new_runs(cluster, since):
    return [
        run
        for run in await cluster.read_runs()
        if run["version"] == NEW_VERSION and run["at"] >= since
    ]


async def start_loads(cluster, *, period_s):
    """Start loads for the two workspaces with the highest rates."""
    return [
        await start_load(
            cluster,
            GET_RONDAS,
            callers=5,
            period_s=period_s,
            workspace=workspace,
        )
        for workspace in ("valle-grande", "tarrazu")
    ]


async def stop_loads(loads):
    for load, tasks in loads:
        await stop_load(load, tasks)


async def start_rollout(cluster):
    await cluster.admin.change_rollout(ROLLOUT, "start")
    progress = Progress()
    return progress, create_task(progress.follow(cluster))


class TestDriverFailures:
    async def test_good_version_finishes_while_drivers_fail(self, cluster):
        loads = await start_loads(cluster, period_s=0.4)
        began = read_monotonic()
        progress, follower = await start_rollout(cluster)
        await self.fail_drivers(cluster)
        await follower
        ended = read_monotonic()
        await stop_loads(loads)
        assert progress.phase == "finished"
        assert ended - began <= MAX_ROLLOUT_S
        await self.check_first_step(cluster, began, progress)

    async def fail_drivers(self, cluster):
        """Pause, kill and restart agents around an outage of the store."""
        paused, *killed = cluster.instances[1:4]
        paused.agent.signal(SIGSTOP)
        for instance in killed:
            instance.agent.signal(SIGKILL)
        await cluster.switch_store(outage=True)
        await sleep(2.0)
        await cluster.switch_store(outage=False)
        paused.agent.signal(SIGCONT)
        for instance in killed:
            await cluster.start_agent(instance)

    async def check_first_step(self, cluster, began, progress):
        """In the first step the new version gets at most that step's share."""
        until = progress.first_step_until
        assert until > began
        runs = [
            run["version"]
            for run in await cluster.read_runs()
            if run["path"] == GET_RONDAS.path and began <= run["at"] < until
        ]
        assert 0 < runs.count(NEW_VERSION) <= FIRST_STEP_SHARE * len(runs)


class TestColdVersion:
    async def test_good_version_with_cold_caches_finishes(self, cluster):
        """Slow first answers alone do not roll a new version back.

        With cold caches they take three times as long as later ones.
        """
        await cluster.switch_upstreams(latency_s=COLD_LATENCY_S)
        loads = await start_loads(cluster, period_s=0.2)
        progress, follower = await start_rollout(cluster)
        await follower
        await stop_loads(loads)
        assert (progress.phase, progress.reason) == ("finished", "")


class TestFaultUnderLoad:
    async def test_version_that_fails_under_load_is_taken_back(self, cluster):
        new_servers = list_new_servers(cluster)
        await warm_up(cluster, new_servers)
        await cluster.switch_upstreams(latency_s=LATENCY_S)
        await cluster.switch_upstreams(servers=new_servers, fails_above=1)
        loads = await start_loads(cluster, period_s=0.1)
        progress, follower = await start_rollout(cluster)
        await follower
        await sleep(SETTLE_S)
        since = read_monotonic()
        await sleep(SETTLE_S)
        late_runs = await list_new_runs(cluster, since)
        await stop_loads(loads)
        assert progress.phase == "taken-back"
        assert "deadline" not in progress.reason
        assert late_runs == []
        statistics = await cluster.fetch(
            cluster.upstream_control_address, "/statistics"
        )
        failed = sum(row["failed"] for row in statistics.values())
        assert 0 < failed <= MAX_FAILED_REQUESTS
