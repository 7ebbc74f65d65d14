"""Complete fleets in virtual time, under random or scripted faults."""

from asyncio import create_task
from asyncio import sleep

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.store_feed import Kind
from tests.model.callers import CallerBehaviour
from tests.model.faults import FaultInjector
from tests.model.run import run_seed

SEEDS = range(10)
# All instances together may exceed the rate by a tenth.
MAX_TOTAL_SHARE = 1.1


class TestRandomFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_invariants_hold(self, seed):
        assert run_seed(seed) == []


class TestColdUpstreams:
    @pytest.mark.parametrize("domain", ["ca", "ga", "sa"])
    @pytest.mark.parametrize("seed", range(4))
    def test_lost_domain_does_not_flood_its_upstreams(self, domain, seed):
        """Guards against floods of upstreams that restart with a domain.

        They are cold, while their registrations in the store may still
        describe them as they were before the power loss.
        """

        async def cut_domain_power(fleet, operator, random):
            await FaultInjector(fleet, operator, random).cut_domain_power(
                domain, 1.2
            )

        assert run_seed(seed, script=cut_domain_power) == []

    def test_isolated_instance_floods_nothing_after_an_evacuation(self):
        """Guards against floods by an instance that gets no updates.

        It does not learn that an evacuation ended and that upstreams
        are cold after it.
        """
        assert run_seed(4061) == []

    @pytest.mark.parametrize("seed", [2103, 3141])
    def test_restart_too_short_to_fail_a_request_floods_nothing(self, seed):
        """Guards against floods after a restart without failed requests.

        The upstream is down so briefly that no exchange with it fails
        in time to show the restart.
        """
        assert run_seed(seed) == []


async def stream_changes(fleet, span_s):
    """Change an upstream's registration ten times a second."""
    upstream = fleet.upstreams["10.9.0.0:80"]
    for number in range(int(span_s * 10)):
        registration = {
            **upstream.build_registration(),
            "sequence": 1000 + number,
        }
        fleet.store.put(Kind.UPSTREAM, upstream.name, registration)
        await sleep(0.1)


class TestFollowing:
    def test_instances_recover_from_silent_watches_in_a_change_stream(self):
        """Guards against instances that never catch up again.

        Their watches go silent while changes keep coming, ten a
        second.
        """

        async def silence_some(fleet, operator, random):
            # Every watch begins anew just before it goes silent.
            await stream_changes(fleet, 0.2)
            await sleep(0.2)
            for instance in list(fleet.instances.values())[1:]:
                instance.links.silence()
            change_stream = create_task(stream_changes(fleet, 6.0))
            await sleep(1.6)
            await operator.drain(fleet.upstreams["10.9.0.3:80"])
            await change_stream

        assert run_seed(5, script=silence_some) == []

    @pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
    def test_change_is_applied_after_all_readers_are_cut_off(self, phase_s):
        """Guards against instances that turn to the store too late.

        Three instances whose records the others read lose the store just
        before a change, and their peers 1.7 s later.
        """

        async def lose_readers(fleet, operator, random):
            readers = list(fleet.instances.values())[:3]
            await sleep(2.0 + phase_s)
            for instance in readers:
                instance.links.reaches_store = False
                instance.links.hears_store = False
            await sleep(0.01)
            operator.change_config()
            await sleep(1.7)
            for instance in readers:
                instance.links.reaches_peers = False

        assert run_seed(3, script=lose_readers) == []

    @pytest.mark.parametrize("seed", range(3))
    def test_drain_is_applied_after_every_watch_went_silent(self, seed):
        """Guards against silent watches that are detected too late.

        All watches go silent at once, so that a drain or an evacuation
        would miss the bound on its propagation.
        """

        async def silence_all(fleet, operator, random):
            # Every watch begins anew just before it goes silent.
            await stream_changes(fleet, 0.2)
            operator.change_config()
            await sleep(0.2)
            for instance in fleet.instances.values():
                instance.links.silence()
            await sleep(1.6)
            await operator.drain(fleet.upstreams["10.9.0.3:80"])
            await operator.evacuate("cb", 8.0)

        assert run_seed(seed, script=silence_all) == []


class TestQuotas:
    def test_instances_that_start_together_share_a_rate(self):
        """Guards against the complete rate at each starting instance.

        All instances are killed and started together.
        """
        sums = []

        async def restart_all(fleet, operator, random):
            instances = list(fleet.instances.values())
            for instance in instances:
                fleet.kill(instance)
            await sleep(0.5)
            for instance in instances:
                fleet.start(instance)
            for _ in range(150):
                await sleep(0.02)
                sums.append(sum_shares(instances))

        run_seed(1, script=restart_all)
        assert max(sums) <= MAX_TOTAL_SHARE


def sum_shares(instances):
    """Return the sum of the shares of a rate after all have used it."""
    now = read_monotonic()
    shares = []
    for instance in instances:
        if instance.process is not None:
            quotas = instance.process._quotas
            quotas.take_token("w", 100.0, 100.0, now, max_wait_s=0.0)
            shares.append(quotas.get_share("w"))
    return sum(shares)


def select_violations(found, rule):
    return [
        violation
        for violation in found
        if getattr(violation, "rule", None) == rule
    ]


CHANGED_TIMEOUTS_S = (1.2, 0.4, 0.7)


async def slow_down_two(fleet, operator, random):
    """Slow down the event loops of two instances for the run."""
    for instance in list(fleet.instances.values())[:2]:
        instance.iteration_s = 0.35
    await sleep(6.0)


class TestCallers:
    @pytest.mark.parametrize("seed", [7100, 7101, 7102])
    @pytest.mark.parametrize("is_noticed", [True, False])
    def test_nothing_is_sent_for_disconnected_callers(self, seed, is_noticed):
        """Guards against sends for disconnected callers (rule "gone").

        Many callers disconnect early while two instances are slow.
        """
        behaviour = CallerBehaviour(
            disconnect_fraction=0.4, within_s=0.2, is_detected=is_noticed
        )
        found = run_seed(
            seed, behaviour=behaviour, load=2.5, script=slow_down_two
        )
        assert select_violations(found, "gone") == []

    @pytest.mark.parametrize("seed", [7200, 7201, 7202])
    def test_changed_timeouts_hold_under_faults(self, seed):
        """Guards against requests held past the route's timeout.

        New versions of the configuration (CONFIG) change the timeout
        while faults occur.  Such requests violate the rule "held".
        """
        found = run_seed(seed, timeouts=CHANGED_TIMEOUTS_S, load=2.5)
        assert select_violations(found, "held") == []
