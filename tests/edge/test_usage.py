"""Usage counts and reports of a fleet, without a network."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from math import ceil
from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._common.metrics import Metrics
from gypsummount._core.usage_reports import encode_payload
from gypsummount._edge import usage as usage_module
from gypsummount._edge import usage_reporter as reporter_module
from gypsummount._edge.duties import DutyPeer
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.peers import Peers
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.usage import Usage
from gypsummount._edge.usage_messages import decode_news
from gypsummount._edge.usage_messages import NEWS_MARK
from tests.edge.test_peers import build_digest

START = 1_000_000.0
WINDOW = 200_000
TICK_S = 0.25
# A window without the counts of a killed instance is reported by then.
DECISION_S = 6.0
TICKS_PER_S = int(1 / TICK_S)
DUTIES = DutySettings("127.0.0.1:1", ("usage",))
WORKSPACES = ("w1", "w2", "w3")


class _Clock:
    """Unix time of the fleet; the boot clock differs by a constant."""

    def __init__(self):
        self.at = START

    def read_wall(self):
        return self.at

    def read_monotonic(self):
        return self.at - START + 50.0


@pytest.fixture
def clock(monkeypatch):
    created = _Clock()
    install(created, monkeypatch.setattr)
    return created


def install(clock, setattr_):
    for module in (usage_module, reporter_module):
        setattr_(module, "read_wall", clock.read_wall)
        setattr_(module, "read_monotonic", clock.read_monotonic)


@dataclass(slots=True)
class _Lease:
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


class _Duties:
    def __init__(self, fleet, lease):
        self._fleet = fleet
        self.leases = {"usage": lease}

    def get_holder(self, duty):
        return self._fleet.holder

    def get_first_candidate(self, duty):
        return self._fleet.candidate


class _Gossip:
    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self.handlers = {}

    def add_handler(self, mark, handler):
        self.handlers[mark] = handler

    def send(self, data, host):
        self._fleet.send(data, self._host, host)


@dataclass(slots=True)
class _Instance:
    """One instance; ``is_running`` is False while it is dead or frozen."""

    usage: Usage
    lease: _Lease
    peers: Peers
    gossip: _Gossip
    digest: object
    is_running: bool = True


@dataclass(slots=True)
class _Settings:
    instance: str
    domain: str
    duties: DutySettings = field(default_factory=lambda: DUTIES)


class _Fleet:
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
        lease = _Lease(self, digest.name)
        gossip = _Gossip(self, digest.host)
        usage = Usage(
            _Settings(digest.name, digest.domain),
            digest.incarnation,
            _Duties(self, lease),
            peers,
            gossip,
            lambda window, counts: (window, dict(counts)),
            Metrics(None, ""),
        )
        self.instances[number] = _Instance(usage, lease, peers, gossip, digest)

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


class TestReports:
    async def test_every_window_is_reported_exactly(self, clock):
        fleet = _Fleet(clock, 8)
        await fleet.run(40)
        fleet.check_all_reported(max_error=0)

    async def test_lost_and_repeated_datagrams_change_nothing(self, clock):
        """Guards against counts that need every datagram."""
        fleet = _Fleet(clock, 8, seed=3)
        fleet.loss = 0.3
        await fleet.run(40)
        assert len(fleet.check_reports(max_error=0)) >= 5

    async def test_window_is_reported_well_before_it_is_due(self, clock):
        fleet = _Fleet(clock, 8)
        await fleet.run(5 + 5)
        assert fleet.check_reports() == [WINDOW]

    async def test_few_datagrams_are_sent(self, clock):
        """Guards against messages by request or by pair of instances."""
        fleet = _Fleet(clock, 12)
        await fleet.run(30)
        # A part and a final one to two receivers a second, with answers.
        assert fleet.datagrams / 12 / 30 <= 6

    async def test_counts_are_dropped_once_they_are_reported(self, clock):
        fleet = _Fleet(clock, 4)
        await fleet.run(60)
        for instance in fleet.instances.values():
            assert len(instance.usage.counts.list_windows()) <= 4

    async def test_stopped_instance_sends_its_last_counts(self, clock):
        """Guards against a planned stop that costs counts."""
        fleet = _Fleet(clock, 6)
        await fleet.run(12)
        await fleet.instances[4].usage.finish()
        fleet.deliver()
        fleet.instances[4].is_running = False
        await fleet.run(20)
        assert len(fleet.check_reports(max_error=0)) >= 5


class TestLostInstances:
    async def test_killed_instance_costs_a_second_at_most(self, clock):
        """Guards against windows missed, or wrong, after each kill."""
        fleet = _Fleet(clock, 12)
        await fleet.run(13)
        fleet.instances[5].is_running = False
        await fleet.run(30)
        # Eleven of twelve instances sent all, the other but a second.
        fleet.check_all_reported(max_error=0.03)

    async def test_restarted_instance_adds_to_its_predecessor(self, clock):
        fleet = _Fleet(clock, 12)
        await fleet.run(12)
        fleet.instances[5].is_running = False
        await fleet.run(1)
        fleet.start(5)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0.03)

    async def test_window_of_a_cut_off_domain_is_missed(self, clock):
        """Guards against reports that lack a part that still serves."""
        fleet = _Fleet(clock, 6)
        await fleet.run(11)
        fleet.cut = {fleet.instances[number].digest.host for number in (2, 5)}
        await fleet.run(30)
        windows = fleet.check_reports()
        assert WINDOW + 1 in windows
        assert WINDOW + 2 not in windows
        assert WINDOW + 3 not in windows

    async def test_cut_that_heals_in_time_misses_nothing(self, clock):
        fleet = _Fleet(clock, 6)
        await fleet.run(11)
        fleet.cut = {fleet.instances[number].digest.host for number in (2, 5)}
        await fleet.run(6)
        fleet.cut = set()
        await fleet.run(20)
        fleet.check_all_reported(max_error=0)


class TestNewHolder:
    async def test_candidate_continues_after_a_kill(self, clock):
        """Guards against windows lost with the holder that collected them."""
        fleet = _Fleet(clock, 12)
        await fleet.run(13)
        fleet.instances[0].is_running = False
        await fleet.run(4)
        fleet.elect(1, candidate=2)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0.03)

    async def test_any_other_instance_gets_all_counts_again(self, clock):
        """Guards against a holder that knows only what is sent next."""
        fleet = _Fleet(clock, 8)
        await fleet.run(14)
        fleet.elect(6)
        await fleet.run(30)
        fleet.check_all_reported(max_error=0)

    async def test_restored_store_causes_no_second_report(self, clock):
        """Guards against other counts for a window of a lost record."""
        fleet = _Fleet(clock, 8)
        await fleet.run(15)
        fleet.call_outcomes = [DutyOutcome.UNKNOWN]
        await fleet.run(4)
        assert fleet.instances[0].usage._reports.recorded == WINDOW + 2
        fleet.call_outcomes = None
        # The store returns without the last record, and the holder is gone.
        del fleet.stored[-1:]
        fleet.instances[0].is_running = False
        fleet.elect(1, candidate=2)
        await fleet.run(20)
        counts = fleet.instances[1].usage._reporter._metrics.read_counts()
        assert counts["usage.windows_missed.record_lost"] == 1
        assert fleet.check_reports()[-1] > WINDOW + 3

    async def test_write_that_ends_under_another_token_does_not_count(
        self, clock, monkeypatch
    ):
        """Guards against calls for a record that a later holder replaced."""

        async def write_payload(lease, payload):
            lease.fleet.elect(0)
            return True

        monkeypatch.setattr(_Lease, "write_payload", write_payload)
        fleet = _Fleet(clock, 3)
        await fleet.run(2)
        fleet.stored.append(encode_payload(WINDOW - 1, WINDOW - 1, []))
        fleet.elect(0)
        await fleet.run(16)
        assert fleet.token > 3
        assert fleet.calls == {}

    async def test_lost_response_is_repeated_exactly(self, clock):
        """Guards against a retry with counts that came later."""
        fleet = _Fleet(clock, 6, seed=1)
        fleet.call_outcomes = [DutyOutcome.UNKNOWN, DutyOutcome.DONE]
        fleet.loss = 0.2
        await fleet.run(60)
        assert len(fleet.check_reports()) >= 8

    async def test_endpoint_that_is_down_costs_its_windows_only(self, clock):
        fleet = _Fleet(clock, 4)
        await fleet.run(10)
        fleet.call_outcomes = [DutyOutcome.OVERLOADED]
        await fleet.run(16)
        fleet.call_outcomes = None
        await fleet.run(16)
        metrics = fleet.instances[0].usage._reporter._metrics.read_counts()
        assert metrics["usage.windows_missed.unanswered"] >= 1
        assert metrics["usage.retries"] >= 3
        assert fleet.check_reports(max_error=0)[-1] >= WINDOW + 6

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_no_window_has_two_reports_whatever_fails(self, seed):
        """Guards against two reports of a window under mixed failures."""
        run_disturbed(seed)


def run_disturbed(seed):
    """Run a fleet in which holders, messages, writes and calls fail."""
    clock = _Clock()
    patch = pytest.MonkeyPatch()
    install(clock, patch.setattr)
    try:
        fleet = _Fleet(clock, 6, seed)
        fleet.loss = fleet.random.choice((0.0, 0.1, 0.3))
        fleet.write_loss = fleet.random.choice((0.0, 0.2))
        fleet.call_outcomes = [
            DutyOutcome.DONE,
            DutyOutcome.UNKNOWN,
            DutyOutcome.OVERLOADED,
        ]
        coroutine = disturb(fleet)
        with pytest.raises(StopIteration):
            coroutine.send(None)
    finally:
        patch.undo()
    return fleet


async def disturb(fleet):
    random = fleet.random
    for _ in range(12):
        await fleet.run(random.choice((2, 4, 6)))
        if random.random() < 0.3:
            lost = random.randint(0, 2)
            fleet.stored = fleet.stored[: len(fleet.stored) - lost] or [""]
            fleet.token += 1
        if random.random() < 0.5:
            number = random.randrange(6)
            fleet.start(number)
        if random.random() < 0.6 or fleet.token != fleet.holder.token:
            fleet.elect(random.randrange(6), random.randrange(6))


class TestMessages:
    async def test_record_is_announced_before_the_call(self, clock):
        """Guards against a holder that is killed while its call runs."""
        fleet = _Fleet(clock, 5)
        announced = []

        def take_call(token, report):
            announced.append(
                {
                    receiver
                    for data, sender, receiver in fleet.pending
                    if data.startswith(NEWS_MARK)
                    and decode_news(data).recorded == report[0]
                }
            )
            return DutyResult(DutyOutcome.DONE)

        fleet.take_call = take_call
        await fleet.run(8)
        others = [fleet.instances[number] for number in range(1, 5)]
        assert announced == [{other.digest.host for other in others}]

    async def test_receiver_that_has_restarted_gets_all_again(self, clock):
        """Guards against counts that only its earlier process had."""
        fleet = _Fleet(clock, 3)
        # The final counts of the first window are acknowledged and kept.
        fleet.call_outcomes = [DutyOutcome.OVERLOADED]
        await fleet.run(8)
        fleet.start(1)
        await fleet.run(3)
        collection = fleet.instances[1].usage._collection
        found = fleet.instances[0].usage.counts.get_part(WINDOW, 0, clock.at)
        source = fleet.instances[0].usage._own
        kept = collection._sources[source].windows[WINDOW]
        assert kept.parts[0].counts == found.counts


class TestInvalidMessages:
    @given(st.binary(max_size=120), st.sampled_from([b"U", b"K", b"N"]))
    def test_unreadable_datagrams_change_nothing(self, data, mark):
        """Guards against a datagram of another program that ends a task."""
        clock = _Clock()
        patch = pytest.MonkeyPatch()
        install(clock, patch.setattr)
        try:
            fleet = _Fleet(clock, 2)
            handlers = fleet.instances[0].gossip.handlers
            handlers[b"\xff" + mark](b"\xff" + mark + data, "127.0.0.9")
        finally:
            patch.undo()
        usage = fleet.instances[0].usage
        assert usage.list_gauges()["usage_recorded_window"] == -1
        assert usage._collection.sum_counts(WINDOW) == {}
