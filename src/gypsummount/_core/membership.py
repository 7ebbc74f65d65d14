"""Membership by gossip.

Each agent sends its own record and forwards those of the other agents.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import Veto

# A member without a heartbeat for this time is not considered alive.
SUSPECT_AFTER_S = 2.5
# A member without a heartbeat for this time is removed.
FORGET_AFTER_S = 60.0
# Age of the store contact of an agent that never reached the store.
NO_CONTACT_AGE_S = 1e9


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Slots of a service; ``free`` are open to requests of other entries."""

    service: str
    free: int
    total: int


@dataclass(slots=True, frozen=True)
class EntryInfo:
    """The state that an entry process publishes to other processes."""

    name: str
    token: str
    http_address: str
    peer_address: str
    phase: str
    loads: tuple[ServiceLoad, ...] = ()
    evidence: tuple[Evidence, ...] = ()

    @property
    def incarnation(self) -> str:
        """Return the incarnation, which is the first part of the token."""
        return self.token.rpartition(".")[0]

    def get_load(self, service: str) -> ServiceLoad | None:
        """Return the load of a service; None if the entry has none."""
        for load in self.loads:
            if load.service == service:
                return load
        return None


@dataclass(slots=True, frozen=True, order=True)
class RecordVersion:
    """Version of an instance's record: by start, then by change."""

    started: int
    revision: int


UNKNOWN_VERSION = RecordVersion(-1, -1)


@dataclass(slots=True, frozen=True)
class Beat:
    """A heartbeat of an agent, sent instead of its complete record.

    It applies to the record of the same version at the receiver.
    ``store_age_s`` is the time since the last contact with the store.
    """

    instance: str
    version: RecordVersion
    beat: int
    store_age_s: float


@dataclass(slots=True, frozen=True)
class Member:
    """One agent's record; only that agent increments ``beat``."""

    instance: str
    incarnation: str
    started: int
    beat: int
    domain: str
    region: str
    address: str
    phase: str
    config_serial: int = 0
    keys_serial: int = 0
    store_age_s: float = NO_CONTACT_AGE_S
    entries: tuple[EntryInfo, ...] = ()
    vetoes: tuple[Veto, ...] = ()
    revision: int = 0

    @property
    def version(self) -> "RecordVersion":
        """Return the version, which changes with the published state."""
        return RecordVersion(self.started, self.revision)

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of an instance's records: start, then beat."""
        return self.started, self.beat


@dataclass(slots=True, frozen=True)
class Phases:
    """The phases of an agent and its entries."""

    incarnation: str
    agent: str
    entries: tuple[str, ...]


def get_phases(member: Member) -> Phases:
    """Return the phases in a member's record."""
    entries = tuple(f"{entry.name} {entry.phase}" for entry in member.entries)
    return Phases(member.incarnation, member.phase, entries)


@dataclass(slots=True, frozen=True)
class UrgentUpdate:
    """State whose changes are sent to the entries without delay."""

    vetoes: frozenset[Veto]
    phases: frozenset[Phases]


@dataclass(slots=True)
class _KnownMember:
    member: Member
    seen_at: float


