"""Collection of the instances' counts and estimate of what is missing."""

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.usage import UsageCounts
from gypsummount._core.usage import UsageRules
from gypsummount._core.usage_collection import CUT_DOMAIN_S
from gypsummount._core.usage_collection import SourceId
from gypsummount._core.usage_collection import SourceState
from gypsummount._core.usage_collection import UsageCollection

RULES = UsageRules(5.0, 0.05, 10.0)
START = 1_000_000.0
WINDOW = 200_000
MS = 1000


def build_source(number, started_at=START - 100):
    return SourceId(f"n{number}", int(started_at * MS))


def build_state(source, heard_at, *, is_live=True, domain="d1", leaving=False):
    return SourceState(source, domain, heard_at, is_live, leaving)


def count(number, until, *, final=False, rate=10, window=WINDOW):
    """Return the part of a window that a source sends at a time."""
    counts = UsageCounts(RULES, START - 100)
    for _ in range(int((until - window * 5.0) * rate)):
        counts.record_send(f"w{number % 3}", window * 5.0)
    if final:
        counts.close_windows(START + 5 + 5 * (window - WINDOW) + 2)
    if window not in counts.list_windows():
        counts.record_send("none", window * 5.0)
    return counts.get_part(window, 0, until)


@pytest.fixture
def collection():
    return UsageCollection(RULES)


class TestMessages:
    @given(st.integers(0, 1 << 16), st.integers(1, 60))
    def test_lost_repeated_and_reordered_parts_change_nothing(
        self, seed, sends
    ):
        """Guards against counts that depend on how datagrams arrive."""
        random = Random(seed)
        counts = UsageCounts(RULES, START)
        source = SourceId("n1", int(START * MS))
        messages = []
        for _ in range(sends):
            window = counts.record_send(f"w{random.randrange(90)}", START)
            if random.random() < 0.1:
                counts.record_not_run("w1", window)
            part = random.randrange(len(counts.list_sequences(WINDOW)))
            messages.append(counts.get_part(WINDOW, part, START + 1))
        counts.close_windows(START + 7)
        final = [
            counts.get_part(WINDOW, part, START + 7)
            for part in range(len(counts.list_sequences(WINDOW)))
        ]
        kept = [each for each in messages if random.random() < 0.6]
        arriving = kept + final + random.choices(kept + final, k=5)
        random.shuffle(arriving)
        collection = UsageCollection(RULES)
        for part in arriving:
            assert collection.receive(source, part, START + 7)
        expected = {}
        for part in final:
            expected.update(part.counts)
        expected = {name: n for name, n in expected.items() if n}
        assert collection.sum_counts(WINDOW) == expected
        assert collection.estimate_coverage(WINDOW).missing == 0

    def test_restarted_instance_adds_to_its_predecessor(self, collection):
        old = build_source(1)
        new = build_source(1, START + 3)
        collection.receive(old, count(1, START + 2), START + 2)
        collection.receive(new, count(1, START + 5, final=True), START + 7)
        assert collection.sum_counts(WINDOW) == {"w1": 20 + 50}

    @pytest.mark.parametrize(
        "changes",
        [
            {"window": WINDOW + 40},
            {"window": 3},
            {"part": 1},
            {"parts": 1 << 14},
        ],
    )
    def test_impossible_part_is_ignored(self, collection, changes):
        part = replace(count(1, START + 2), **changes)
        source = build_source(1)
        assert not collection.receive(source, part, START + 2)
        assert collection.sum_counts(part.window) == {}


