"""Leases of duties over a store and instances that fail."""

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.duty_leases import LeaseMachine
from gypsummount._core.lease_actions import ActionKind
from gypsummount._core.lease_actions import LeaseEvent
from gypsummount._core.lease_records import choose_token
from gypsummount._core.lease_records import ERA_SHIFT
from gypsummount._core.lease_records import MAX_TOKEN
from tests.core.lease_fleet import Fleet
from tests.core.lease_fleet import LEASE_S
from tests.core.lease_fleet import Watch


@pytest.fixture
def fleet():
    """A fleet in which ``a`` holds the lease, ``b`` and ``c`` poll."""
    created = Fleet(Random(1))
    created.rank(names=["a"])
    created.run(5.0)
    assert [holder.name for holder in created.list_holders()] == ["a"]
    created.rank(names=["b", "c"])
    created.run(5.0)
    return created


def wait_for_holder(fleet, name, limit_s):
    """Return the time until an instance holds the lease."""
    started_at = fleet.now
    while fleet.now < started_at + limit_s:
        fleet.tick()
        if [holder.name for holder in fleet.list_holders()] == [name]:
            return fleet.now - started_at
    raise AssertionError(f"{name} does not hold the lease")


class TestTakeover:
    def test_killed_holder_is_replaced_by_the_first_candidate(self, fleet):
        fleet.kill("a")
        assert wait_for_holder(fleet, "b", 2 * LEASE_S) > LEASE_S / 2

    def test_second_candidate_replaces_a_lost_region(self, fleet):
        fleet.kill("a")
        fleet.kill("b")
        wait_for_holder(fleet, "c", 2 * LEASE_S)

    def test_suspended_holder_does_not_hold_when_it_wakes(self, fleet):
        fleet.instances["a"].paused_until = fleet.now + 7.0
        wait_for_holder(fleet, "b", 2 * LEASE_S)
        fleet.run(5.0, Watch())
        assert not fleet.instances["a"].is_holding(fleet.now)

    def test_holder_without_the_store_stops_at_its_expiry(self, fleet):
        """Guards against a holder that acts on while the store is down.

        Nobody takes over without the store either.
        """
        fleet.down_until = fleet.now + 10.0
        fleet.run(2.0)
        # The last renewal was sent up to 1 s before.
        fleet.run(LEASE_S - 2.0)
        assert not fleet.list_holders()
        fleet.run(7.0)
        assert not fleet.list_holders()
        fleet.run(LEASE_S)
        assert len(fleet.list_holders()) == 1

    def test_released_lease_is_taken_without_waiting(self, fleet):
        holder = fleet.instances["a"]
        holder.machine.begin_release(holder.read_clock(fleet.now), "last")
        assert not holder.is_holding(fleet.now)
        wait_for_holder(fleet, "b", 1.5)
        assert fleet.instances["b"].machine.payload == "last"

    def test_announced_release_is_read_early(self, fleet):
        """Guards against a hand-over that waits for the next poll."""
        while fleet.instances["b"].call is None:
            fleet.tick()
        fleet.run(0.25)
        for name in "ab":
            instance = fleet.instances[name]
            now = instance.read_clock(fleet.now)
            instance.machine.begin_release(now)
            instance.machine.poll_early(now)
        assert wait_for_holder(fleet, "b", 1.0) < 0.8

    def test_restarted_holder_does_not_hold_the_old_lease(self, fleet):
        """Guards against a lease that a restarted process still uses.

        The process before it had the same name.
        """
        fleet.kill("a")
        fleet.start("a")
        fleet.rank(names=["a", "b"])
        token = fleet.store.record.token
        assert wait_for_holder(fleet, "a", 2 * LEASE_S) > LEASE_S
        assert fleet.instances["a"].machine.token > token

    def test_calls_do_not_grow_with_the_fleet(self, fleet):
        for name in "efgh":
            fleet.start(name)
        calls = fleet.store.calls
        fleet.run(60.0)
        # One renewal and one read a second, half as many of the second.
        assert fleet.store.calls - calls <= 60 * 2.6


