"""Membership, look-ups, charts, queues, health and balancing."""

from dataclasses import replace
from random import Random

import pytest

from gypsummount._core.balancing import Candidate
from gypsummount._core.balancing import LeastReported
from gypsummount._core.balancing import RoundRobin
from gypsummount._core.balancing import TwoChoices
from gypsummount._core.balancing import UniformChoice
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.charts import ChartError
from gypsummount._core.charts import load_chart
from gypsummount._core.charts import StateMachine
from gypsummount._core.fairness import FairQueue
from gypsummount._core.fairness import WaitingRequest
from gypsummount._core.health import FAULTS_TO_EJECT
from gypsummount._core.health import INITIAL_EJECTION_S
from gypsummount._core.health import MAX_EJECTION_S
from gypsummount._core.health import ReportedLoad
from gypsummount._core.health import SLOW_START_FRACTION
from gypsummount._core.health import SLOW_START_S
from gypsummount._core.health import SUCCESSES_TO_RECOVER
from gypsummount._core.health import UpstreamHealth
from gypsummount._core.lookups import CallerLocation
from gypsummount._core.lookups import rank_entries
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member
from gypsummount._core.membership import MemberTable
from gypsummount._core.membership import SUSPECT_AFTER_S
from gypsummount._core.retries import RetryBudget


def create_member(name, beat=1, started=1, domain="d", **fields):
    entry = EntryInfo(f"{name}/e", f"{name}.0", f"{name}:1", "p", "serving")
    fields = {"region": "r", "address": "a", "phase": "serving"} | fields
    return Member(
        name, name, started, beat, domain, entries=(entry,), **fields
    )


class TestMemberTable:
    def create_table(self):
        return MemberTable(create_member("own"))

    def test_newer_beat_wins_whatever_the_order(self):
        table = self.create_table()
        table.merge([create_member("b", beat=5)], 0.0)
        table.merge([create_member("b", beat=4, phase="leaving")], 1.0)
        assert table.list_known()[0].phase == "serving"

    def test_restarted_instance_wins_over_its_old_beats(self):
        table = self.create_table()
        table.merge([create_member("b", beat=900)], 0.0)
        table.merge([create_member("b", beat=1, started=2)], 1.0)
        assert table.list_known()[0].started == 2

    def test_silent_member_is_not_alive(self):
        table = self.create_table()
        table.merge([create_member("b")], 0.0)
        assert table.is_alive("b", SUSPECT_AFTER_S)
        assert not table.is_alive("b", SUSPECT_AFTER_S + 0.1)
        assert [member.instance for member in table.list_alive(9.0)] == ["own"]

    def test_repeated_beat_does_not_revive_a_member(self):
        table = self.create_table()
        table.merge([create_member("b", beat=5)], 0.0)
        table.merge([create_member("b", beat=5)], 10.0)
        assert not table.is_alive("b", 10.0)

    def test_store_age_grows_in_transit(self):
        table = self.create_table()
        table.own = replace(table.own, store_age_s=100.0)
        table.merge([create_member("b", store_age_s=1.0)], 0.0)
        assert table.get_store_age(4.0) == pytest.approx(5.0)
        for sent in (table.list_newer({}, 4.0), table.list_beats(4.0)):
            assert [member.instance for member in sent] == ["own", "b"]
            assert sent[1].store_age_s == pytest.approx(5.0)

    def test_vetoes_of_silent_members_still_count(self):
        table = self.create_table()
        veto = Veto("move", 1, "bad")
        table.merge([create_member("b", vetoes=(veto,))], 0.0)
        assert table.collect_vetoes() == {veto}


class TestLookups:
    def test_near_entries_come_first_and_leaving_ones_are_left_out(self):
        members = [
            create_member("far", domain="x", region="other"),
            create_member("region", domain="x"),
            create_member("near"),
            create_member("leaving", phase="leaving"),
        ]
        ranked = rank_entries(members, "w", CallerLocation("d", "r"))
        assert [entry.address for entry in ranked] == [
            "near:1",
            "region:1",
            "far:1",
        ]
        assert ranked[0].weight > ranked[1].weight > ranked[2].weight

    def test_workspace_keeps_its_entries_when_others_leave(self):
        members = [create_member(f"m{index}") for index in range(20)]
        before = rank_entries(members, "w", CallerLocation("d", "r"))
        kept = {entry.address for entry in before}
        fewer = [
            member
            for member in members
            if f"{member.instance}:1" in kept or member.instance < "m15"
        ]
        assert rank_entries(fewer, "w", CallerLocation("d", "r")) == before


class TestCharts:
    @pytest.mark.parametrize(
        "name", ["upstream", "rollout", "lifecycle", "contact"]
    )
    def test_chart_starts_in_a_known_state(self, name):
        chart = load_chart(name)
        assert chart.initial in chart.states
        for (state, _), target in chart.transitions.items():
            assert {state, target} <= set(chart.states)

    def test_event_that_is_not_allowed_is_an_error(self):
        with pytest.raises(ChartError, match="not allowed"):
            StateMachine("lifecycle").fire("drained")

    def test_unknown_state_is_an_error(self):
        with pytest.raises(ChartError, match="no state"):
            StateMachine("rollout", "lost")