@dataclass(slots=True)
class MemberTable:
    """All members known to one agent; times are monotonic seconds.

    A known record and the time of its last heartbeat are kept for each
    other instance.
    """

    own: Member
    _known: dict[str, _KnownMember] = field(default_factory=dict)

    def update_own(self, member: Member) -> None:
        """Replace the own record and increment its beat.

        The revision is incremented only if a field other than the beat,
        the store age and the revision has changed.
        """
        own = self.own
        comparable = replace(
            member,
            beat=own.beat,
            store_age_s=own.store_age_s,
            revision=own.revision,
        )
        revision = own.revision + (comparable != own)
        self.own = replace(member, beat=own.beat + 1, revision=revision)

    def merge(self, members: "list[Member]", now: float) -> None:
        """Accept each record that is newer than the known one."""
        for member in members:
            if member.instance == self.own.instance:
                continue
            known = self._known.get(member.instance)
            if known is None or member.rank > known.member.rank:
                self._known[member.instance] = _KnownMember(member, now)

    def merge_beats(self, beats: "list[Beat]", now: float) -> None:
        """Apply each newer beat whose record is known already."""
        for beat in beats:
            known = self._known.get(beat.instance)
            if known is None or known.member.version != beat.version:
                continue
            if beat.beat > known.member.beat:
                member = replace(
                    known.member,
                    beat=beat.beat,
                    store_age_s=beat.store_age_s,
                )
                self._known[beat.instance] = _KnownMember(member, now)

    def list_beats(self, now: float) -> list[Beat]:
        """Return the own beat and one for each recently seen member."""
        beats = [_build_beat(self.own, 0.0)]
        for known in self._list_recent(now):
            beats.append(_build_beat(known.member, now - known.seen_at))
        return beats

    def list_newer(
        self, versions: dict[str, RecordVersion], now: float
    ) -> list[Member]:
        """Return the records that are newer than a peer's versions."""
        newer = [self.own] if _is_newer(self.own, versions) else []
        for known in self._list_recent(now):
            if _is_newer(known.member, versions):
                age_s = known.member.store_age_s + now - known.seen_at
                newer.append(replace(known.member, store_age_s=age_s))
        return newer

    def list_alive(self, now: float) -> list[Member]:
        """Return the own record and those of members that are alive.

        A member is alive for :data:`SUSPECT_AFTER_S` after a heartbeat.
        """
        alive = [self.own]
        for known in self._known.values():
            if now - known.seen_at <= SUSPECT_AFTER_S:
                alive.append(known.member)
        return alive

    def list_known(self) -> list[Member]:
        """Return the records of all other members, alive or not."""
        return [known.member for known in self._known.values()]

    def is_alive(self, instance: str, now: float) -> bool:
        """Tell whether an instance is this one or is alive.

        A member is alive for :data:`SUSPECT_AFTER_S` after a heartbeat.
        """
        if instance == self.own.instance:
            return True
        known = self._known.get(instance)
        return known is not None and now - known.seen_at <= SUSPECT_AFTER_S

    def get_store_age(self, now: float) -> float:
        """Return the age (s) of the latest store contact of any member."""
        ages = [self.own.store_age_s]
        for known in self._known.values():
            ages.append(known.member.store_age_s + now - known.seen_at)
        return min(ages)

    def collect_vetoes(self) -> set[Veto]:
        """Return the vetoes of all known members, alive or not."""
        vetoes = set(self.own.vetoes)
        for known in self._known.values():
            vetoes.update(known.member.vetoes)
        return vetoes

    def _list_recent(self, now: float) -> list[_KnownMember]:
        return [
            known
            for known in self._known.values()
            if now - known.seen_at <= FORGET_AFTER_S
        ]

    def collect_urgent(self) -> UrgentUpdate:
        """Return the vetoes, and the phases of the other members."""
        phases = {get_phases(known.member) for known in self._known.values()}
        vetoes = frozenset(self.collect_vetoes())
        return UrgentUpdate(vetoes, frozenset(phases))

    def remove_expired(self, now: float) -> None:
        """Remove members without a beat for :data:`FORGET_AFTER_S`."""
        for instance, known in list(self._known.items()):
            if now - known.seen_at > FORGET_AFTER_S:
                del self._known[instance]


def _build_beat(member: Member, elapsed_s: float) -> Beat:
    """Return a member's beat, its store age raised by ``elapsed_s``."""
    return Beat(
        member.instance,
        member.version,
        member.beat,
        member.store_age_s + elapsed_s,
    )


def _is_newer(member: Member, versions: dict[str, RecordVersion]) -> bool:
    known_version = versions.get(member.instance, UNKNOWN_VERSION)
    return member.version > known_version
