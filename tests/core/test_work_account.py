"""Accounts of work, learned service times, fair shares and returns."""

import pytest

from gypsummount._core.completion_rate import CompletionRate
from gypsummount._core.completion_rate import MAX_RETURN_S
from gypsummount._core.completion_rate import ReturnTimes
from gypsummount._core.fair_usage import FairUsage
from gypsummount._core.queue_order import QueueEntry
from gypsummount._core.queue_order import QueueOrder
from gypsummount._core.service_times import classify_body
from gypsummount._core.service_times import Familiarity
from gypsummount._core.service_times import MAX_ROWS
from gypsummount._core.service_times import ServiceTimes
from gypsummount._core.work_account import AVERAGE_LIFE_S
from gypsummount._core.work_account import compute_known_since
from gypsummount._core.work_account import KNOWN_LIFE_S
from gypsummount._core.work_account import MAX_KNOWN_OBJECTS
from gypsummount._core.work_account import WorkAccount


class TestWait:
    """Load: an upstream of 4 slots whose requests take 0.1 s."""

    @pytest.fixture
    def account(self):
        created = WorkAccount()
        for _ in range(8):
            created.add(0.1, 0.0)
        return created

    def test_free_slot_means_no_wait(self, account):
        assert account.estimate_wait(3.0, 4, 0.1, 1.0, 0.0) == 0.0

    def test_wait_is_the_work_before(self, account):
        """Guards against estimates that grow with the wrong figure."""
        wait_s = account.estimate_wait(8.0, 4, 0.1, 1.0, 0.0)
        assert 0.1 < wait_s < 0.2

    def test_elapsed_time_shortens_it(self, account):
        at_start_s = account.estimate_wait(8.0, 4, 0.1, 1.0, 0.0)
        later_s = account.estimate_wait(8.0, 4, 0.1, 1.0, 0.05)
        assert later_s < at_start_s - 0.01

    def test_slow_machine_takes_longer(self, account):
        normal_s = account.estimate_wait(8.0, 4, 0.1, 1.0, 0.0)
        slow_s = account.estimate_wait(8.0, 4, 0.1, 4.0, 0.0)
        assert slow_s == pytest.approx(4 * normal_s)

    def test_requests_of_others_count(self, account):
        own_s = account.estimate_wait(8.0, 4, 0.1, 1.0, 0.0)
        assert account.estimate_wait(16.0, 4, 0.1, 1.0, 0.0) > own_s + 0.1

    def test_account_is_empty_after_all_have_ended(self, account):
        """Guards against sums that drift until an upstream seems full."""
        for _ in range(7):
            account.remove(0.1, 0.0)
        account.remove_average()
        account.remove_average()
        account.add(0.1, 5.0)
        assert account.estimate_wait(4.0, 4, 0.1, 1.0, 5.0) < 0.1


class TestSpeed:
    def test_last_figure_loses_weight(self):
        account = WorkAccount()
        account.record_speed(100, 0.0)
        account.record_speed(400, 0.1)
        assert account.estimate_speed(0.1) == 4.0
        assert 1.0 < account.estimate_speed(0.5) < 4.0

    def test_old_figures_are_forgotten(self):
        """Guards against a machine that is avoided for ever."""
        account = WorkAccount()
        account.record_speed(400, 0.0)
        assert account.estimate_speed(AVERAGE_LIFE_S) == 1.0
        account.record_speed(100, AVERAGE_LIFE_S + 0.1)
        assert account.estimate_speed(AVERAGE_LIFE_S + 0.5) == 1.0

    @pytest.mark.parametrize("figure", [0, 10**9])
    def test_figure_out_of_range_is_bounded(self, figure):
        account = WorkAccount()
        account.record_speed(figure, 0.0)
        assert 0 < account.estimate_speed(0.0) < 1000


class TestKnownObjects:
    def test_only_recent_ones_are_known(self):
        """Guards against requests for objects that were forgotten there."""
        account = WorkAccount()
        for number in range(MAX_KNOWN_OBJECTS + 1):
            account.record_object(number, 0.0)
        assert not account.knows(0, 0.0)
        assert account.knows(1, 0.0)
        later = KNOWN_LIFE_S + 0.1
        assert not account.knows(1, compute_known_since(0.1, later))
        assert account.knows(1, compute_known_since(1.0, later))


