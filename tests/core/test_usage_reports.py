"""Decision which windows are reported, and with what counts."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._core.usage import CLOSE_DELAY_S
from gypsummount._core.usage import NO_WINDOW
from gypsummount._core.usage import UsagePart
from gypsummount._core.usage import UsageRules
from gypsummount._core.usage_collection import SourceId
from gypsummount._core.usage_collection import SourceState
from gypsummount._core.usage_collection import UsageCollection
from gypsummount._core.usage_reports import decode_payload
from gypsummount._core.usage_reports import encode_payload
from gypsummount._core.usage_reports import Miss
from gypsummount._core.usage_reports import MissReason
from gypsummount._core.usage_reports import Report
from gypsummount._core.usage_reports import UsageReports
from gypsummount.errors import RecordInvalid

RULES = UsageRules(5.0, 0.05, 10.0)
START = 1_000_000.0
WINDOW = 200_000
SOURCE = SourceId("n1", int((START - 100) * 1000))
OTHER = SourceId("n2", int((START - 100) * 1000))


def feed(collection, source, window, counts, *, is_final=True):
    """Give a collection the counts of one source, as final ones."""
    end = RULES.get_end(window)
    known = collection._sources.get(source)
    sequence = 1 + sum(
        part.sequence
        for held in (known.windows.values() if known else ())
        for part in held.parts.values()
    )
    part = UsagePart(
        window, 0, 1, sequence, end - (not is_final), is_final, False, counts
    )
    assert collection.receive(source, part, end)


def observe(collection, at, live=(SOURCE,), lost=()):
    states = [SourceState(source, "d", at, True) for source in live]
    states += [SourceState(source, "x", START, False) for source in lost]
    collection.observe(states, at)


def list_calls(reports, at):
    found = []
    while (report := reports.get_next_call(at)) is not None:
        found.append(report)
        reports.record_done(report)
    return found


@pytest.fixture
def collection():
    created = UsageCollection(RULES)
    observe(created, START)
    feed(created, SOURCE, WINDOW, {"w": 10})
    return created


@pytest.fixture
def reports():
    """Reports of an instance that runs for long and has just taken over."""
    created = UsageReports(RULES, START - 100)
    created.take_over(encode_payload(WINDOW - 1, WINDOW - 1, []), START + 2)
    return created


class TestTiming:
    def test_window_is_recorded_once_all_counts_are_final(
        self, reports, collection
    ):
        early = START + 5 + CLOSE_DELAY_S - 0.1
        assert reports.choose(collection, early) is None
        chosen = reports.choose(collection, START + 5 + CLOSE_DELAY_S)
        assert chosen == Report(WINDOW, {"w": 10})

    def test_counts_are_sent_only_after_they_are_recorded(
        self, reports, collection
    ):
        """Guards against reports that a new holder cannot repeat."""
        report = reports.choose(collection, START + 7)
        assert reports.get_next_call(START + 7) is None
        reports.confirm(report)
        assert reports.get_next_call(START + 7) == report

    def test_missing_instance_is_awaited(self, reports, collection):
        observe(collection, START + 7, live=(SOURCE, OTHER))
        assert reports.choose(collection, START + 7) is None
        feed(collection, OTHER, WINDOW, {"w": 5})
        chosen = reports.choose(collection, START + 8)
        assert chosen == Report(WINDOW, {"w": 15})

    def test_window_without_a_large_instance_is_not_reported(
        self, reports, collection
    ):
        """Guards against reports that are wrong by more than permitted."""
        observe(collection, START + 12, live=(SOURCE, OTHER))
        assert reports.choose(collection, START + 12.9) is None
        chosen = reports.choose(collection, START + 13)
        assert isinstance(chosen, Miss)
        assert chosen.reason is MissReason.INCOMPLETE
        assert chosen.coverage.silent == ("n2",)
        assert reports.settled == WINDOW

    def test_window_without_a_small_part_is_reported_after_a_while(
        self, reports, collection
    ):
        """Guards against windows missed for each killed instance."""
        feed(collection, SOURCE, WINDOW, {"w": 1000})
        feed(collection, OTHER, WINDOW, {"w": 40}, is_final=False)
        observe(collection, START + 7, live=(SOURCE, OTHER))
        assert reports.choose(collection, START + 9.9) is None
        chosen = reports.choose(collection, START + 10)
        assert chosen == Report(WINDOW, {"w": 1040})

    def test_windows_that_are_late_are_missed(self, reports, collection):
        misses = reports.step(collection, START + 40)
        assert [miss.reason for miss in misses] == [MissReason.LATE]
        assert misses[0].first == WINDOW
        assert RULES.get_due(misses[0].last) <= START + 40.2

    def test_windows_are_recorded_in_order(self, reports, collection):
        observe(collection, START + 12, live=(SOURCE, OTHER))
        feed(collection, SOURCE, WINDOW + 1, {"w": 1})
        feed(collection, OTHER, WINDOW + 1, {"w": 1})
        assert reports.choose(collection, START + 12) is None
        reports.choose(collection, START + 13)
        chosen = reports.choose(collection, START + 13)
        assert chosen == Report(WINDOW + 1, {"w": 2})


class TestRetries:
    @pytest.fixture
    def report(self, reports, collection):
        chosen = reports.choose(collection, START + 7)
        reports.confirm(chosen)
        return chosen

    def test_retry_repeats_the_recorded_counts(
        self, reports, collection, report
    ):
        """Guards against a late message that changes a sent report."""
        assert reports.record_failure(report, START + 7)
        feed(collection, SOURCE, WINDOW, {"w": 99})
        assert reports.get_next_call(START + 7.4) is None
        assert reports.get_next_call(START + 7.5) == Report(WINDOW, {"w": 10})

    def test_retries_back_off_and_end_at_the_due_time(
        self, reports, collection, report
    ):
        """Guards against calls without end to an endpoint that is down."""
        at = START + 7
        calls = 0
        while at < START + 60:
            if reports.get_next_call(at) is not None:
                calls += 1
                reports.record_failure(report, at)
            at += 0.25
        assert 3 <= calls <= 7
        misses = reports.step(collection, START + 15)
        assert misses[0] == Miss(WINDOW, WINDOW, MissReason.UNANSWERED)

    def test_retry_after_is_respected(self, reports, report):
        assert reports.record_failure(report, START + 7, 3.0)
        assert reports.get_next_call(START + 9.9) is None
        assert reports.get_next_call(START + 10) == report

    def test_unacknowledged_write_is_repeated_with_the_same_counts(
        self, reports, collection
    ):
        chosen = reports.choose(collection, START + 7)
        feed(collection, SOURCE, WINDOW, {"w": 99})
        assert reports.choose(collection, START + 8) == chosen


class TestNewHolder:
    def take_over(self, payload, at, started_at=START - 100):
        reports = UsageReports(RULES, started_at)
        reports.take_over(payload, at)
        return reports

    def test_recorded_window_is_repeated_exactly(self, collection):
        """Guards against a second report with what this instance knows."""
        recorded = Report(WINDOW, {"w": 7})
        payload = encode_payload(WINDOW, WINDOW - 1, [recorded])
        reports = self.take_over(payload, START + 8)
        assert list_calls(reports, START + 8) == [recorded]
        assert reports.settled == WINDOW
        assert reports.choose(collection, START + 9.5) is None

    def test_record_that_the_store_lost_is_not_replaced(self, collection):
        """Guards against two reports of a window after a restore."""
        payload = encode_payload(WINDOW - 1, WINDOW - 1, [])
        reports = self.take_over(payload, START + 8)
        assert reports.hear(WINDOW, WINDOW - 1, START + 8.1)
        misses = reports.step(collection, START + 9)
        assert misses == [Miss(WINDOW, WINDOW, MissReason.RECORD_LOST)]
        assert reports.choose(collection, START + 9) is None

    def test_holder_waits_for_what_the_others_know(self, collection):
        """Guards against a report just before the news of the record."""
        payload = encode_payload(WINDOW - 1, WINDOW - 1, [])
        reports = self.take_over(payload, START + 8)
        assert reports.choose(collection, START + 8.9) is None
        assert reports.choose(collection, START + 9) is not None

    def test_news_drop_a_report_that_is_not_recorded_yet(self, collection):
        payload = encode_payload(WINDOW - 1, WINDOW - 1, [])
        reports = self.take_over(payload, START + 6)
        reports.choose(collection, START + 7)
        reports.hear(WINDOW, WINDOW - 1, START + 7)
        misses = reports.step(collection, START + 7)
        assert [miss.reason for miss in misses] == [MissReason.RECORD_LOST]
        assert reports.choose(collection, START + 7) is None

    def test_process_that_has_just_started_does_not_know_the_dead(
        self, collection
    ):
        """Guards against sums without the instances that were killed."""
        payload = encode_payload(WINDOW - 1, WINDOW - 1, [])
        reports = self.take_over(payload, START + 6, started_at=START + 2)
        chosen = reports.choose(collection, START + 7.5)
        assert chosen.reason is MissReason.NEW_HOLDER

    def test_first_holder_of_a_new_fleet_reports_its_first_window(self):
        """Guards against a fleet whose first windows are missed."""
        reports = self.take_over("", START + 3, started_at=START + 1)
        collection = UsageCollection(RULES)
        source = SourceId("n1", int((START + 1) * 1000))
        feed(collection, source, WINDOW, {"w": 3})
        observe(collection, START + 7, live=(source,))
        assert reports.step(collection, START + 7) == []
        chosen = reports.choose(collection, START + 7)
        assert chosen == Report(WINDOW, {"w": 3})

    def test_first_holder_waits_until_it_knows_the_fleet(self):
        """Guards against a sum without instances not yet heard of."""
        reports = self.take_over("", START + 4.5, started_at=START + 4)
        collection = UsageCollection(RULES)
        source = SourceId("n1", int((START + 4) * 1000))
        feed(collection, source, WINDOW, {"w": 3})
        observe(collection, START + 7, live=(source,))
        assert reports.choose(collection, START + 8.9) is None
        assert reports.choose(collection, START + 9) is not None

    @pytest.mark.parametrize(
        "payload",
        [
            "x",
            "[]",
            '{"recorded":1}',
            '{"recorded":true,"settled":1,"reports":[]}',
            '{"recorded":1,"settled":1,"reports":[[1,{"w":-1}]]}',
            '{"recorded":1,"settled":1,"reports":[[1,{"w":1e400}]]}',
            '{"recorded":1e20,"settled":1,"reports":[]}',
        ],
    )
    def test_unreadable_payload_counts_as_recorded(self, payload, collection):
        """Guards against a second report when the record is unreadable."""
        with pytest.raises(RecordInvalid):
            decode_payload(payload)
        reports = UsageReports(RULES, START - 100)
        reports.hear(WINDOW - 1, WINDOW - 1, START + 4)
        with pytest.raises(RecordInvalid):
            reports.take_over(payload, START + 6)
        misses = reports.step(collection, START + 7.5)
        assert [miss.reason for miss in misses] == [MissReason.RECORD_LOST]

    @pytest.mark.parametrize("windows", [(WINDOW, 0), (1 << 50, 1 << 50)])
    def test_impossible_news_change_nothing(self, reports, windows):
        """Guards against one wrong message that ends all reports."""
        assert not reports.hear(*windows, START + 4)
        assert reports.recorded == WINDOW - 1

    def test_nothing_is_settled_before_the_first_report(self):
        reports = UsageReports(RULES, START)
        assert reports.settled == NO_WINDOW


class _Fleet:
    """Holders in turn over one store and one endpoint, with failures."""

    SIZE = 4

    def __init__(self, seed):
        self.random = Random(seed)
        self.at = START
        self.payloads = [""]
        self.reports = []
        self.collections = []
        for _ in range(self.SIZE):
            self.reports.append(UsageReports(RULES, START - 100))
            self.collections.append(UsageCollection(RULES))
        self.holder = 0
        self.executed = {}
        self.in_flight = []
        self.fed = WINDOW - 1
        self.take_over()

    def take_over(self):
        reports = self.reports[self.holder]
        for other in self.reports:
            # The answers to the question of a new holder.
            reports.hear(other.recorded, other.settled, self.at)
        reports.take_over(self.payloads[-1], self.at)

    def step(self):
        self.at += 0.5
        self.feed_collections()
        fault = self.random.random()
        if fault < 0.06:
            self.holder = self.random.randrange(self.SIZE)
            self.take_over()
        elif fault < 0.1:
            # A restored store; its holder has to take over again.
            del self.payloads[
                -self.random.randint(0, 3) or len(self.payloads) :
            ]
            self.payloads = self.payloads or [""]
            self.holder = self.random.randrange(self.SIZE)
            self.take_over()
        self.drive(self.reports[self.holder], self.collections[self.holder])
        if self.in_flight and self.random.random() < 0.3:
            self.execute(
                self.in_flight.pop(self.random.randrange(len(self.in_flight)))
            )

    def feed_collections(self):
        """Give each instance its own view of the counts."""
        while RULES.get_end(self.fed + 1) + CLOSE_DELAY_S <= self.at:
            self.fed += 1
            for collection in self.collections:
                observe(collection, self.at)
                counts = {"w": self.random.randrange(1000)}
                feed(collection, SOURCE, self.fed, counts)

    def drive(self, reports, collection):
        reports.step(collection, self.at)
        chosen = reports.choose(collection, self.at)
        if isinstance(chosen, Report):
            payload = reports.build_payload(chosen)
            outcome = self.random.random()
            if outcome > 0.15:
                self.payloads.append(payload)
            if outcome > 0.3:
                reports.confirm(chosen)
                self.announce(reports)
        report = reports.get_next_call(self.at)
        if report is None:
            return
        outcome = self.random.random()
        if outcome < 0.4:
            self.execute(report)
            reports.record_done(report)
        else:
            reports.record_failure(report, self.at)
            if outcome < 0.8:
                self.in_flight.append(report)

    def announce(self, sender):
        """Tell the others; all but one of the messages may be lost."""
        others = [each for each in self.reports if each is not sender]
        certain = self.random.choice(others)
        for other in others:
            if other is certain or self.random.random() < 0.5:
                other.hear(sender.recorded, sender.settled, self.at)

    def execute(self, report):
        known = self.executed.setdefault(report.window, report.counts)
        assert known == report.counts, f"two reports of {report.window}"


class TestFailures:
    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_no_window_has_two_different_reports(self, seed):
        """Guards against two reports of a window, whatever fails."""
        fleet = _Fleet(seed)
        for _ in range(160):
            fleet.step()

    def test_most_windows_are_reported_without_failures(self):
        """Guards against a test that passes as nothing is reported."""
        fleet = _Fleet(1)
        fleet.random = Random(1)
        for _ in range(400):
            fleet.step()
        assert len(fleet.executed) > 15
