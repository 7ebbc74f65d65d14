"""State of an agent: documents, ledgers, members and entries."""

from asyncio import Event
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from gypsummount._agent.documents import ConfigDocument
from gypsummount._agent.documents import DrainsDocument
from gypsummount._agent.documents import KeysDocument
from gypsummount._agent.documents import RolloutsDocument
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.peer_messages import unpack_entry
from gypsummount._common.peer_messages import unpack_veto
from gypsummount._config.model import RuleSet
from gypsummount._config.parser import load_rules
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.charts import StateMachine
from gypsummount._core.ledger import HolderState
from gypsummount._core.ledger import Ledger
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member
from gypsummount._core.membership import MemberTable
from gypsummount._core.membership import NO_CONTACT_AGE_S
from gypsummount._core.naming import WORKSPACES_SCOPE
from gypsummount._core.rollouts import RolloutTracker
from gypsummount._proto import peer_pb2

# Entries whose last report is older are ignored.
MAX_REPORT_AGE_S = 2.5


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Settings of an agent process; times are in seconds.

    ``live_list`` is the address of the platform's list of instances and
    upstreams, and ``live_lag_s`` the maximum lag of that list: an instance
    that is missing from it for longer is considered dead.  ``seeds`` are
    addresses of other agents.  ``pepper`` is the secret for hashing keys,
    which all instances share.  ``stop_limit_s`` limits the wait for
    leaving entries at a planned stop.
    """

    instance: str
    domain: str
    region: str
    listen: str
    admin_listen: str
    store: str
    live_list: str
    seeds: tuple[str, ...]
    pepper: bytes
    operator_token: str
    live_lag_s: float = 15.0
    stop_limit_s: float = 60.0
    advertise: str = ""

    @property
    def address(self) -> str:
        """Return the address at which peers reach the agent."""
        return self.advertise or self.listen


@dataclass(slots=True)
class AttachedEntry:
    """An entry of this instance and its last report.

    ``received_at`` is when that report came, and
    ``suspensions_reported_at`` when the last suspension was first
    reported, or the first report came (both boot clock, s).
    """

    report: peer_pb2.EntryReport
    received_at: float
    suspensions_reported_at: float

    @property
    def holder(self) -> str:
        """Return the entry's incarnation, which names it in ledgers.

        After a restart an entry is a new holder, since it has lost the
        shares and loans of the earlier process.
        """
        return self.report.holder

    @property
    def info(self) -> EntryInfo:
        """Return the entry's record for the other agents."""
        return unpack_entry(self.report.entry)


@dataclass(slots=True)
class LedgerCopy:
    """A ledger and when its read began (boot clock, s)."""

    ledger: Ledger
    read_at: float


@dataclass(slots=True)
class RolloutTrackers:
    """Trackers of all rollouts that were ever started, by name.

    None is removed, also when its rollout rule is removed.
    """

    by_name: dict[str, RolloutTracker] = field(default_factory=dict)

    def apply(self, document: RolloutsDocument, now: float) -> bool:
        """Apply newer states; tell whether there were any."""
        changed = False
        for state in document.states:
            tracker = self.by_name.get(state.name)
            if tracker is None:
                self.by_name[state.name] = RolloutTracker(state, now)
                changed = True
            else:
                changed = tracker.apply_state(state, now) or changed
        return changed


