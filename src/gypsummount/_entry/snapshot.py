"""Last known configuration, keys, rollouts and peers of an entry."""

from dataclasses import dataclass

from gypsummount._common.peer_messages import unpack_key
from gypsummount._common.peer_messages import unpack_member
from gypsummount._common.peer_messages import unpack_veto
from gypsummount._config.model import KeyPolicy
from gypsummount._config.model import RuleSet
from gypsummount._config.model import StalePolicy
from gypsummount._config.parser import load_rules
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.keys import KeyTable
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member
from gypsummount._proto import peer_pb2


@dataclass(slots=True)
class RolloutStatus:
    """State of a rollout as reported by the agent.

    ``ends_at`` is the deadline of the attempt (boot clock, s).
    """

    name: str
    serial: int
    attempt: int
    phase: str
    step: int
    ends_at: float


@dataclass(slots=True, frozen=True)
class Peer:
    """Another entry, with its failure domain and region."""

    entry: EntryInfo
    domain: str
    region: str


class Snapshot:
    """Last state received from the agent; it is used while that is down.

    A configuration or key set is replaced only by one with a higher
    serial, and a rollout is never replaced by one with a lower serial.
    ``changes`` counts the updates, so that readers can cache what they
    compute from them.
    """

    def __init__(self, pepper: bytes, name: str, now: float) -> None:
        self._pepper = pepper
        self._name = name
        self.rules = RuleSet()
        self.config_serial = 0
        self.keys = KeyTable(pepper, 0, [])
        self.rollouts: dict[str, RolloutStatus] = {}
        self.vetoes: set[Veto] = set()
        self.members: list[Member] = []
        self.peers: list[Peer] = []
        self.draining: frozenset[str] = frozenset()
        self.keys_may_be_stale = False
        self.updated_at = now
        self.changes = 0

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration has arrived."""
        return self.config_serial > 0

    def apply(self, update: peer_pb2.EntryUpdate, now: float) -> bool:
        """Apply an update; return whether the configuration changed.

        ``now`` is in seconds of the boot clock.
        """
        self.updated_at = now
        self.keys_may_be_stale = update.keys_may_be_stale
        rules_changed = self._apply_config(update)
        if update.HasField("keys") and update.keys.serial > self.keys.serial:
            records = [unpack_key(record) for record in update.keys.records]
            self.keys = KeyTable(self._pepper, update.keys.serial, records)
        self._apply_rollouts(update, now)
        self.vetoes.update(unpack_veto(veto) for veto in update.vetoes)
        self.draining = frozenset(update.draining)
        self._apply_members(update)
        self.changes += 1
        return rules_changed

    def must_refuse_keys(self, now: float) -> bool:
        """Tell whether the key policy requires refusing requests with keys.

        This is so if the policy refuses stale keys, and key withdrawals
        may have been missed: the agent says so, or has sent no update
        for longer than the policy allows.
        """
        policy: KeyPolicy = self.rules.key_policy
        if policy.when_stale is StalePolicy.SERVE:
            return False
        if self.keys_may_be_stale:
            return True
        return now - self.updated_at > policy.stale_s

    def find_peer(self, incarnation: str) -> Peer | None:
        """Return the peer with an incarnation, None if it is unknown."""
        for peer in self.peers:
            if peer.entry.incarnation == incarnation:
                return peer
        return None

    def _apply_config(self, update: peer_pb2.EntryUpdate) -> bool:
        if not update.HasField("config"):
            return False
        if update.config.serial <= self.config_serial:
            return False
        self.rules = load_rules(update.config.text)
        self.config_serial = update.config.serial
        return True

    def _apply_rollouts(
        self, update: peer_pb2.EntryUpdate, now: float
    ) -> None:
        for view in update.rollouts:
            known = self.rollouts.get(view.name)
            if known is not None and view.serial < known.serial:
                continue
            self.rollouts[view.name] = RolloutStatus(
                view.name,
                view.serial,
                view.attempt,
                view.phase,
                view.step,
                now + view.remaining_s,
            )

    def _apply_members(self, update: peer_pb2.EntryUpdate) -> None:
        self.members = [unpack_member(member) for member in update.members]
        self.peers = [
            Peer(entry, member.domain, member.region)
            for member in self.members
            for entry in member.entries
            if entry.name != self._name
        ]