class TestMissing:
    """A window's estimate of what silent instances have sent."""

    def observe(self, collection, states, at):
        collection.observe(states, at)
        return collection.estimate_coverage(WINDOW)

    def test_nothing_is_missing_once_all_are_final(self, collection):
        sources = [build_source(number) for number in range(4)]
        for number, source in enumerate(sources):
            part = count(number, START + 5, final=True)
            collection.receive(source, part, START + 7)
        states = [build_state(source, START + 7) for source in sources]
        coverage = self.observe(collection, states, START + 7)
        assert coverage.missing == 0
        assert coverage.silent == ()

    def test_live_instance_that_is_not_heard_is_missing(self, collection):
        """Guards against reports without an instance that is cut off."""
        sources = [build_source(number) for number in range(4)]
        for number, source in enumerate(sources[:3]):
            part = count(number, START + 5, final=True)
            collection.receive(source, part, START + 7)
        states = [build_state(source, START + 7) for source in sources]
        coverage = self.observe(collection, states, START + 7)
        assert coverage.missing == pytest.approx(0.25)
        assert coverage.silent == ("n3",)

    def feed_and_lose(self, collection, *, heard_at, domains):
        """Feed ten instances; the first is silent after two seconds."""
        sources = [build_source(number) for number in range(10)]
        states = []
        for number, source in enumerate(sources):
            is_lost = number == 0
            until = START + 2 if is_lost else START + 5
            part = count(number, until, final=not is_lost)
            collection.receive(source, part, until)
            states.append(
                build_state(
                    source,
                    heard_at if is_lost else START + 7,
                    is_live=not is_lost,
                    domain=domains[number],
                )
            )
        return self.observe(collection, states, START + 7)

    def test_killed_instance_misses_a_second_at_most(self, collection):
        """Guards against windows missed for each instance that is killed."""
        coverage = self.feed_and_lose(
            collection, heard_at=START + 2, domains=["d1"] * 10
        )
        assert coverage.missing == pytest.approx(0.1 * 0.2, abs=0.005)

    def test_silent_domain_may_serve_on(self, collection):
        """Guards against reports while a whole domain is cut off."""
        coverage = self.feed_and_lose(
            collection, heard_at=START + 2, domains=["d0"] + ["d1"] * 9
        )
        assert coverage.missing == pytest.approx(0.06, abs=0.01)

    def test_silent_domain_counts_as_lost_in_the_end(self, collection):
        coverage = self.feed_and_lose(
            collection,
            heard_at=START - CUT_DOMAIN_S - 1,
            domains=["d0"] + ["d1"] * 9,
        )
        # It sent counts until two seconds after the start of the window.
        assert coverage.silent == ("n0",)
        later = UsageCollection(RULES)
        states = [
            build_state(build_source(1), START + 7),
            build_state(
                build_source(2),
                START - CUT_DOMAIN_S - 1,
                is_live=False,
                domain="d2",
            ),
        ]
        later.receive(
            build_source(1), count(1, START + 5, final=True), START + 7
        )
        assert self.observe(later, states, START + 7).missing == 0

    def test_restart_shows_that_the_predecessor_has_ended(self, collection):
        old = build_source(1)
        new = build_source(1, START + 3)
        other = build_source(2)
        collection.receive(old, count(1, START + 2), START + 2)
        collection.receive(new, count(1, START + 5, final=True), START + 7)
        collection.receive(other, count(2, START + 5, final=True), START + 7)
        states = [
            build_state(new, START + 7, domain="d1"),
            build_state(other, START + 7, domain="d2"),
        ]
        coverage = self.observe(collection, states, START + 7)
        assert coverage.silent == ("n1",)
        assert coverage.missing == pytest.approx(10 / 130, abs=0.01)

    def test_stopped_instance_is_not_missing_later(self, collection):
        """Guards against waits for an instance that has sent its last."""
        stopped = build_source(1)
        other = build_source(2)
        counts = UsageCounts(RULES, START - 100)
        counts.record_send("w", START - 3)
        counts.finish(START - 2)
        last = counts.get_part(WINDOW - 1, 0, START - 2)
        collection.receive(stopped, last, START - 2)
        collection.receive(other, count(2, START + 5, final=True), START + 7)
        states = [
            build_state(stopped, START + 1, is_live=False, leaving=True),
            build_state(other, START + 7),
        ]
        assert self.observe(collection, states, START + 7).missing == 0

    def test_instance_that_started_later_is_not_missing(self, collection):
        old = build_source(1)
        collection.receive(old, count(1, START + 5, final=True), START + 7)
        states = [
            build_state(old, START + 7),
            build_state(build_source(2, START + 5.5), START + 7),
        ]
        assert self.observe(collection, states, START + 7).missing == 0

    def test_nothing_known_at_all_is_all_missing(self, collection):
        """Guards against empty reports of a holder that hears nobody."""
        states = [build_state(build_source(1), START + 7)]
        assert self.observe(collection, states, START + 7).missing == 1


class TestBounds:
    def test_silent_sources_are_forgotten(self, collection):
        """Guards against growth of memory with each restart."""
        for number in range(300):
            source = build_source(1, START + number)
            part = count(1, START + 1)
            collection.receive(source, part, START + 4)
        collection.observe([], START + 100)
        assert collection._sources == {}
        assert collection._names == {}