class AgentState:
    """State that the tasks of one agent share, all on one event loop.

    ``entries`` are those that report to this agent, by name.
    ``listed_instances`` maps the names of the instances in the platform's
    live list to the addresses of their agents.  ``missing_since`` is when
    an instance that holds shares was first missing from that list (boot
    clock, s).
    """

    def __init__(self, settings: AgentSettings, incarnation: str) -> None:
        now = read_monotonic()
        self.settings = settings
        self.contact = StateMachine("contact")
        # Long enough ago to count as never.
        self.store_contact_at = now - NO_CONTACT_AGE_S
        self.config = ConfigDocument()
        self.keys = KeysDocument()
        self.drains = DrainsDocument()
        self.rules = RuleSet()
        self.rollouts = RolloutTrackers()
        self.ledgers: dict[str, LedgerCopy] = {}
        self.entries: dict[str, AttachedEntry] = {}
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.listed_instances: dict[str, str] = {}
        self.missing_since: dict[str, float] = {}
        self.phase = "serving"
        self.changed = Event()
        own = Member(
            settings.instance,
            incarnation,
            int(now * 1000),
            0,
            settings.domain,
            settings.region,
            settings.address,
            self.phase,
        )
        self.members = MemberTable(own)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the state."""
        self.changed.set()
        self.changed = Event()

    def record_store_answer(self) -> None:
        """Record that the store answered a call."""
        self.store_contact_at = read_monotonic()
        if self.contact.can_fire("answered"):
            self.contact.fire("answered")

    def record_store_failure(self) -> bool:
        """Record that a call to the store failed.

        Returns True only if this failure ended the contact, so that an
        outage is logged once.
        """
        if not self.contact.can_fire("failed"):
            return False
        self.contact.fire("failed")
        return True

    def apply_config(self, document: ConfigDocument) -> bool:
        """Apply a configuration of a higher serial; tell if it was applied."""
        if document.serial <= self.config.serial:
            return False
        self.rules = load_rules(document.text)
        self.config = document
        self.notify()
        return True

    def apply_keys(self, document: KeysDocument) -> bool:
        """Apply keys of a higher serial; tell whether they were applied."""
        if document.serial <= self.keys.serial:
            return False
        self.keys = document
        self.notify()
        return True

    def apply_drains(self, document: DrainsDocument) -> None:
        """Apply drains if their serial is higher."""
        if document.serial > self.drains.serial:
            self.drains = document
            self.notify()

    def apply_rollouts(self, document: RolloutsDocument) -> None:
        """Apply those states of rollouts that are newer."""
        if self.rollouts.apply(document, read_monotonic()):
            self.notify()

    def apply_ledger(self, ledger: Ledger, read_at: float) -> None:
        """Keep a ledger unless the known one is newer.

        A ledger of the same sequence number updates the read time.
        """
        known = self.ledgers.get(ledger.scope)
        if known is not None and ledger.seq < known.ledger.seq:
            return
        self.ledgers[ledger.scope] = LedgerCopy(ledger, read_at)
        if known is None or ledger.seq > known.ledger.seq:
            self.notify()

    def accept_report(self, report: peer_pb2.EntryReport) -> None:
        """Record an entry's report.

        New vetoes and a change of the entry's phase or incarnation are
        announced at once.
        """
        known = self.entries.get(report.entry.name)
        now = read_monotonic()
        suspensions_reported_at = now
        if known is not None and known.report.holder == report.holder:
            if known.report.suspensions == report.suspensions:
                suspensions_reported_at = known.suspensions_reported_at
        entry = AttachedEntry(report, now, suspensions_reported_at)
        self.entries[report.entry.name] = entry
        vetoes = {unpack_veto(veto) for veto in report.vetoes}
        has_new_vetoes = bool(vetoes - set(self.members.own.vetoes))
        has_changed = (
            known is None
            or known.report.entry.phase != report.entry.phase
            or known.holder != report.holder
        )
        if has_new_vetoes or has_changed:
            self.refresh_own_record()
            self.notify()

    def list_fresh_entries(self) -> list[AttachedEntry]:
        """Return the entries that reported recently and have not retired."""
        now = read_monotonic()
        return [
            entry
            for entry in self.entries.values()
            if now - entry.received_at <= MAX_REPORT_AGE_S
            and not entry.report.retired
        ]

    def list_vetoes(self) -> set[Veto]:
        """Return the vetoes of this agent's entries and of all peers."""
        return self.members.collect_vetoes()

    def add_veto(self, veto: Veto) -> None:
        """Add a veto to the own member record, which gossip spreads."""
        own = self.members.own
        vetoes = tuple(sorted({*own.vetoes, veto}))
        self.members.update_own(replace(own, vetoes=vetoes))
        self.notify()

    def list_draining(self) -> frozenset[str]:
        """Return the upstreams that get no new requests.

        Operators drain them, or the platform lists them as leaving.
        """
        return frozenset(self.drains.servers) | self.leaving_upstreams

    def refresh_own_record(self) -> None:
        """Update the own member record from the entries and documents."""
        now = read_monotonic()
        entries = self.list_fresh_entries()
        vetoes = set(self.members.own.vetoes)
        for entry in entries:
            for veto in entry.report.vetoes:
                vetoes.add(unpack_veto(veto))
        config_serials = [entry.report.config_serial for entry in entries]
        keys_serials = [entry.report.keys_serial for entry in entries]
        own = self.members.own
        self.members.update_own(
            replace(
                own,
                phase=self.phase,
                config_serial=min([self.config.serial, *config_serials]),
                keys_serial=min([self.keys.serial, *keys_serials]),
                store_age_s=now - self.store_contact_at,
                entries=tuple(entry.info for entry in entries),
                vetoes=tuple(sorted(vetoes)),
            )
        )

    def may_keys_be_stale(self) -> bool:
        """Tell whether a key withdrawal may have been missed.

        That is possible once no known agent has had contact with the
        store for ``stale_s`` seconds.  If all instances with an active
        holder are alive and none has contact, the store itself is down,
        so nobody can write a withdrawal, and the keys are not stale.
        """
        now = read_monotonic()
        age_s = self.members.get_store_age(now)
        if age_s <= self.rules.key_policy.stale_s:
            return False
        copy = self.ledgers.get(WORKSPACES_SCOPE)
        if copy is None:
            return True
        return not all(
            self.members.is_alive(holder.instance, now)
            for holder in copy.ledger.holders.values()
            if holder.state is HolderState.ACTIVE
        )
