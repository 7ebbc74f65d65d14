"""Random faults of the instances that hold or seek a duty."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.core.lease_fleet import Fleet
from tests.core.lease_fleet import LEASE_S
from tests.core.lease_fleet import Watch

# Faults of a random run: kind, time until the next one (s), index of the
# instance, and a duration (s).
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["pause", "cut", "kill", "start", "down", "restore", "stop"]
            + ["restore after pause", "refuse", "rank"]
        ),
        st.floats(0.0, 4.0),
        st.integers(0, 7),
        st.floats(0.1, 6.0),
    ),
    max_size=14,
)


def inject(fleet, kind, index, duration_s):
    names = sorted(fleet.instances)
    holders = fleet.list_holders()
    # Most faults that matter are those of the holder.
    name = names[index % len(names)] if names else ""
    if holders and index < 4:
        name = holders[0].name
    instance = fleet.instances.get(name)
    if kind == "down":
        fleet.down_until = fleet.now + duration_s
    elif kind == "restore":
        fleet.store.restore(duration_s)
    elif kind == "rank":
        fleet.rank()
    elif kind == "start" and fleet.dead:
        fleet.start(sorted(fleet.dead)[index % len(fleet.dead)])
        fleet.rank()
    elif instance is None:
        return
    elif kind == "kill":
        fleet.kill(name)
    elif kind == "pause":
        instance.paused_until = fleet.now + duration_s
    elif kind == "restore after pause":
        instance.paused_until = fleet.now + duration_s
        fleet.run(duration_s)
        fleet.store.restore(duration_s)
    elif kind == "cut":
        instance.cut_until = fleet.now + duration_s
    elif kind == "stop":
        instance.machine.begin_release(instance.read_clock(fleet.now))
        instance.machine.set_rank(None)
    elif kind == "refuse":
        now = instance.read_clock(fleet.now)
        instance.machine.record_refusal(instance.machine.token, now)


class TestFaults:
    @settings(max_examples=150, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([0.0, 0.05, 0.2]),
        FAULTS,
    )
    def test_duty_has_one_holder_and_rising_tokens(
        self, seed, loss_rate, faults
    ):
        """Guards against two holders at once and tokens that do not rise.

        Also against a duty that alternates between two instances.  The
        faults are pauses, cuts, lost responses, late writes, kills,
        restarts, planned stops, refusals and restored stores.
        """
        fleet = Fleet(Random(seed))
        fleet.loss_rate = loss_rate
        watch = Watch()
        for kind, delay_s, index, duration_s in faults:
            fleet.run(delay_s, watch)
            inject(fleet, kind, index, duration_s)
        fleet.run(5.0, watch)

    @settings(max_examples=50, deadline=None)
    @given(st.integers(0, 2**32), FAULTS)
    def test_duty_is_held_again_after_the_faults(self, seed, faults):
        """Guards against faults after which nobody takes the duty."""
        fleet = Fleet(Random(seed))
        for kind, delay_s, index, duration_s in faults:
            fleet.run(delay_s)
            inject(fleet, kind, index, duration_s)
        fleet.down_until = 0.0
        fleet.start("a")
        fleet.start("b")
        fleet.rank(names=["a", "b"])
        fleet.run(6.0 + 4 * LEASE_S)
        assert len(fleet.list_holders()) == 1
