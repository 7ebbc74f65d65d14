"""Usage counts and reports of a fleet, without a network."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._core.usage_reports import encode_payload
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.usage_messages import decode_news
from gypsummount._edge.usage_messages import NEWS_MARK
from tests.edge.usage_fleet import Clock
from tests.edge.usage_fleet import Fleet
from tests.edge.usage_fleet import install
from tests.edge.usage_fleet import Lease
from tests.edge.usage_fleet import WINDOW


@pytest.fixture
def clock(monkeypatch):
    created = Clock()
    install(created, monkeypatch.setattr)
    return created


class TestReports:
    async def test_every_window_is_reported_exactly(self, clock):
        fleet = Fleet(clock, 8)
        await fleet.run(40)
        fleet.check_all_reported(max_error=0)

    async def test_lost_and_repeated_datagrams_change_nothing(self, clock):
        """Guards against counts that need every datagram."""
        fleet = Fleet(clock, 8, seed=3)
        fleet.loss = 0.3
        await fleet.run(40)
        assert len(fleet.check_reports(max_error=0)) >= 5

    async def test_window_is_reported_well_before_it_is_due(self, clock):
        fleet = Fleet(clock, 8)
        await fleet.run(5 + 5)
        assert fleet.check_reports() == [WINDOW]

    async def test_few_datagrams_are_sent(self, clock):
        """Guards against messages by request or by pair of instances."""
        fleet = Fleet(clock, 12)
        await fleet.run(30)
        # A part and a final one to two receivers a second, with answers.
        assert fleet.datagrams / 12 / 30 <= 6

    async def test_counts_are_dropped_once_they_are_reported(self, clock):
        fleet = Fleet(clock, 4)
        await fleet.run(60)
        for instance in fleet.instances.values():
            assert len(instance.usage.counts.list_windows()) <= 4

    async def test_stopped_instance_sends_its_last_counts(self, clock):
        """Guards against a planned stop that costs counts."""
        fleet = Fleet(clock, 6)
        await fleet.run(12)
        await fleet.instances[4].usage.finish()
        fleet.deliver()
        fleet.instances[4].is_running = False
        await fleet.run(20)
        assert len(fleet.check_reports(max_error=0)) >= 5


class TestLostInstances:
    async def test_killed_instance_costs_a_second_at_most(self, clock):
        """Guards against windows missed, or wrong, after each kill."""
        fleet = Fleet(clock, 12)
        await fleet.run(13)
        fleet.instances[5].is_running = False
        await fleet.run(30)
        # Eleven of twelve instances sent all, the other but a second.
        fleet.check_all_reported(max_error=0.03)

    async def test_restarted_instance_adds_to_its_predecessor(self, clock):
        fleet = Fleet(clock, 12)
        await fleet.run(12)
        fleet.instances[5].is_running = False
        await fleet.run(1)
        fleet.start(5)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0.03)

    async def test_window_of_a_cut_off_domain_is_missed(self, clock):
        """Guards against reports that lack a part that still serves."""
        fleet = Fleet(clock, 6)
        await fleet.run(11)
        fleet.cut = {fleet.instances[number].digest.host for number in (2, 5)}
        await fleet.run(30)
        windows = fleet.check_reports()
        assert WINDOW + 1 in windows
        assert WINDOW + 2 not in windows
        assert WINDOW + 3 not in windows

    async def test_cut_that_heals_in_time_misses_nothing(self, clock):
        fleet = Fleet(clock, 6)
        await fleet.run(11)
        fleet.cut = {fleet.instances[number].digest.host for number in (2, 5)}
        await fleet.run(6)
        fleet.cut = set()
        await fleet.run(20)
        fleet.check_all_reported(max_error=0)


class TestNewHolder:
    async def test_candidate_continues_after_a_kill(self, clock):
        """Guards against windows lost with the holder that collected them."""
        fleet = Fleet(clock, 12)
        await fleet.run(13)
        fleet.instances[0].is_running = False
        await fleet.run(4)
        fleet.elect(1, candidate=2)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0.03)

    async def test_any_other_instance_gets_all_counts_again(self, clock):
        """Guards against a holder that knows only what is sent next."""
        fleet = Fleet(clock, 8)
        await fleet.run(14)
        fleet.elect(6)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0)

    async def test_restored_store_causes_no_second_report(self, clock):
        """Guards against other counts for a window of a lost record."""
        fleet = Fleet(clock, 8)
        await fleet.run(15)
        fleet.call_outcomes = [DutyOutcome.UNKNOWN]
        await fleet.run(4)
        assert fleet.instances[0].usage._reports.recorded == WINDOW + 2
        fleet.call_outcomes = None
        # The store returns without the last record, and the holder is gone.
        del fleet.stored[-1:]
        fleet.instances[0].is_running = False
        fleet.elect(1, candidate=2)
        await fleet.run(20)
        counts = fleet.instances[1].usage._reporter._metrics.read_counts()
        assert counts["usage.windows_missed.record_lost"] == 1
        assert fleet.check_reports()[-1] > WINDOW + 3

    async def test_write_that_ends_under_another_token_does_not_count(
        self, clock, monkeypatch
    ):
        """Guards against calls for a record that a later holder replaced."""

        async def write_payload(lease, payload):
            lease.fleet.elect(0)
            return True

        monkeypatch.setattr(Lease, "write_payload", write_payload)
        fleet = Fleet(clock, 3)
        await fleet.run(2)
        fleet.stored.append(encode_payload(WINDOW - 1, WINDOW - 1, []))
        fleet.elect(0)
        await fleet.run(16)
        assert fleet.token > 3
        assert fleet.calls == {}

    async def test_lost_response_is_repeated_exactly(self, clock):
        """Guards against a retry with counts that came later."""
        fleet = Fleet(clock, 6, seed=1)
        fleet.call_outcomes = [DutyOutcome.UNKNOWN, DutyOutcome.DONE]
        fleet.loss = 0.2
        await fleet.run(60)
        assert len(fleet.check_reports()) >= 8

    async def test_endpoint_that_is_down_costs_its_windows_only(self, clock):
        fleet = Fleet(clock, 4)
        await fleet.run(10)
        fleet.call_outcomes = [DutyOutcome.OVERLOADED]
        await fleet.run(16)
        fleet.call_outcomes = None
        await fleet.run(16)
        metrics = fleet.instances[0].usage._reporter._metrics.read_counts()
        assert metrics["usage.windows_missed.unanswered"] >= 1
        assert metrics["usage.retries"] >= 3
        assert fleet.check_reports(max_error=0)[-1] >= WINDOW + 6

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_no_window_has_two_reports_whatever_fails(self, seed):
        """Guards against two reports of a window under mixed failures."""
        run_disturbed(seed)


def run_disturbed(seed):
    """Run a fleet in which holders, messages, writes and calls fail."""
    clock = Clock()
    patch = pytest.MonkeyPatch()
    install(clock, patch.setattr)
    try:
        fleet = Fleet(clock, 6, seed)
        fleet.loss = fleet.random.choice((0.0, 0.1, 0.3))
        fleet.write_loss = fleet.random.choice((0.0, 0.2))
        fleet.call_outcomes = [
            DutyOutcome.DONE,
            DutyOutcome.UNKNOWN,
            DutyOutcome.OVERLOADED,
        ]
        coroutine = disturb(fleet)
        with pytest.raises(StopIteration):
            coroutine.send(None)
    finally:
        patch.undo()
    return fleet


async def disturb(fleet):
    random = fleet.random
    for _ in range(12):
        await fleet.run(random.choice((2, 4, 6)))
        if random.random() < 0.3:
            lost = random.randint(0, 2)
            fleet.stored = fleet.stored[: len(fleet.stored) - lost] or [""]
            fleet.token += 1
        if random.random() < 0.5:
            number = random.randrange(6)
            fleet.start(number)
        if random.random() < 0.6 or fleet.token != fleet.holder.token:
            fleet.elect(random.randrange(6), random.randrange(6))


class TestMessages:
    async def test_record_is_announced_before_the_call(self, clock):
        """Guards against a holder that is killed while its call runs."""
        fleet = Fleet(clock, 5)
        announced = []

        def take_call(token, report):
            announced.append(
                {
                    receiver
                    for data, sender, receiver in fleet.pending
                    if data.startswith(NEWS_MARK)
                    and decode_news(data).recorded == report[0]
                }
            )
            return DutyResult(DutyOutcome.DONE)

        fleet.take_call = take_call
        await fleet.run(8)
        others = [fleet.instances[number] for number in range(1, 5)]
        assert announced == [{other.digest.host for other in others}]

    async def test_receiver_that_has_restarted_gets_all_again(self, clock):
        """Guards against counts that only its earlier process had."""
        fleet = Fleet(clock, 3)
        # The final counts of the first window are acknowledged and kept.
        fleet.call_outcomes = [DutyOutcome.OVERLOADED]
        await fleet.run(8)
        fleet.start(1)
        await fleet.run(3)
        collection = fleet.instances[1].usage._collection
        found = fleet.instances[0].usage.counts.get_part(WINDOW, 0, clock.at)
        source = fleet.instances[0].usage._own
        kept = collection._sources[source].windows[WINDOW]
        assert kept.parts[0].counts == found.counts


class TestInvalidMessages:
    @given(st.binary(max_size=120), st.sampled_from([b"U", b"K", b"N"]))
    def test_unreadable_datagrams_change_nothing(self, data, mark):
        """Guards against a datagram of another program that ends a task."""
        clock = Clock()
        patch = pytest.MonkeyPatch()
        install(clock, patch.setattr)
        try:
            fleet = Fleet(clock, 2)
            handlers = fleet.instances[0].gossip.handlers
            handlers[b"\xff" + mark](b"\xff" + mark + data, "127.0.0.9")
        finally:
            patch.undo()
        usage = fleet.instances[0].usage
        assert usage.list_gauges()["usage_recorded_window"] == -1
        assert usage._collection.sum_counts(WINDOW) == {}
