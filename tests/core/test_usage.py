"""Counts of one instance, their windows and parts."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.usage import CLOSE_DELAY_S
from gypsummount._core.usage import estimate_wait
from gypsummount._core.usage import MAX_WAIT_S
from gypsummount._core.usage import MAX_WORKSPACES
from gypsummount._core.usage import PART_SIZE
from gypsummount._core.usage import UsageCounts
from gypsummount._core.usage import UsageRules

RULES = UsageRules(5.0, 0.05, 10.0)
START = 1_000_000.0
WINDOW = 200_000


@pytest.fixture
def counts():
    return UsageCounts(RULES, START)


def read_counts(counts, window, at=START + 100):
    found = {}
    for part in range(len(counts.list_sequences(window))):
        found.update(counts.get_part(window, part, at).counts)
    return found


class TestCountingRule:
    def test_send_counts_in_the_window_of_its_time(self, counts):
        assert counts.record_send("w", START + 4.99) == WINDOW
        assert counts.record_send("w", START + 5.0) == WINDOW + 1

    def test_send_that_waits_counts_when_it_is_expected_to_begin(self, counts):
        """Guards against a queue at the end of a window counted too early."""
        wait_s = estimate_wait(load=7, slots=4, latency_s=0.2)
        assert wait_s == pytest.approx(0.2)
        window = counts.record_send("w", START + 4.9 + wait_s)
        assert window == WINDOW + 1

    @pytest.mark.parametrize("load", [0, 3])
    def test_send_to_a_free_slot_does_not_wait(self, load):
        assert estimate_wait(load, 4, 0.2) == 0

    @pytest.mark.parametrize("slots", [0, 1])
    def test_wait_is_bounded(self, slots):
        """Guards against counts in a window that ends far in the future."""
        assert 0 <= estimate_wait(1e9, slots, 10.0) <= MAX_WAIT_S

    def test_refused_send_is_reverted_in_its_own_window(self, counts):
        window = counts.record_send("w", START + 4.99)
        counts.record_send("w", START + 5.1)
        counts.record_not_run("w", window)
        assert read_counts(counts, WINDOW) == {"w": 0}
        assert read_counts(counts, WINDOW + 1) == {"w": 1}

    def test_refusal_of_a_final_window_is_sent_again(self, counts):
        """Guards against a refusal that comes after the close and is lost."""
        window = counts.record_send("w", START + 4.99)
        counts.close_windows(START + 5 + CLOSE_DELAY_S)
        before = list(counts.list_sequences(window))
        counts.record_not_run("w", window)
        assert counts.list_sequences(window) > before
        assert counts.get_part(window, 0, START + 8).is_final

    def test_more_refusals_than_sends_change_nothing(self, counts):
        window = counts.record_send("w", START)
        for _ in range(3):
            counts.record_not_run("w", window)
        counts.record_not_run("other", window)
        assert read_counts(counts, WINDOW) == {"w": 0}

    def test_send_into_a_final_window_counts_in_the_next(self, counts):
        """Guards against growth of a window that may have been reported."""
        counts.close_windows(START + 5 + CLOSE_DELAY_S)
        assert counts.record_send("w", START + 1) == WINDOW + 1


class TestWindows:
    def test_window_is_final_after_refusals_had_time_to_come(self, counts):
        counts.record_send("w", START)
        counts.close_windows(START + 5 + CLOSE_DELAY_S - 0.1)
        assert not counts.get_part(WINDOW, 0, START + 6).is_final
        counts.close_windows(START + 5 + CLOSE_DELAY_S)
        assert counts.get_part(WINDOW, 0, START + 7).is_final

    def test_window_without_requests_is_final_too(self, counts):
        """Guards against waits for an instance that has nothing to send."""
        counts.close_windows(START + 10 + CLOSE_DELAY_S)
        assert counts.list_windows() == [WINDOW, WINDOW + 1]
        part = counts.get_part(WINDOW + 1, 0, START + 12)
        assert part.is_final
        assert part.counts == {}

    def test_settled_windows_are_dropped_and_open_ones_kept(self, counts):
        counts.record_send("w", START)
        counts.record_send("w", START + 6)
        counts.close_windows(START + 7)
        counts.settle(WINDOW + 5)
        assert counts.list_windows() == [WINDOW + 1]

    def test_windows_are_bounded_while_nothing_is_reported(self, counts):
        """Guards against growth of memory while there is no holder."""
        for step in range(500):
            counts.record_send("w", START + step)
            counts.close_windows(START + step)
        assert len(counts.list_windows()) <= RULES.kept_windows + 2

    def test_freeze_of_an_hour_creates_few_windows(self, counts):
        counts.close_windows(START + 3600)
        assert len(counts.list_windows()) <= RULES.kept_windows + 1

    def test_last_part_of_a_stopping_instance_says_so(self, counts):
        counts.record_send("w", START + 6)
        counts.finish(START + 7)
        assert not counts.get_part(WINDOW, 0, START + 7).is_last
        last = counts.get_part(WINDOW + 1, 0, START + 7)
        assert last.is_last
        assert last.is_final
        assert last.covered_until == START + 7

    def test_workspaces_are_bounded(self, counts):
        for number in range(MAX_WORKSPACES + 10):
            counts.record_send(f"w{number}", START)
        assert len(read_counts(counts, WINDOW)) == MAX_WORKSPACES


class TestParts:
    @given(st.lists(st.integers(0, 3 * PART_SIZE), max_size=400))
    def test_workspace_stays_in_its_part(self, numbers):
        """Guards against counts that move and are then added twice."""
        counts = UsageCounts(RULES, START)
        parts = {}
        expected = {}
        for number in numbers:
            name = f"w{number}"
            counts.record_send(name, START)
            expected[name] = expected.get(name, 0) + 1
            for part in range(len(counts.list_sequences(WINDOW))):
                for found in counts.get_part(WINDOW, part, START).counts:
                    assert parts.setdefault(found, part) == part
        if numbers:
            assert read_counts(counts, WINDOW) == expected

    def test_only_the_changed_part_has_a_new_sequence(self, counts):
        """Guards against all parts being sent for one request."""
        for number in range(2 * PART_SIZE):
            counts.record_send(f"w{number}", START)
        before = list(counts.list_sequences(WINDOW))
        counts.record_send("w1", START)
        after = counts.list_sequences(WINDOW)
        assert after[0] > before[0]
        assert after[1] == before[1]