class TestFairQueue:
    def fill(self, weights):
        queue = FairQueue()
        for workspace, weight in weights.items():
            for index in range(100):
                request = WaitingRequest((workspace, index), workspace, 10.0)
                queue.push(request, weight)
        return queue

    def test_weights_set_the_order(self):
        queue = self.fill({"a": 3.0, "b": 1.0})
        served = [queue.pop(0.0)[0] for _ in range(40)]
        assert served.count("a") == 30

    def test_burst_of_one_workspace_does_not_delay_another(self):
        queue = self.fill({"crowd": 1.0})
        queue.push(WaitingRequest(("late", 0), "late", 10.0), 1.0)
        assert ("late", 0) in [queue.pop(0.0) for _ in range(2)]

    def test_expired_requests_are_skipped(self):
        queue = FairQueue()
        queue.push(WaitingRequest("old", "w", 1.0), 1.0)
        queue.push(WaitingRequest("new", "w", 9.0), 1.0)
        assert queue.pop(2.0) == "new"
        assert queue.expired == ["old"]

    def test_workspace_with_too_many_is_refused(self):
        queue = FairQueue(max_waiting=1)
        assert queue.push(WaitingRequest("one", "w", 1.0), 1.0)
        assert not queue.push(WaitingRequest("two", "w", 1.0), 1.0)
        assert queue.remove("one", "w")
        assert queue.push(WaitingRequest("two", "w", 1.0), 1.0)


class TestHealth:
    def eject(self, health, now):
        for _ in range(FAULTS_TO_EJECT):
            health.record_fault(now, may_eject=True)

    def test_faults_in_a_row_eject_and_probes_restore(self):
        health = UpstreamHealth(0.0, cold=False)
        self.eject(health, 0.0)
        assert not health.check_available(INITIAL_EJECTION_S / 2)
        assert health.check_available(INITIAL_EJECTION_S)
        health.record_start()
        assert not health.check_available(INITIAL_EJECTION_S)
        for _ in range(SUCCESSES_TO_RECOVER):
            health.record_success(0.01, 2.0)
        assert health.state == "healthy"
        assert health.compute_slot_fraction(2.0) == SLOW_START_FRACTION
        assert health.compute_slot_fraction(2.0 + SLOW_START_S) == 1.0

    def test_answer_in_between_resets_the_count(self):
        health = UpstreamHealth(0.0, cold=False)
        for _ in range(3 * FAULTS_TO_EJECT):
            health.record_fault(0.0, may_eject=True)
            health.record_success(0.01, 0.0)
        assert health.state == "healthy"

    def test_last_upstreams_are_not_ejected(self):
        health = UpstreamHealth(0.0, cold=False)
        for _ in range(3 * FAULTS_TO_EJECT):
            health.record_fault(0.0, may_eject=False)
        assert health.check_available(0.0)

    def test_ejections_grow_longer_up_to_a_limit(self):
        health = UpstreamHealth(0.0, cold=False)
        self.eject(health, 0.0)
        now = 0.0
        for _ in range(12):
            now += MAX_EJECTION_S
            assert health.check_available(now)
            health.record_fault(now, may_eject=True)
        assert not health.check_available(now + MAX_EJECTION_S - 1)

    def test_leaving_upstream_takes_nothing_until_restored(self):
        health = UpstreamHealth(0.0, cold=False)
        health.mark_leaving()
        assert not health.check_available(100.0)
        health.mark_restored(100.0)
        assert health.check_available(100.0)

    def test_old_load_reports_decay(self):
        health = UpstreamHealth(0.0, cold=False)
        health.record_load_report(ReportedLoad(8.0, 0.0))
        assert health.compute_reported_load(0.0) == 8.0
        assert health.compute_reported_load(10.0) < 0.1


class TestPolicies:
    def simulate(self, policy, seed, *, lag=200, upstreams=8):
        """Return the largest load of any upstream under delayed reports."""
        random = Random(seed)
        loads = [0] * upstreams
        reports = list(loads)
        largest = 0
        for step in range(4000):
            if step % lag == 0:
                reports = list(loads)
            candidates = [
                Candidate(str(index), loads[index], reports[index], 10, 0.0)
                for index in range(upstreams)
            ]
            loads[int(policy.choose(candidates).upstream)] += 1
            largest = max(largest, *loads)
            busy = [index for index in range(upstreams) if loads[index]]
            if step > 40:
                loads[random.choice(busy)] -= 1
        return largest

    @pytest.mark.parametrize("seed", range(3))
    def test_lagging_reports_cause_no_herd(self, seed):
        chosen = self.simulate(TwoChoices(Random(seed)), seed)
        naive = self.simulate(LeastReported(), seed)
        assert chosen * 2 < naive

    @pytest.mark.parametrize("seed", range(3))
    def test_two_choices_beat_chance(self, seed):
        chosen = self.simulate(TwoChoices(Random(seed)), seed)
        assert chosen <= self.simulate(UniformChoice(Random(seed)), seed)

    def test_round_robin_takes_turns(self):
        policy = RoundRobin()
        candidates = [Candidate(name, 0, 0, 1, 0) for name in "ab"]
        taken = [policy.choose(candidates).upstream for _ in range(4)]
        assert taken == ["a", "b", "a", "b"]


class TestRetryBudget:
    def test_retries_stay_a_fraction_of_first_attempts(self):
        budget = RetryBudget(0.1, saved=0.0)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            retries += budget.try_retry()
        assert retries <= 100
