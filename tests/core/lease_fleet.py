"""Lease machines of several instances over a store that fails.

Time passes in ticks.  Each instance has its own clock.  Requests and
responses are delayed, lost or executed late, and the store may return
from an older copy, with a higher era and reused revisions.
"""

from dataclasses import dataclass
from dataclasses import replace

from gypsummount._core.duty_leases import LeaseMachine
from gypsummount._core.lease_actions import ActionKind
from gypsummount._core.lease_records import ERA_SHIFT

TICK_S = 0.05
LEASE_S = 3.0
CALL_TIMEOUT_S = 1.0
# Differences between the speeds of two clocks stay below the permitted one.
MAX_RATE_OFFSET = 0.004
MAX_REVISION = (1 << ERA_SHIFT) - 1


class FailingStore:
    """One record with a revision, and copies of it from each tick."""

    def __init__(self):
        self.record = None
        self.revision = 0
        self.era = 1
        self.copies = [(None, 0)]
        self.calls = 0

    def save_copy(self):
        self.copies.append((self.record, self.revision))

    def restore(self, age_s):
        index = max(0, len(self.copies) - 1 - round(age_s / TICK_S))
        self.record, self.revision = self.copies[index]
        self.era += 1

    def execute(self, action):
        self.calls += 1
        if action.kind is ActionKind.READ:
            return "read", self.record, self.era
        known = self.record.revision if self.record is not None else 0
        if action.record.revision & MAX_REVISION != known:
            return "conflict", None, self.era
        self.revision += 1
        self.record = replace(action.record, revision=self.revision)
        return "written", self.record, self.era


@dataclass(slots=True)
class Call:
    """A call in flight, and when the store executes it, if it does."""

    action: object
    execute_at: float
    answer_at: float
    fails_at: float
    answer: tuple | None = None


class Instance:
    """A machine with its own clock; ``paused_until`` is true time."""

    def __init__(self, name, incarnation, clock_offset, clock_rate, now):
        self.name = name
        self.clock_offset = clock_offset
        self.clock_rate = clock_rate
        self.call = None
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.machine = LeaseMachine(
            "usage", name, incarnation, LEASE_S, self.read_clock(now)
        )

    def read_clock(self, now):
        return self.clock_offset + now * self.clock_rate

    def is_holding(self, now):
        return self.machine.is_held(self.read_clock(now))


class Fleet:
    """Instances ``a``, ``b``, ... over one store."""

    def __init__(self, random, size=4):
        self.random = random
        self.now = 0.0
        self.store = FailingStore()
        self.down_until = 0.0
        self.loss_rate = 0.0
        self.late_calls = []
        self.dead = set()
        self.incarnation = 0
        self.instances = {}
        for name in "abcdefgh"[:size]:
            self.start(name)
        self.rank()

    def start(self, name):
        """Start an instance, or restart it under the same name."""
        self.incarnation += 1
        self.dead.discard(name)
        self.instances[name] = Instance(
            name,
            self.incarnation,
            self.random.uniform(0.0, 1000.0),
            1.0 + self.random.uniform(-MAX_RATE_OFFSET, MAX_RATE_OFFSET),
            self.now,
        )

    def kill(self, name):
        instance = self.instances.pop(name, None)
        if instance is not None and instance.call is not None:
            self.late_calls.append(instance.call)
        self.dead.add(name)

    def rank(self, *, names=None):
        """Make the named instances candidates, or all in a random order."""
        if names is None:
            names = sorted(self.instances)
            self.random.shuffle(names)
        for instance in self.instances.values():
            instance.machine.set_rank(None)
        for index, name in enumerate(names):
            if name in self.instances:
                self.instances[name].machine.set_rank(min(index, 1))

    def list_holders(self):
        return [
            instance
            for instance in self.instances.values()
            if instance.is_holding(self.now)
        ]

    def run(self, duration_s, observe=None):
        for _ in range(round(duration_s / TICK_S)):
            self.tick()
            if observe is not None:
                observe(self)

    def tick(self):
        self.now += TICK_S
        for call in self.late_calls:
            self._execute(call)
        self.late_calls = [
            call for call in self.late_calls if call.answer is None
        ]
        for instance in self.instances.values():
            if instance.call is not None:
                self._execute(instance.call)
            if self.now >= instance.paused_until:
                self._advance(instance)
        self.store.save_copy()

    def _execute(self, call):
        if call.answer is None and self.now >= call.execute_at:
            call.answer = self.store.execute(call.action)

    def _advance(self, instance):
        now = instance.read_clock(self.now)
        machine = instance.machine
        call = instance.call
        if call is not None:
            if call.answer is not None and self.now >= call.answer_at:
                self._report(machine, call.answer, now)
            elif self.now >= call.fails_at:
                is_write = call.action.kind is ActionKind.WRITE
                machine.record_unknown(now, is_write=is_write)
                self.late_calls.append(call)
            else:
                return
            instance.call = None
        action = machine.decide(now)
        if action.kind is not ActionKind.WAIT:
            instance.call = self._send(instance, action)

    def _report(self, machine, answer, now):
        kind, record, era = answer
        if record is not None:
            position = (era << ERA_SHIFT) + record.revision
            record = replace(record, era=era, revision=position)
        if kind == "read":
            machine.record_reading(record, era, now)
        elif kind == "written":
            machine.record_written(record, now)
        else:
            machine.observe_era(era, now)
            machine.record_conflict(now)

    def _send(self, instance, action):
        random = self.random
        execute_at = self.now + random.uniform(0.0, 0.1)
        answer_at = execute_at + random.uniform(0.0, 0.1)
        is_cut = self.now < max(instance.cut_until, self.down_until)
        if is_cut or random.random() < self.loss_rate:
            execute_at = float("inf")
        elif random.random() < self.loss_rate:
            execute_at += random.uniform(0.0, 5.0)
            answer_at = float("inf")
        elif random.random() < self.loss_rate:
            answer_at = float("inf")
        return Call(action, execute_at, answer_at, self.now + CALL_TIMEOUT_S)


class Watch:
    """Checks at each tick that the duty has one holder, by their clocks."""

    def __init__(self):
        self.history = []

    def __call__(self, fleet):
        holders = fleet.list_holders()
        assert len(holders) <= 1, [holder.name for holder in holders]
        for holder in holders:
            self._record(holder.name, holder.machine.token, fleet.now)

    def _record(self, name, token, now):
        if self.history and self.history[-1][:2] == [name, token]:
            self.history[-1][3] = now
            return
        if self.history:
            assert token > self.history[-1][1], self.history
        self._check_return(name, now)
        self.history.append([name, token, now, now])

    def _check_return(self, name, now):
        others = set()
        for other, _, _, ended_at in reversed(self.history):
            if now - ended_at >= LEASE_S:
                return
            if other == name:
                assert not others, self.history
                return
            others.add(other)
