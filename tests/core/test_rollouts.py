"""Rollouts: exact shares, canary analysis, steps and deadlines."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from gypsummount._config.model import RolloutPlan
from gypsummount._core.canary_analysis import Baseline
from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import EvidenceBatch
from gypsummount._core.canary_analysis import FleetAnalyser
from gypsummount._core.canary_analysis import RouteAnalyser
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.charts import ChartError
from gypsummount._core.rollouts import get_new_version_share
from gypsummount._core.rollouts import MIN_ANSWERS
from gypsummount._core.rollouts import recall_rollout
from gypsummount._core.rollouts import RolloutState
from gypsummount._core.rollouts import RolloutTracker
from gypsummount._core.rollouts import SplitCounter
from gypsummount._core.rollouts import start_rollout

PLAN = RolloutPlan("move", "s", "v1", "v2", (0.05, 0.25, 1.0), 2.0, 60.0)
RANDOM_CHOICES = 1000
FAULT_ANSWERS_LIMIT = 60
GOOD_ANSWERS = 2000
FALSE_ALARM_SEEDS = 100


class TestShareOfRequests:
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        share=strategies.floats(0.001, 1.0),
        count=strategies.integers(1, 400),
    )
    def test_every_prefix_keeps_the_share(self, share, count):
        counter = SplitCounter(share)
        for total in range(1, count + 1):
            counter.choose_new()
            assert counter.given <= share * total
        assert counter.given >= int(share * count) - 1

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        picks=strategies.lists(strategies.integers(0, 7), max_size=300),
        share=strategies.floats(0.01, 0.5),
    )
    def test_the_sum_over_entries_keeps_it_too(self, picks, share):
        counters = [SplitCounter(share) for _ in range(8)]
        for total, index in enumerate(picks, start=1):
            counters[index].choose_new()
            given_all = sum(counter.given for counter in counters)
            assert given_all <= share * total

    def test_random_choice_would_exceed_the_share(self):
        """A random choice with the same share exceeds it at times."""
        random = Random(1)
        given_new = 0
        exceeded = 0
        for total in range(1, RANDOM_CHOICES):
            given_new += random.random() < 0.05
            exceeded += given_new > 0.05 * total
        assert exceeded > 0


class TestFaults:
    def count_answers_until_veto(self, failing, slow, seed):
        random = Random(seed)
        baseline = Baseline()
        for _ in range(100):
            latency_s = random.uniform(0.004, 0.006)
            baseline.observe(failed=False, latency_s=latency_s)
        analyser = RouteAnalyser()
        for answers in range(1, GOOD_ANSWERS + 1):
            failed = random.random() < failing
            latency_s = random.uniform(0.004, 0.006) * slow
            is_slow = not failed and latency_s > baseline.slow_limit_s
            batch = EvidenceBatch(
                1, failed, not failed, is_slow, baseline.error_rate
            )
            if analyser.observe(batch) is not None:
                return answers
        return None

    @pytest.mark.parametrize(
        ("failing", "slow"),
        [(1.0, 1), (0.8, 1), (0.3, 1), (0.0, 5)],
        ids=["all-fail", "most-fail", "some-fail", "slow"],
    )
    @pytest.mark.parametrize("seed", range(5))
    def test_bad_version_is_vetoed_within_few_answers(
        self, failing, slow, seed
    ):
        answers = self.count_answers_until_veto(failing, slow, seed)
        assert answers is not None
        assert answers <= FAULT_ANSWERS_LIMIT

    @pytest.mark.parametrize("failing", [0.0, 0.005], ids=["none", "few"])
    def test_good_versions_raise_no_false_alarm(self, failing):
        alarms = [
            self.count_answers_until_veto(failing, 1, seed)
            for seed in range(FALSE_ALARM_SEEDS)
        ]
        assert alarms.count(None) == FALSE_ALARM_SEEDS

    def test_fault_that_begins_later_is_found(self):
        analyser = RouteAnalyser()
        for _ in range(GOOD_ANSWERS):
            assert analyser.observe(EvidenceBatch(1, 0, 1, 0, 0.0)) is None
        reasons = [
            analyser.observe(EvidenceBatch(1, 1, 0, 0, 0.0)) for _ in range(10)
        ]
        assert any(reasons)


class TestFleetEvidence:
    def test_few_faults_on_each_entry_add_up(self):
        analyser = FleetAnalyser("move", 1)
        vetoes = []
        for entry in range(8):
            evidence = Evidence("move", 1, "/r", 1, 1, old_answers=50)
            vetoes.append(analyser.observe(str(entry), evidence))
        assert vetoes[0] is None
        assert any(vetoes)
        assert analyser.answers == 8

    def test_repeated_and_old_evidence_counts_once(self):
        analyser = FleetAnalyser("move", 1)
        evidence = Evidence("move", 1, "/r", 2, 2)
        older = Evidence("move", 1, "/r", 1, 1)
        for _ in range(50):
            assert analyser.observe("e", evidence) is None
            assert analyser.observe("e", older) is None
        assert analyser.answers == 2

    def test_one_bad_route_is_not_hidden_by_good_ones(self):
        analyser = FleetAnalyser("move", 1)
        veto = None
        for answers in range(1, 20):
            good = Evidence("move", 1, "/good", answers * 50)
            bad = Evidence("move", 1, "/bad", answers, answers)
            assert analyser.observe("e", good) is None
            veto = veto or analyser.observe("e", bad)
        assert veto is not None
        assert "/bad" in veto.reason

    def test_evidence_of_another_attempt_is_ignored(self):
        analyser = FleetAnalyser("move", 2)
        assert analyser.observe("e", Evidence("move", 1, "/r", 50, 50)) is None
        assert analyser.answers == 0


class TestSteps:
    def drive(self, tracker, *, answers_a_step, vetoes=frozenset(), until=90):
        now, answers, states = 0.0, 0, []
        while now < until:
            now += 0.25
            answers += answers_a_step
            following = tracker.propose(PLAN, set(vetoes), answers, now)
            if following is not None:
                states.append(following)
                tracker.apply_state(following, now)
        return states

    def create_tracker(self):
        return RolloutTracker(start_rollout(RolloutState("move")), 0.0)

    def test_good_version_finishes_before_its_deadline(self):
        states = self.drive(self.create_tracker(), answers_a_step=10)
        assert states[-1].phase == "finished"
        assert states[-1].elapsed_s <= PLAN.deadline_s

    def test_quiet_route_finishes_on_time_too(self):
        states = self.drive(self.create_tracker(), answers_a_step=1)
        assert states[-1].phase == "finished"
        assert states[-1].elapsed_s <= PLAN.deadline_s

    def test_rollout_with_too_few_answers_is_taken_back(self):
        tracker = self.create_tracker()
        states = self.drive(tracker, answers_a_step=0)
        assert [state.phase for state in states] == ["taken-back"]
        assert "deadline" in states[-1].reason
        assert MIN_ANSWERS > 0

    def test_veto_takes_back_at_once(self):
        veto = Veto("move", 1, "too slow")
        states = self.drive(
            self.create_tracker(), answers_a_step=10, vetoes={veto}
        )
        assert [state.phase for state in states] == ["taken-back"]
        assert states[0].reason == "too slow"

    def test_veto_of_an_earlier_attempt_does_not_count(self):
        veto = Veto("move", 0, "too slow")
        states = self.drive(
            self.create_tracker(), answers_a_step=10, vetoes={veto}
        )
        assert states[-1].phase == "finished"

    def test_agent_that_starts_late_keeps_the_elapsed_time(self):
        state = start_rollout(RolloutState("move"))
        first = RolloutTracker(state, 0.0)
        stepped = first.propose(PLAN, set(), 0, 0.0)
        assert stepped is None
        stepped = first.propose(PLAN, set(), 99, 50.0)
        late = RolloutTracker(stepped, 1000.0)
        assert late.compute_elapsed(1000.0) == pytest.approx(50.0)

    def test_older_state_is_ignored(self):
        tracker = self.create_tracker()
        assert not tracker.apply_state(RolloutState("move", 0), 1.0)
        assert tracker.state.phase == "moving"

    def test_start_while_moving_is_refused(self):
        state = start_rollout(RolloutState("move"))
        with pytest.raises(ChartError, match="look at its state"):
            start_rollout(state)

    def test_operator_takes_back(self):
        state = recall_rollout(start_rollout(RolloutState("move")), "why")
        assert get_new_version_share(PLAN, state) == 0.0
        assert start_rollout(state).attempt == 2
