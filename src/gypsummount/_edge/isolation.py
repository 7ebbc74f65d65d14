"""Detection that this instance gets no updates from anywhere."""

from gypsummount._common.logs import get_logger
from gypsummount._edge.digests import Digest
from gypsummount._edge.peers import Peers
from gypsummount._edge.replica import Replica

# A freshness proof older than this (s) suggests that no updates arrive.
ISOLATION_PROOF_AGE_S = 2.0

_log = get_logger("process")


class Isolation:
    """Tells whether neither the store nor the peers send updates.

    While most peers are live, the store itself is unreachable, so no
    other instance can have updates that this one lacks.
    """

    def __init__(self, replica: Replica, peers: Peers) -> None:
        self._replica = replica
        self._peers = peers
        self._is_isolated = False

    def update(self, live: list[Digest], now: float) -> bool:
        """Return whether this instance is isolated, given the live peers."""
        age_s = self._replica.proof.get_age(now)
        is_alone = 2 * len(live) < len(self._peers.list_known())
        was_isolated = self._is_isolated
        self._is_isolated = (
            is_alone and age_s is not None and age_s > ISOLATION_PROOF_AGE_S
        )
        if self._is_isolated != was_isolated:
            _log.warning(
                "Isolated: no updates from the store or from most peers."
                if self._is_isolated
                else "No longer isolated: updates arrive again."
            )
        return self._is_isolated