class TestServiceTimes:
    @pytest.fixture
    def times(self):
        return ServiceTimes(0.1)

    def observe(self, times, familiarity, time_s, count=60, **options):
        for _ in range(count):
            times.observe(("r", 0), familiarity, time_s, **options)

    def test_times_are_learned_by_familiarity(self, times):
        row = times.find("r", 0, 0.586)
        self.observe(times, Familiarity.KNOWN, 0.264)
        self.observe(times, Familiarity.OTHER, 0.88)
        assert row.means_s[Familiarity.KNOWN] == pytest.approx(0.264, rel=0.1)
        assert row.means_s[Familiarity.OTHER] == pytest.approx(0.88, rel=0.1)
        for mean_s, upper_s in zip(row.means_s, row.uppers_s, strict=True):
            assert upper_s >= 0.9 * mean_s

    def test_times_not_seen_yet_follow_the_others(self, times):
        """Guards against a first choice that seems slower than others."""
        row = times.find("r", 0, 0.4)
        self.observe(times, Familiarity.KNOWN, 4.0)
        assert row.means_s == sorted(row.means_s)

    def test_time_with_a_wait_is_no_service_time(self, times):
        """Guards against queues that make requests seem long."""
        row = times.find("r", 0, 0.4)
        before = list(row.means_s)
        self.observe(times, Familiarity.KNOWN, 3.0, is_bound=True)
        assert row.means_s == before
        self.observe(times, Familiarity.KNOWN, 0.05, is_bound=True)
        assert row.means_s[Familiarity.KNOWN] < before[Familiarity.KNOWN]

    @pytest.mark.parametrize("time_s", [-1.0, 0.0, 1e9, float("nan")])
    def test_times_that_are_not_credible_are_ignored(self, times, time_s):
        row = times.find("r", 0, 0.4)
        before = list(row.means_s)
        self.observe(times, Familiarity.KNOWN, time_s)
        assert row.means_s == before

    def test_rows_are_bounded(self, times):
        for number in range(2 * MAX_ROWS):
            times.find(f"r{number}", 0, 0.4)
        assert len(times._rows) == MAX_ROWS

    def test_large_bodies_have_classes_of_their_own(self):
        classes = [classify_body(size) for size in (0, 4096, 2**16, 2**20)]
        assert classes == sorted(set(classes))


class TestFairShares:
    def use(self, usage, rates, seconds, start=0.0):
        for step in range(int(seconds * 20)):
            now = start + step / 20
            for name, rate in rates.items():
                usage.charge(name, rate / 20, now)
            usage.update(now)
        return start + seconds

    def test_only_the_excess_is_marked(self):
        """Load: one of three at five times the demand of the others."""
        usage = FairUsage(0.0)
        self.use(usage, {"a": 5.0, "b": 1.0, "c": 1.0}, 3.0)
        assert usage.exceeding == {"a"}

    def test_usual_share_is_no_excess(self):
        """Guards against a large workspace that is cut to an equal share."""
        usage = FairUsage(0.0)
        self.use(usage, {"a": 8.0, "b": 1.0, "c": 1.0}, 30.0)
        assert usage.exceeding == frozenset()

    def test_surge_of_an_usual_share_is_marked(self):
        usage = FairUsage(0.0)
        now = self.use(usage, {"a": 2.0, "b": 8.0}, 60.0)
        self.use(usage, {"a": 10.0, "b": 8.0}, 3.0, now)
        assert "a" in usage.exceeding

    def test_single_user_never_exceeds(self):
        usage = FairUsage(0.0)
        self.use(usage, {"a": 1.0}, 60.0)
        assert usage.exceeding == frozenset()


class TestOrder:
    def build(self, **options):
        defaults = {
            "workspace": "w",
            "route": "r",
            "rank": 100,
            "is_returning": False,
            "start_by": 1.0,
        }
        return QueueEntry(**(defaults | options))

    def sort(self, entries, now=0.0):
        order = QueueOrder(now)
        order.workspaces.exceeding = frozenset(("big",))
        return sorted(entries, key=lambda entry: order.compute_key(entry, now))

    def test_order(self):
        entries = [
            self.build(is_returning=True),
            self.build(start_by=0.5),
            self.build(start_by=0.9),
            self.build(rank=200, start_by=0.1),
            self.build(workspace="big", rank=0, start_by=0.1),
            self.build(rank=0, start_by=-1.0),
        ]
        assert self.sort(list(reversed(entries))) == entries

    def test_order_changes_with_time(self):
        """Guards against an order that is fixed on arrival."""
        urgent = self.build(start_by=0.5)
        patient = self.build(rank=200, start_by=5.0)
        assert self.sort([urgent, patient], 0.0)[0] is urgent
        assert self.sort([urgent, patient], 1.0)[0] is patient

    def test_late_requests_get_a_turn_in_time(self):
        """Guards against late requests that are starved for ever."""
        order = QueueOrder(0.0)
        for _ in range(50):
            order.record_completion()
        assert order.has_late_turn
        order.use_late_turn()
        assert not order.has_late_turn


class TestReturns:
    def test_rate_adapts_in_under_a_second(self):
        rate = CompletionRate(0.0)
        for step in range(100):
            rate.record(step / 50)
        assert rate.read(2.0) == pytest.approx(50, rel=0.1)
        for step in range(10):
            rate.record(2.0 + step / 10)
        assert rate.read(3.0) < 20

    def test_callers_return_at_the_completion_rate(self):
        """Guards against refused callers that come back all at once."""
        returns = ReturnTimes()
        times = [returns.book(0.1, 20.0, 0.0) for _ in range(5)]
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        assert gaps == pytest.approx([0.05] * 4)
        assert times[0] >= 0.1

    @pytest.mark.parametrize("rate", [0.0, 1e9])
    @pytest.mark.parametrize("wait_s", [0.0, 1e9])
    def test_times_are_bounded(self, rate, wait_s):
        returns = ReturnTimes()
        for _ in range(20):
            assert 0 < returns.book(wait_s, rate, 0.0) <= MAX_RETURN_S
