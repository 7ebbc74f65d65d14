"""Cut, frozen and delayed links, alone and with process failures."""

from asyncio import gather
from asyncio import sleep
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP

from tests.processes.load import check_single_runs
from tests.processes.load import GET_RONDAS
from tests.processes.load import list_failed
from tests.processes.load import POST_RESERVAS
from tests.processes.load import start_load
from tests.processes.load import stop_load
from tests.processes.load import wait_config

FAULT_S = 2.5
ISOLATION_S = 5.0
DELAY_S = 0.2


def switch_links(instances, **switches):
    """Set the links' switches; those not named return to their defaults."""
    for instance in instances:
        instance.links.switch(**switches)


async def count_alive(cluster):
    status = await cluster.admin.read_status()
    return sum(member["alive"] for member in status["members"])


async def apply_change(cluster, base_serial):
    text = cluster.rules_path.read_text(encoding="utf-8")
    text += f"workspace extra-{base_serial} rate=1 burst=1 # tests\n"
    applied = await cluster.admin.apply(
        text, base_serial, f"writer-{base_serial}"
    )
    return applied["serial"]


class TestAllIsolated:
    async def test_every_instance_serves_on_by_itself(self, relayed_cluster):
        load, tasks = await start_load(
            relayed_cluster, GET_RONDAS, period_s=1.0
        )
        switch_links(relayed_cluster.instances, cut=True)
        await sleep(ISOLATION_S)
        isolated_results = list(load.results)
        assert await count_alive(relayed_cluster) == 1
        switch_links(relayed_cluster.instances)
        await stop_load(load, tasks)
        assert len(isolated_results) >= 12
        assert list_failed(isolated_results) == []
        serial = await apply_change(relayed_cluster, 1)
        await wait_config(relayed_cluster, serial, relayed_cluster.instances)


class TestSingleRuns:
    async def test_bookings_run_once_whatever_the_links_do(
        self, relayed_cluster
    ):
        load, tasks = await start_load(relayed_cluster, POST_RESERVAS)
        first, second, third = relayed_cluster.instances[:3]
        for switches in (
            {"freeze_to": True},
            {"freeze_from": True},
            {"cut": True},
            {"delay_s": DELAY_S},
        ):
            switch_links((first, second), **switches)
            await sleep(FAULT_S)
            switch_links((first, second))
        await self.freeze_and_pause(first, third)
        await self.cut_and_kill(relayed_cluster, second, first)
        count_before = len(load.results)
        await sleep(FAULT_S)
        await stop_load(load, tasks)
        await check_single_runs(relayed_cluster, load.results)
        assert len(load.results) > count_before
        assert list_failed(load.results[-4:]) == []

    async def freeze_and_pause(self, frozen, paused):
        frozen.links.switch(freeze_to=True)
        paused.entry.signal(SIGSTOP)
        await sleep(FAULT_S)
        paused.entry.signal(SIGCONT)
        frozen.links.switch()

    async def cut_and_kill(self, cluster, cut, killed):
        cut.links.switch(cut=True)
        killed.entry.signal(SIGKILL)
        await sleep(FAULT_S)
        cut.links.switch()
        await cluster.start_entry(killed)
        await sleep(FAULT_S)


class TestConfiguration:
    async def test_change_is_in_force_over_poor_links(self, relayed_cluster):
        switch_links(relayed_cluster.instances, delay_s=DELAY_S)
        serial = await apply_change(relayed_cluster, 1)
        await wait_config(relayed_cluster, serial, relayed_cluster.instances)
        switch_links(relayed_cluster.instances)
        frozen, *others = relayed_cluster.instances
        frozen.links.store.switch(freeze_from=True)
        frozen.links.agent.switch(freeze_from=True)
        relayed_cluster.admin.close()
        relayed_cluster.admin = relayed_cluster.create_admin(others)
        serial = await apply_change(relayed_cluster, serial)
        await gather(
            wait_config(relayed_cluster, serial, others),
            wait_config(relayed_cluster, serial, [frozen]),
        )
