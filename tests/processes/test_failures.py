"""Stopped, killed and paused processes, and outages of the store."""

from asyncio import gather
from asyncio import sleep
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM

import pytest

from gypsummount._common.clocks import read_monotonic
from tests.processes.load import check_single_runs
from tests.processes.load import CONFIG_TIMEOUT_S
from tests.processes.load import GET_RONDAS
from tests.processes.load import list_failed
from tests.processes.load import POST_RESERVAS
from tests.processes.load import start_load
from tests.processes.load import stop_load
from tests.processes.load import wait_config

OUTAGE_S = 8.0


async def read_member(cluster, instance):
    status = await cluster.admin.read_status()
    return next(
        member
        for member in status["members"]
        if member["instance"] == instance.name
    )


class TestPlannedStop:
    @pytest.mark.parametrize("count", [1, 3], ids=["one", "three"])
    async def test_stop_of_instances_cuts_no_request(self, cluster, count):
        load, tasks = await start_load(cluster, POST_RESERVAS)
        stopped = cluster.instances[1 : 1 + count]
        for instance in stopped:
            instance.entry.signal(SIGTERM)
            instance.agent.signal(SIGTERM)
        for instance in stopped:
            assert await instance.entry.wait(20) == 0
            assert await instance.agent.wait(20) == 0
        await sleep(1.0)
        await stop_load(load, tasks)
        assert len(load.results) > 20
        assert list_failed(load.results) == []
        await check_single_runs(cluster, load.results)

    async def test_agent_outlives_an_entry_stopped_just_after_it(
        self, cluster
    ):
        """Guards against an entry that serves on without its agent.

        The entry serves for ``drain_s`` and then tells the agent that it
        has retired; which process ends first after that does not matter.
        """
        instance = cluster.instances[1]
        instance.agent.signal(SIGTERM)
        await sleep(0.2)
        stopped_at = read_monotonic()
        instance.entry.signal(SIGTERM)
        assert await instance.agent.wait(20) == 0
        assert read_monotonic() - stopped_at >= cluster.drain_s
        assert await instance.entry.wait(20) == 0

    async def test_share_of_a_stopped_entry_is_redistributed(self, cluster):
        instance = cluster.instances[2]
        instance.entry.signal(SIGTERM)
        assert await instance.entry.wait(20) == 0

        async def is_redistributed():
            ledger = await cluster.fetch(
                cluster.store, "/objects/ledgers/workspaces"
            )
            # A budget is stored as its kind, rate, burst and accounts; an
            # account begins with the granted rate.
            rows = ledger["budgets"]["workspace:tarrazu"][3].values()
            total = ledger["budgets"]["workspace:tarrazu"][1]
            granted = sum(cells[0] for cells in rows)
            return len(rows) == 7 and granted >= 0.95 * total

        await cluster.wait_until(is_redistributed, 8.0)


class TestKills:
    async def test_killed_entry_runs_nothing_twice_and_is_replaced(
        self, cluster
    ):
        load, tasks = await start_load(cluster, POST_RESERVAS)
        instance = cluster.instances[0]
        instance.entry.signal(SIGKILL)
        await sleep(1.5)
        await cluster.start_entry(instance)
        await sleep(3.0)
        await stop_load(load, tasks)
        await check_single_runs(cluster, load.results)
        assert list_failed(load.results[-8:]) == []

    async def test_entry_serves_on_while_its_agent_is_dead(self, cluster):
        load, tasks = await start_load(cluster, GET_RONDAS)
        for instance in cluster.instances:
            instance.agent.signal(SIGKILL)
        await sleep(1.0)
        count_before = len(load.results)
        await sleep(3.0)
        await stop_load(load, tasks)
        late_results = load.results[count_before:]
        assert len(late_results) > 20
        assert list_failed(late_results) == []

    async def test_resumed_home_entry_runs_nothing_twice(self, cluster):
        load, tasks = await start_load(cluster, POST_RESERVAS)
        instance = cluster.instances[3]
        instance.entry.signal(SIGSTOP)
        await sleep(4.0)
        instance.entry.signal(SIGCONT)
        await sleep(2.0)
        await stop_load(load, tasks)
        await check_single_runs(cluster, load.results)


class TestStoreOutage:
    async def test_requests_are_served_through_a_long_outage(self, cluster):
        load, tasks = await start_load(cluster, GET_RONDAS)
        await cluster.switch_store(outage=True)
        await sleep(OUTAGE_S)
        status = await cluster.admin.read_status()
        assert status["store"]["contact"] == "lost"
        assert not status["store"]["keys_may_be_stale"]
        await stop_load(load, tasks)
        assert list_failed(load.results) == []

    async def test_instance_that_starts_during_it_gets_the_configuration(
        self, cluster
    ):
        await cluster.switch_store(outage=True)
        instance = cluster.instances[4]
        before = await read_member(cluster, instance)
        for running in (instance.entry, instance.agent):
            running.signal(SIGKILL)
            await running.wait(5)
        await cluster.start_agent(instance)
        await cluster.start_entry(instance)

        async def has_config():
            member = await read_member(cluster, instance)
            return (
                member["incarnation"] != before["incarnation"]
                and bool(member["entries"])
                and member["config_serial"] >= 1
            )

        await cluster.wait_until(has_config, CONFIG_TIMEOUT_S)

    async def test_kill_during_an_outage_runs_nothing_twice(self, cluster):
        load, tasks = await start_load(cluster, POST_RESERVAS)
        await cluster.switch_store(outage=True)
        cluster.instances[0].entry.signal(SIGKILL)
        await sleep(2.0)
        await cluster.switch_store(outage=False)
        await cluster.start_entry(cluster.instances[0])
        await sleep(2.0)
        await stop_load(load, tasks)
        await check_single_runs(cluster, load.results)


class TestConfiguration:
    async def test_one_of_several_concurrent_changes_is_accepted(
        self, cluster
    ):
        text = cluster.rules_path.read_text(encoding="utf-8")
        texts = [
            text + f"workspace extra-{index} rate=1 burst=1 # ops\n"
            for index in range(5)
        ]
        results = await gather(
            *(
                cluster.admin.apply(changed, 1, f"writer-{index}")
                for index, changed in enumerate(texts)
            ),
            return_exceptions=True,
        )
        accepted = [result for result in results if isinstance(result, dict)]
        assert len(accepted) == 1
        assert accepted[0]["serial"] == 2
        await wait_config(cluster, 2, cluster.instances)

    async def test_write_whose_answer_is_lost_applies_once(self, cluster):
        text = cluster.rules_path.read_text(encoding="utf-8")
        await cluster.switch_store(lose_answers=1)
        changed = text + "workspace extra rate=1 burst=1 # ops\n"
        after = await cluster.admin.apply(changed, 1, "writer")
        again = await cluster.admin.apply(changed, 1, "writer")
        assert after["serial"] == again["serial"] == 2
        await wait_config(cluster, 2, cluster.instances)

    async def test_refused_configuration_has_no_effect(self, cluster):
        before = await cluster.admin.read_config()
        try:
            await cluster.admin.apply("nonsense\n", 1, "writer")
        except Exception as error:
            assert "line 1" in str(error)
        else:
            raise AssertionError("a faulty configuration was accepted")
        assert await cluster.admin.read_config() == before
