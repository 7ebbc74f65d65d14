"""Fleets whose store is restored from an older copy, in virtual time."""

from asyncio import create_task
from asyncio import sleep

import pytest

from gypsummount._edge.store_feed import Kind
from tests.model.faults import FaultInjector
from tests.model.run import run_seed
from tests.model.run import WARM_UP_S

SEEDS = range(8)
FAULT_SPAN_S = 8.0
COPY_AGE_S = 2.0
OUTAGE_S = 0.3
# Eight instances make some 6 calls a second when nothing happens.
MAX_CALLS_PER_S = 10.0
# By then, no instance has registered yet.
BEFORE_REGISTRATION_S = 0.0005


class TestRandomFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_invariants_hold_when_the_store_is_restored(self, seed):
        """Guards against withdrawn keys, rollbacks and ended evacuations.

        The store is restored at a random time of other random faults.
        """

        async def restore_among_faults(fleet, operator, random):
            injector = FaultInjector(fleet, operator, random)
            create_task(operator.evacuate("cb", random.uniform(4.0, 9.0)))
            faults = create_task(
                injector.run(FAULT_SPAN_S, random.randint(1, 3))
            )
            await sleep(random.uniform(0.5, FAULT_SPAN_S - 1.0))
            await injector.restore_store()
            await faults

        assert run_seed(seed, script=restore_among_faults) == []


class TestLostConfiguration:
    @pytest.mark.parametrize("seed", range(3))
    def test_starting_instances_do_not_use_the_older_version(self, seed):
        """Guards against keys that only the store's old copy still has.

        All instances that read the store at their start, and so know only
        the copy, are restarted before the operator repeats the change.
        """

        async def restart_seeds(fleet, operator, random):
            operator.change_config()
            await sleep(1.5)
            seeds = list(fleet.instances.values())[:3]
            restore = create_task(
                operator.restore_store(COPY_AGE_S, OUTAGE_S, 6.0)
            )
            await sleep(OUTAGE_S + 0.2)
            for instance in seeds:
                fleet.kill(instance)
            await sleep(0.5)
            for instance in seeds:
                fleet.start(instance)
            await restore

        assert run_seed(seed, script=restart_seeds) == []

    def test_missing_configuration_costs_few_calls(self):
        """Guards against a fleet that reads the store while it waits.

        No read can renew the proofs until the operator repeats the change,
        and then one instance of each region is to read first.
        """
        calls = []

        async def wait_for_the_operator(fleet, operator, random):
            operator.change_config()
            await sleep(1.5)
            restore = create_task(
                operator.restore_store(COPY_AGE_S, OUTAGE_S, 12.0)
            )
            await sleep(4.0)
            before = fleet.store.calls
            await sleep(6.0)
            calls.append((fleet.store.calls - before) / 6.0)
            for instance in fleet.instances.values():
                assert instance.process.replica.is_catalog_withheld
            await restore
            before = fleet.store.calls
            await sleep(3.0)
            calls.append((fleet.store.calls - before) / 3.0)

        assert run_seed(1, script=wait_for_the_operator) == []
        assert max(calls) < MAX_CALLS_PER_S


class TestRegistrations:
    def test_instances_register_again(self):
        names = []

        async def lose_registrations(fleet, operator, random):
            age_s = WARM_UP_S + OUTAGE_S - BEFORE_REGISTRATION_S
            await operator.restore_store(age_s, OUTAGE_S, 0.2)
            assert not fleet.store.objects[Kind.INSTANCE]
            await sleep(6.0)
            names.extend(fleet.store.objects[Kind.INSTANCE])

        assert run_seed(2, script=lose_registrations) == []
        assert len(names) == 8
