"""Tests of gossip between agents.

Member records are sent only when they have changed, heartbeats always.
"""

from dataclasses import replace
from random import Random

import pytest

from gypsummount._agent.gossip import Gossip
from gypsummount._agent.gossip import GOSSIP_PERIOD_S
from gypsummount._agent.state import AgentSettings
from gypsummount._agent.state import AgentState
from gypsummount._common.rpc import ChannelPool
from gypsummount._core.rollouts import Veto

FLEET_SIZE = 8
# Requirement: control traffic takes at most 4 KB per second and instance.
MAX_BYTES_PER_S = 4000.0
ROUNDS = 40
SPREAD_ROUNDS = 4


class Agents:
    """Agents that exchange digests in memory, counting bytes."""

    def __init__(self, count, seed):
        self.random = Random(seed)
        self.sent = 0
        self.gossips = [self.create(index) for index in range(count)]

    def create(self, index):
        settings = AgentSettings(
            f"instance-{index}",
            f"region-{index // 2}-a",
            f"region-{index // 2}",
            f"10.0.0.{index + 1}:8082",
            f"10.0.0.{index + 1}:8083",
            "10.0.1.1:80",
            "",
            (),
            b"p" * 16,
            "o" * 16,
        )
        state = AgentState(settings, f"{index:012x}")
        return Gossip(state, ChannelPool(), self.random)

    def exchange(self, sender, receiver, *, lose_answer=False):
        address = receiver._state.settings.listen
        digest = sender._build_digest(address)
        answer = receiver.answer(digest)
        self.sent += digest.ByteSize() + answer.ByteSize()
        if not lose_answer:
            sender._merge(answer)

    def run_round(self, **faults):
        for gossip in self.gossips:
            self.run_round_of(gossip, **faults)

    def run_round_of(self, gossip, **faults):
        gossip._state.refresh_own_record()
        others = [other for other in self.gossips if other is not gossip]
        count = min(gossip._count_peers(), len(others))
        for peer in self.random.sample(others, count):
            self.exchange(gossip, peer, **faults)

    def list_records_of(self, instance):
        return [
            member
            for gossip in self.gossips
            for member in gossip._state.members.list_known()
            if member.instance == instance
        ]


@pytest.fixture(params=[1, 2, 3], ids=str)
def agents(request):
    """A fleet whose agents have exchanged their member records."""
    fleet = Agents(FLEET_SIZE, request.param)
    for _ in range(SPREAD_ROUNDS):
        fleet.run_round()
    return fleet


class TestSpread:
    def test_all_agents_know_each_other(self, agents):
        for gossip in agents.gossips:
            assert len(gossip._state.members.list_known()) == FLEET_SIZE - 1

    def test_change_reaches_all_within_few_rounds(self, agents):
        veto = Veto("move", 1, "bad")
        agents.gossips[0]._state.add_veto(veto)
        for _ in range(SPREAD_ROUNDS):
            agents.run_round()
        for gossip in agents.gossips:
            assert gossip._state.list_vetoes() == {veto}

    def test_phase_change_reaches_all_in_one_round(self, agents):
        waiting = [gossip._state.changed for gossip in agents.gossips[1:]]
        agents.gossips[0]._state.phase = "leaving"
        agents.run_round_of(agents.gossips[0])
        seen = agents.list_records_of("instance-0")
        assert [member.phase for member in seen] == ["leaving"] * (
            FLEET_SIZE - 1
        )
        assert all(changed.is_set() for changed in waiting)

    def test_lost_answers_only_delay_a_change(self, agents):
        veto = Veto("move", 1, "bad")
        agents.gossips[0]._state.add_veto(veto)
        for _ in range(3 * SPREAD_ROUNDS):
            agents.run_round(lose_answer=True)
        for gossip in agents.gossips:
            assert gossip._state.list_vetoes() == {veto}

    def test_heartbeats_are_sent_without_records(self, agents):
        before = min(
            member.beat for member in agents.list_records_of("instance-0")
        )
        for _ in range(2 * SPREAD_ROUNDS):
            agents.run_round()
        after = [
            member.beat for member in agents.list_records_of("instance-0")
        ]
        assert min(after) > before

    def test_restarted_agent_is_known_and_gets_all_records(self, agents):
        fresh = agents.create(0)
        own = fresh._state.members.own
        fresh._state.members.own = replace(own, started=own.started + 1)
        agents.gossips[0] = fresh
        for _ in range(2 * SPREAD_ROUNDS):
            agents.run_round()
        assert len(fresh._state.members.list_known()) == FLEET_SIZE - 1
        started = fresh._state.members.own.started
        seen = agents.list_records_of("instance-0")
        assert {member.started for member in seen} == {started}


class TestCost:
    def test_idle_fleet_stays_within_rate_limit(self, agents):
        agents.sent = 0
        for _ in range(ROUNDS):
            agents.run_round()
        seconds = ROUNDS * GOSSIP_PERIOD_S
        rate = agents.sent / seconds / FLEET_SIZE
        print(f"{rate:.0f} bytes/s for each agent")
        assert rate <= MAX_BYTES_PER_S