class TestReturn:
    def test_released_lease_does_not_return_within_a_lease(self, fleet):
        """Guards against a duty that alternates between two instances.

        The endpoint would see the holders A, B and A in a short time.
        """
        watch = Watch()
        watch(fleet)
        holder = fleet.instances["a"]
        holder.machine.begin_release(holder.read_clock(fleet.now))
        wait_for_holder(fleet, "b", 1.5)
        watch(fleet)
        fleet.rank(names=["a"])
        holder = fleet.instances["b"]
        holder.machine.begin_release(holder.read_clock(fleet.now))
        fleet.run(2 * LEASE_S, watch)
        assert fleet.instances["a"].is_holding(fleet.now)

    def test_expired_lease_is_resumed_if_nobody_else_took_it(self, fleet):
        """Guards against a wait of the only instance left."""
        for name in "bcd":
            fleet.kill(name)
        fleet.instances["a"].paused_until = fleet.now + 2 * LEASE_S
        fleet.run(2 * LEASE_S)
        assert not fleet.list_holders()
        wait_for_holder(fleet, "a", 1.0)


class TestRestore:
    def test_holder_keeps_the_duty_across_a_restore(self, fleet):
        """Guards against a gap and against a token that does not rise.

        The store has lost the record of the present holder.
        """
        token = fleet.instances["a"].machine.token
        fleet.store.restore(100.0)
        fleet.run(2.0, Watch())
        assert [holder.name for holder in fleet.list_holders()] == ["a"]
        assert fleet.instances["a"].machine.token >> ERA_SHIFT == 2
        assert fleet.instances["a"].machine.token > token

    def test_candidate_that_slept_does_not_take_a_restored_lease(self, fleet):
        """Guards against a write at a revision that is used again.

        The restored store has lost the holder's later renewals.
        """
        fleet.instances["b"].paused_until = fleet.now + 4.0
        fleet.run(4.0)
        fleet.store.restore(4.0)
        watch = Watch()
        watch(fleet)
        fleet.run(2 * LEASE_S, watch)
        assert fleet.instances["a"].is_holding(fleet.now)

    def test_restored_release_is_not_taken_while_another_acts(self):
        """Guards against a takeover of a release that the copy shows.

        The next holder was lost with the copy, but still acts.
        """
        fleet = Fleet(Random(2), size=3)
        fleet.rank(names=["a", "b"])
        fleet.run(5.0)
        holder = fleet.instances["a"]
        fleet.rank(names=["b", "c"])
        fleet.run(5.0)
        holder.machine.begin_release(holder.read_clock(fleet.now))
        wait_for_holder(fleet, "b", 3.0)
        fleet.instances["b"].cut_until = fleet.now + LEASE_S
        while not fleet.store.record.is_released:
            fleet.store.copies.pop()
            fleet.store.restore(0.0)
        watch = Watch()
        watch(fleet)
        fleet.run(2 * LEASE_S, watch)
        assert fleet.list_holders()


class TestWrites:
    """Writes whose response is lost, on one machine."""

    @pytest.fixture
    def machine(self):
        return LeaseMachine("usage", "a", 7, LEASE_S, 0.0)

    def acquire(self, machine):
        machine.set_rank(0)
        machine.record_reading(None, 0, 0.0)
        action = machine.decide(4.0)
        assert action.kind is ActionKind.WRITE
        return self.store(machine, action.record, 1, 4.1)

    def store(self, machine, record, revision, now):
        stored = store_record(record, revision)
        machine.record_written(stored, now)
        return stored

    def test_lease_counts_from_the_send(self, machine):
        """Guards against a count from a response that was long delayed."""
        machine.set_rank(0)
        machine.record_reading(None, 0, 0.0)
        record = machine.decide(4.0).record
        self.store(machine, record, 1, 6.5)
        assert machine.is_held(6.5)
        assert not machine.is_held(4.0 + LEASE_S - 0.1)

    def test_own_write_is_recognized_after_a_conflict(self, machine):
        """Guards against a holder that gives up for a lost response.

        The response was that to its own renewal.
        """
        self.acquire(machine)
        lost = machine.decide(5.2).record
        machine.record_unknown(6.2, is_write=True)
        retry = machine.decide(6.45)
        assert retry.record.revision == 1
        machine.record_conflict(6.5)
        assert machine.decide(6.5).kind is ActionKind.READ
        machine.record_reading(store_record(lost, 2), 0, 6.55)
        # Counted from the send of the write that was executed.
        assert machine.is_held(5.2 + LEASE_S - 0.2)
        assert not machine.is_held(5.2 + LEASE_S)

    def test_holder_that_reads_another_holder_stops(self, machine):
        stored = self.acquire(machine)
        machine.decide(5.2)
        machine.record_conflict(5.3)
        assert machine.decide(5.3).kind is ActionKind.READ
        token = machine.token + 1
        taken = replace(stored, holder="b", token=token, revision=2)
        machine.record_reading(taken, 0, 5.4)
        assert not machine.is_held(5.4)
        assert machine.take_events()[-1] is LeaseEvent.LOST

    def test_payload_is_written_at_once(self, machine):
        self.acquire(machine)
        serial = machine.set_payload("window 1")
        action = machine.decide(4.2)
        assert action.record.payload == "window 1"
        assert machine.written_serial < serial
        self.store(machine, action.record, 2, 4.3)
        assert machine.written_serial == serial
        assert machine.payload == "window 1"
        assert machine.decide(4.3).kind is ActionKind.WAIT

    def test_write_acknowledged_by_a_later_era_does_not_count(self, machine):
        """Guards against a takeover by a write that is executed late.

        The restored store executed it, and another may hold the lease.
        """
        machine.set_rank(0)
        machine.record_reading(None, 1, 0.0)
        record = machine.decide(4.0).record
        machine.record_written(store_record(record, 1, era=2), 4.1)
        assert not machine.is_held(4.1)


