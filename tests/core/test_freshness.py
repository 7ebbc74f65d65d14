"""Freshness proofs over lost and late messages after a key withdrawal."""

from random import Random

import pytest

from gypsummount._core.freshness import FreshnessProof

LIMIT_S = 4.0
WITHDRAWAL_BOUND_S = 5.0


class TestProof:
    def test_no_proof_is_not_fresh(self):
        proof = FreshnessProof(LIMIT_S)
        assert not proof.is_fresh(0.0)
        assert proof.get_age(0.0) is None

    def test_peer_proof_counts_from_the_message_that_it_answers(self):
        """Guards against digests that prove more than they should.

        A digest may wait in the socket, here for 9 s, before it is read,
        so its proof counts from the message that it replies to, not from
        its arrival.
        """
        proof = FreshnessProof(LIMIT_S)
        proof.record_peer_proof(7, asked_at=1.0, age_s=0.5)
        assert proof.is_fresh(4.4)
        assert not proof.is_fresh(10.0)

    def test_proof_for_an_older_catalog_is_ignored(self):
        proof = FreshnessProof(LIMIT_S)
        proof.record_read(9, 1.0)
        proof.record_peer_proof(8, asked_at=6.0, age_s=0.0)
        assert not proof.is_fresh(6.0)

    def test_peer_without_a_proof_gives_none(self):
        proof = FreshnessProof(LIMIT_S)
        proof.record_peer_proof(7, asked_at=1.0, age_s=None)
        assert proof.get_age(1.0) is None

    def test_withdrawn_proof_of_a_later_revision_proves_nothing(self):
        """Guards against a proof for a configuration that the store lost.

        The store was restored; the older revision of a peer is in force.
        """
        proof = FreshnessProof(LIMIT_S)
        proof.record_read(9, 1.0)
        proof.withdraw(8)
        assert not proof.is_fresh(1.0)
        proof.record_peer_proof(8, asked_at=2.0, age_s=0.5)
        assert proof.is_fresh(2.0)


class _Instance:
    """An instance of the modelled fleet, with its own boot clock."""

    def __init__(self, random):
        self.offset = random.uniform(0, 1000)
        self.proof = FreshnessProof(LIMIT_S)
        self.holds_key = True
        self.echoes = {}


class TestFleetModel:
    """No keyed request is sent later than the bound after a withdrawal.

    The model compares each send to the true time of the withdrawal.
    """

    @pytest.mark.parametrize("seed", range(60))
    def test_no_keyed_send_after_the_bound(self, seed):
        random = Random(seed)
        fleet = [_Instance(random) for _ in range(4)]
        withdrawn_at = random.uniform(2, 10)
        network = []
        cut_off = {random.randrange(4), random.randrange(4)}
        now = 0.0
        while now < 25:
            now += random.expovariate(8)
            index = random.randrange(4)
            instance = fleet[index]
            clock = now + instance.offset
            reads = index not in cut_off or now < withdrawn_at - 1
            if reads and random.random() < 0.4:
                is_before_withdrawal = now < withdrawn_at
                instance.holds_key = (
                    instance.holds_key and is_before_withdrawal
                )
                instance.proof.record_read(
                    1 if is_before_withdrawal else 2, clock
                )
            for peer in range(4):
                if peer != index and random.random() < 0.7:
                    network.append(
                        (
                            now + random.expovariate(0.7),
                            index,
                            peer,
                            1 if instance.holds_key else 2,
                            instance.proof.get_age(clock),
                            clock,
                            instance.echoes.get(peer),
                        )
                    )
            due = [message for message in network if message[0] <= now]
            network = [message for message in network if message[0] > now]
            for _, source, target, revision, age_s, sent, echo in due:
                receiver = fleet[target]
                receiver.echoes[source] = sent
                own = 1 if receiver.holds_key else 2
                if echo is not None and revision == own:
                    receiver.proof.record_peer_proof(revision, echo, age_s)
            is_sent = instance.holds_key and instance.proof.is_fresh(clock)
            assert not (is_sent and now > withdrawn_at + WITHDRAWAL_BOUND_S)
