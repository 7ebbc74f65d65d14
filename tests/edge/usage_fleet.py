"""A fleet that exchanges usage messages in virtual time, with failures."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from math import ceil
from random import Random

from gypsummount._common.metrics import Metrics
from gypsummount._edge import usage as usage_module
from gypsummount._edge import usage_reporter as reporter_module
from gypsummount._edge.duties import DutyPeer
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.peers import Peers
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.usage import Usage
from tests.edge.test_peers import build_digest

START = 1_000_000.0
WINDOW = 200_000
TICK_S = 0.25
# A window without the counts of a killed instance is reported by then.
DECISION_S = 6.0
TICKS_PER_S = int(1 / TICK_S)
DUTIES = DutySettings("127.0.0.1:1", ("usage",))
WORKSPACES = ("w1", "w2", "w3")


class Clock:
    """Unix time of the fleet; the boot clock differs by a constant."""

    def __init__(self):
        self.at = START

    def read_wall(self):
        return self.at

    def read_monotonic(self):
        return self.at - START + 50.0


def install(clock, setattr_):
    for module in (usage_module, reporter_module):
        setattr_(module, "read_wall", clock.read_wall)
        setattr_(module, "read_monotonic", clock.read_monotonic)


@dataclass(slots=True)
class Lease:
    """The lease of one instance over the store of the fleet."""

    fleet: object
    name: str
    token: int = 0
    payload: str = ""
    on_release: object = None

    def is_held(self, now):
        return self.token > 0 and self.fleet.token == self.token

    async def write_payload(self, payload):
        if not self.is_held(0.0):
            return False
        outcome = self.fleet.random.random()
        if outcome < self.fleet.write_loss:
            return False
        self.fleet.stored.append(payload)
        self.payload = payload
        return outcome >= 2 * self.fleet.write_loss

    async def call(self, body):
        if not self.is_held(0.0):
            return DutyResult(DutyOutcome.NOT_SENT)
        return self.fleet.take_call(self.token, body)


class Duties:
    def __init__(self, fleet, lease):
        self._fleet = fleet
        self.leases = {"usage": lease}

    def get_holder(self, duty):
        return self._fleet.holder

    def get_first_candidate(self, duty):
        return self._fleet.candidate


class Gossip:
    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self.handlers = {}

    def add_handler(self, mark, handler):
        self.handlers[mark] = handler

    def send(self, data, host):
        self._fleet.send(data, self._host, host)


@dataclass(slots=True)
class Instance:
    """One instance; ``is_running`` is False while it is dead or frozen."""

    usage: Usage
    lease: Lease
    peers: Peers
    gossip: Gossip
    digest: object
    is_running: bool = True


@dataclass(slots=True)
class Settings:
    instance: str
    domain: str
    duties: DutySettings = field(default_factory=lambda: DUTIES)


class Fleet:
    """Instances that exchange usage messages in virtual time."""

    def __init__(self, clock, size, seed=0):
        self.clock = clock
        self.random = Random(seed)
        self.loss = 0.0
        self.write_loss = 0.0
        self.call_outcomes = None
        self.token = 0
        self.stored = [""]
        self.holder = None
        self.candidate = None
        self.instances = {}
        self.cut = set()
        self.pending = []
        self.true_counts = {}
        self.calls = {}
        self.late = []
        self.datagrams = 0
        self.ticks = 0
        for number in range(size):
            self.start(number)
        self.elect(0)

    def start(self, number):
        """Start an instance, or start it again."""
        digest = replace(
            build_digest(number, f"r{number % 3}"),
            name=f"n{number}",
            incarnation=int(self.clock.at * 1000),
            sent_at=self.clock.at,
        )
        peers = Peers(digest.region, digest.domain)
        lease = Lease(self, digest.name)
        gossip = Gossip(self, digest.host)
        usage = Usage(
            Settings(digest.name, digest.domain),
            digest.incarnation,
            Duties(self, lease),
            peers,
            gossip,
            lambda window, counts: (window, dict(counts)),
            Metrics(None, ""),
        )
        self.instances[number] = Instance(usage, lease, peers, gossip, digest)

    def elect(self, number, candidate=1):
        """Give the lease to an instance, with what the store contains."""
        self.token += 1
        instance = self.instances[number]
        instance.lease.token = self.token
        instance.lease.payload = self.stored[-1]
        digest = instance.digest
        self.holder = DutyPeer(
            digest.name, digest.host, digest.region, self.token
        )
        digest = self.instances[candidate].digest
        self.candidate = DutyPeer(digest.name, digest.host, digest.region)

    def send(self, data, sender, receiver):
        self.datagrams += 1
        if {sender, receiver} & self.cut:
            return
        for _ in range(self.random.choice((1, 1, 2)) if self.loss else 1):
            if self.random.random() >= self.loss:
                self.pending.append((data, sender, receiver))

    def deliver(self):
        if self.loss:
            self.random.shuffle(self.pending)
        for _ in range(20):
            pending, self.pending = self.pending, []
            for data, sender, receiver in pending:
                for instance in self.instances.values():
                    is_receiver = instance.digest.host == receiver
                    if is_receiver and instance.is_running:
                        instance.gossip.handlers[data[:2]](data, sender)

    def take_call(self, token, report):
        outcome = DutyOutcome.DONE
        if self.call_outcomes is not None:
            outcome = self.random.choice(self.call_outcomes)
        if outcome is DutyOutcome.DONE:
            self.execute(report)
        elif outcome is DutyOutcome.UNKNOWN and self.random.random() < 0.6:
            self.late.append(report)
        return DutyResult(outcome, "test")

    def execute(self, report):
        window, counts = report
        known = self.calls.setdefault(window, counts)
        assert known == counts, f"two reports of window {window}"

    def exchange_digests(self):
        now = self.clock.read_monotonic()
        running = [
            instance
            for instance in self.instances.values()
            if instance.is_running and instance.digest.host not in self.cut
        ]
        for instance in running:
            for other in running:
                if other is not instance:
                    instance.peers.accept(
                        replace(other.digest, sent_at=now), now
                    )

    async def run(self, span_s, rate=12):
        """Let time pass; each running instance gets ``rate`` requests/s."""
        for _ in range(int(span_s * TICKS_PER_S)):
            self.clock.at += TICK_S
            self.ticks += 1
            if self.ticks % 2 == 0:
                self.exchange_digests()
            for number, instance in list(self.instances.items()):
                if not instance.is_running:
                    continue
                self.serve(instance, rate)
                if (self.ticks + number) % TICKS_PER_S == 0:
                    await instance.usage.exchange()
                await instance.usage._reporter.record()
                await instance.usage._reporter.deliver()
            self.deliver()
            if self.late and self.random.random() < 0.1:
                self.execute(self.late.pop(0))

    def serve(self, instance, rate):
        for _ in range(ceil(rate * TICK_S)):
            workspace = self.random.choice(WORKSPACES)
            window = instance.usage.counts.record_send(
                workspace, self.clock.at
            )
            if self.random.random() < 0.1:
                instance.usage.counts.record_not_run(workspace, window)
                continue
            true = self.true_counts.setdefault(window, {})
            true[workspace] = true.get(workspace, 0) + 1

    def check_reports(self, max_error=DUTIES.usage_off):
        """Check every report against the true counts; return the windows."""
        for window, counts in self.calls.items():
            true = self.true_counts.get(window, {})
            assert counts.keys() == true.keys()
            for workspace, count in true.items():
                gap = abs(counts[workspace] - count)
                assert gap <= max_error * count, (window, workspace)
        return sorted(self.calls)

    def check_all_reported(self, max_error=0):
        """Check the reports, and that no window is missed."""
        last = int((self.clock.at - DECISION_S) // DUTIES.report_window_s)
        windows = self.check_reports(max_error)
        assert windows[: last - WINDOW] == list(range(WINDOW, last))
