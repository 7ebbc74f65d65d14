"""Parts of the fleet's limits that an instance takes while it starts."""

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.quotas import QuotaShares
from gypsummount._edge.fleet_state import FleetState
from gypsummount._edge.peers import Peers
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.tokens import Tokens
from tests.edge.instances import create_settings

INITIAL_SHARE = 0.1


class TestRegistry:
    @pytest.fixture
    def replica(self):
        return Replica(None, FreshnessProof(4.0))

    def get_share(self, replica):
        """Return the share of a rate after an update, before any digest."""
        peers = Peers("r1", "r1-a")
        quotas = QuotaShares(INITIAL_SHARE)
        now = read_monotonic()
        quotas.take_token("w", 100.0, 100.0, now, max_wait_s=0.0)
        tokens = Tokens("own", quotas, replica, peers, None)
        state = FleetState(create_settings(), replica, peers)
        state.update_quotas(quotas, tokens, now)
        return quotas.get_share("w")

    def register(self, replica, *names):
        replica.revisions[Kind.INSTANCE] = 1
        for name in names:
            replica.instances[name] = InstanceRecord(name, "10.0.0.1")

    def test_unknown_registry_leaves_the_initial_share(self, replica):
        assert self.get_share(replica) == INITIAL_SHARE

    def test_empty_registry_leaves_the_initial_share(self, replica):
        """Guards against whole rates at instances that start together.

        A registry that lists not even this instance is not complete.
        """
        self.register(replica)
        assert self.get_share(replica) == INITIAL_SHARE

    def test_only_registered_instance_takes_the_whole_rate(self, replica):
        self.register(replica, "own")
        assert self.get_share(replica) == 1.0

    def test_registered_instances_keep_their_parts(self, replica):
        self.register(
            replica, "own", *(f"n{number}" for number in range(1, 20))
        )
        assert self.get_share(replica) == 1 / 20
