"""Cut, frozen and delayed links, alone and with process failures."""

from asyncio import gather
from asyncio import sleep
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP

from tests.processes.load import BOOKING
from tests.processes.load import check_single_runs
from tests.processes.load import end_load
from tests.processes.load import list_bad
from tests.processes.load import ROUNDS
from tests.processes.load import start_load
from tests.processes.load import wait_config

FAULT_S = 2.5
APART_S = 5.0
DELAY_S = 0.2


def switch_links(instances, **switches):
    for instance in instances:
        instance.links.switch(**switches)


async def count_alive(cluster):
    status = await cluster.admin.read_status()
    return sum(member["alive"] for member in status["members"])


async def apply_change(cluster, base):
    text = cluster.rules.read_text(encoding="utf-8")
    text += f"workspace extra-{base} rate=1 burst=1 # tests\n"
    applied = await cluster.admin.apply(text, base, f"writer-{base}")
    return applied["serial"]


class TestAllApart:
    async def test_every_instance_serves_on_by_itself(self, relayed):
        load, tasks = await start_load(relayed, ROUNDS, period_s=1.0)
        switch_links(relayed.instances, cut=True)
        await sleep(APART_S)
        apart = list(load.results)
        assert await count_alive(relayed) == 1
        switch_links(relayed.instances)
        await end_load(load, tasks)
        assert len(apart) >= 12
        assert list_bad(apart) == []
        serial = await apply_change(relayed, 1)
        await wait_config(relayed, serial, relayed.instances)


class TestSingleRuns:
    async def test_bookings_run_once_whatever_the_links_do(self, relayed):
        load, tasks = await start_load(relayed, BOOKING)
        first, second, third = relayed.instances[:3]
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
        await self.cut_and_kill(relayed, second, first)
        healed = len(load.results)
        await sleep(FAULT_S)
        await end_load(load, tasks)
        await check_single_runs(relayed, load.results)
        assert len(load.results) > healed
        assert list_bad(load.results[-4:]) == []

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
    async def test_change_is_in_force_over_poor_links(self, relayed):
        switch_links(relayed.instances, delay_s=DELAY_S)
        serial = await apply_change(relayed, 1)
        await wait_config(relayed, serial, relayed.instances)
        switch_links(relayed.instances)
        deaf, *others = relayed.instances
        deaf.links.store.switch(freeze_from=True)
        deaf.links.agent.switch(freeze_from=True)
        relayed.admin.close()
        relayed.admin = relayed.create_admin(others)
        serial = await apply_change(relayed, serial)
        await gather(
            wait_config(relayed, serial, others),
            wait_config(relayed, serial, [deaf]),
        )
