"""Continuous loads on a fleet, and checks of their results."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from gypsummount._load.caller import Call
from gypsummount._load.caller import CallResult

GET_RONDAS = Call("rondas", "GET", "/rondas/hoy", retries=3)
POST_RESERVAS = Call(
    "reservas", "POST", "/reservas", b"plot", repeatable=False, retries=3
)
CONFIG_TIMEOUT_S = 5.0
SHARE_FILL_S = 2.0


@dataclass(slots=True)
class SteadyLoad:
    """Callers that send requests until stopped, and all their results."""

    results: list[CallResult] = field(default_factory=list)
    is_stopped: bool = False

    async def run(self, caller, call, period_s):
        while not self.is_stopped:
            self.results.append(await caller.call(call))
            await sleep(period_s)


async def start_load(
    cluster, call, *, callers=4, period_s=0.5, workspace="tarrazu"
):
    key = await cluster.grant(workspace)
    await sleep(SHARE_FILL_S)
    load = SteadyLoad()
    tasks = [
        create_task(load.run(cluster.create_caller(key), call, period_s))
        for _ in range(callers)
    ]
    return load, tasks


async def stop_load(load, tasks):
    load.is_stopped = True
    await gather(*tasks)


async def check_single_runs(cluster, results):
    """Compare results with the requests that the upstreams recorded.

    No request ran twice, none that was answered as ``not-run`` ran, and
    each good answer belongs to exactly one run.
    """
    counts = Counter(
        run["idempotency_key"]
        for run in await cluster.read_runs()
        if run["idempotency_key"]
    )
    assert max(counts.values()) == 1
    for result in results:
        if result.outcome == "not-run" and result.idempotency_key:
            assert counts[result.idempotency_key] == 0
        if result.is_good:
            assert counts[result.idempotency_key] == 1


def list_failed(results):
    return [
        f"{result.status} {result.code} {result.body!r}"
        for result in results
        if not result.is_good
    ]


async def wait_config(cluster, serial, instances):
    """Wait until the instances report this serial or a later one."""
    names = {instance.name for instance in instances}

    async def has_config():
        status = await cluster.admin.read_status()
        return all(
            member["config_serial"] >= serial
            for member in status["members"]
            if member["instance"] in names
        )

    await cluster.wait_until(has_config, CONFIG_TIMEOUT_S)