class TestRefusals:
    def test_refused_holder_gives_up_and_the_step_doubles(self):
        """Guards against calls with a token that the endpoint refuses.

        The endpoint has seen a higher one, which the store has lost.
        """
        fleet = Fleet(Random(3), size=3)
        fleet.rank(names=["a", "b"])
        fleet.run(6.0)
        steps = []
        for _ in range(3):
            holder = fleet.list_holders()[0]
            token = holder.machine.token
            now = holder.read_clock(fleet.now)
            holder.machine.record_refusal(token, now)
            assert not holder.is_holding(fleet.now)
            fleet.rank()
            fleet.run(3 * LEASE_S, Watch())
            new_holder = fleet.list_holders()[0]
            steps.append(new_holder.machine.token - token)
        least = (16, 32, 64)
        assert all(step >= low for step, low in zip(steps, least, strict=True))

    def test_executed_call_ends_the_larger_steps(self):
        fleet = Fleet(Random(3), size=3)
        fleet.rank(names=["a", "b"])
        fleet.run(6.0)
        holder = fleet.list_holders()[0]
        now = holder.read_clock(fleet.now)
        holder.machine.record_refusal(holder.machine.token, now)
        fleet.rank()
        fleet.run(3 * LEASE_S)
        holder = fleet.list_holders()[0]
        token = holder.machine.token
        holder.machine.record_execution(token)
        fleet.run(2.0)
        fleet.kill(holder.name)
        fleet.rank()
        fleet.run(3 * LEASE_S)
        assert fleet.list_holders()[0].machine.token == token + 1

    def test_late_renewal_of_a_refused_token_gives_no_lease(self):
        """Guards against a refused lease that a late response revives."""
        machine = LeaseMachine("usage", "a", 7, LEASE_S, 0.0)
        machine.set_rank(0)
        machine.record_reading(None, 0, 0.0)
        machine.record_written(store_record(machine.decide(4.0).record, 1), 4)
        renewal = machine.decide(6.8).record
        assert not machine.is_held(6.9)
        machine.record_refusal(machine.token, 6.9)
        machine.record_written(store_record(renewal, 2), 7.0)
        assert not machine.is_held(7.0)


class TestTokens:
    def test_token_of_a_later_era_is_higher(self):
        assert choose_token(5 + (1 << ERA_SHIFT), 2, 0, 0) == 1 + (
            2 << ERA_SHIFT
        )

    def test_token_is_above_the_revision_of_the_replaced_record(self):
        """Guards against a token that a lost record had already.

        A write sent before a restore may replace a record of the new era.
        """
        assert choose_token(5, 0, 40, 0) == 41

    def test_tokens_end_at_the_largest_exact_number(self):
        assert choose_token(MAX_TOKEN, 0, 0, 0) is None

    @given(
        st.integers(0, MAX_TOKEN),
        st.integers(0, 2**21),
        st.integers(0, MAX_TOKEN),
        st.integers(0, 10**9),
    )
    def test_token_always_rises(self, known, era, revision, refusals):
        token = choose_token(known, era, revision, refusals)
        assert token is None or max(known, revision) < token <= MAX_TOKEN


def store_record(record, revision, era=0):
    """Return a record as the store returns it."""
    return replace(record, revision=revision, era=era)
