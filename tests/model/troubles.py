"""Faults and changes by the operator during a model run."""

from asyncio import create_task
from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.feed import Kind
from tests.model.judge import Acknowledgement
from tests.model.upstreams import LAPSE_S
from tests.model.upstreams import ModelUpstream

STORM_STEPS = 10
STORM_GAP_S = 0.33
TIMEOUT_S = 1.2


class Operator:
    """Makes changes in the store and records the acknowledged ones."""

    def __init__(self, fleet, judge, timeouts=(TIMEOUT_S,)):
        self._fleet = fleet
        self._timeouts = timeouts
        self._judge = judge
        self._version = 0

    def change_config(self):
        if self._fleet.store.is_down:
            return
        self._version += 1
        now = read_monotonic()
        timeout_s = self._timeouts[self._version % len(self._timeouts)]
        body = build_config(self._version, timeout_s)
        self._fleet.store.put(Kind.CATALOG, "main", body)
        self._judge.versions.append(Acknowledgement(str(self._version), now))

    async def storm(self):
        for _ in range(STORM_STEPS):
            self.change_config()
            await sleep(STORM_GAP_S)

    async def drain(self, upstream):
        """Let an upstream announce that it is draining; it keeps serving."""
        if self._fleet.store.is_down:
            return
        before = upstream.build_entry()
        upstream.drain()
        entry = upstream.build_entry()
        self._fleet.store.put(Kind.UPSTREAM, upstream.name, entry)
        left = Acknowledgement(upstream.name, read_monotonic())
        self._judge.left.append(left)
        await upstream.repeat_old(before)

    async def evacuate(self, domain, for_s):
        store = self._fleet.store
        if store.is_down or domain in store.objects[Kind.EVACUATION]:
            return
        store.put(Kind.EVACUATION, domain, {})
        order = Acknowledgement(domain, read_monotonic())
        self._judge.evacuated.append(order)
        await sleep(for_s)
        while store.is_down:
            await sleep(0.1)
        store.delete(Kind.EVACUATION, domain)
        self._judge.evacuated.remove(order)
        for upstream in self._fleet.upstreams.values():
            if upstream.domain == domain and upstream.is_up:
                upstream.turn_cold()


def build_config(version, timeout_s):
    """Return a configuration whose only route needs no key."""
    rule = {
        "name": "read",
        "kind": "safe",
        "targetLatencyS": 0.25,
        "priority": 1,
        "public": True,
        "match": {"pathPrefix": "/read/"},
        "action": {"service": "s", "timeoutS": timeout_s, "attempts": 2},
    }
    return {
        "version": version,
        "limits": {"idleTimeoutS": 15, "bodyBytes": 1_000_000},
        "listeners": [{"host": "h.example", "rules": [rule]}],
        "clusters": [
            {
                "name": "s",
                "healthPath": "/health",
                "coldStartS": 3.0,
                "coldPerS": 24.0,
            }
        ],
    }


class Troubles:
    """Injects faults that are drawn from a random generator."""

    def __init__(self, fleet, operator, random):
        self._fleet = fleet
        self._operator = operator
        self._random = random
        self._kinds = (
            self._kill,
            self._kill_herd,
            self._lose_domain,
            self._cut_store,
            self._cut_machine,
            self._freeze,
            self._silence,
            self._lose_datagrams,
            self._fail_store,
            self._compact,
            self._crash,
            self._crash_domain,
            self._evacuate,
            self._add_upstream,
            self._drain,
            self._storm,
        )

    async def run(self, span_s, count):
        """Start ``count`` faults within a span of ``span_s`` seconds."""
        moments = sorted(self._random.uniform(0, span_s) for _ in range(count))
        began = read_monotonic()
        create_task(self._change_now_and_then())
        for moment in moments:
            await sleep(max(0.0, began + moment - read_monotonic()))
            create_task(self._random.choice(self._kinds)())

    async def _change_now_and_then(self):
        while True:
            await sleep(self._random.uniform(0.5, 4.0))
            self._operator.change_config()

    def _list_alive(self):
        machines = self._fleet.machines.values()
        return [one for one in machines if one.is_alive]

    def _pick(self, most=1):
        alive = self._list_alive()
        count = min(len(alive), self._random.randint(1, most))
        return self._random.sample(alive, count)

    async def _restart(self, machines, for_s):
        for machine in machines:
            self._fleet.kill(machine)
        await sleep(for_s)
        for machine in machines:
            if not machine.is_alive:
                self._fleet.start(machine)

    async def _kill(self):
        await self._restart(self._pick(2), self._random.uniform(0.2, 3.5))

    async def _kill_herd(self):
        await self._restart(self._pick(8), self._random.uniform(0.2, 2.0))

    async def _lose_domain(self):
        domain = self._random.choice(list(self._fleet.regions))
        await self.lose_domain(domain, self._random.uniform(0.5, 5.5))

    async def lose_domain(self, domain, for_s):
        """Cut the power of a domain and restore it after ``for_s`` seconds.

        The upstreams restart together, the instances up to 0.5 s later.
        """
        machines = [
            one for one in self._list_alive() if one.links.domain == domain
        ]
        create_task(self._crash_all(self._list_domain(domain), for_s, True))
        await self._restart(machines, for_s + self._random.uniform(0, 0.5))

    async def _switch(self, machines, name, for_s):
        for machine in machines:
            setattr(machine.links, name, False)
        await sleep(for_s)
        for machine in machines:
            setattr(machine.links, name, True)

    async def _cut_store(self):
        name = self._random.choice(("reaches_store", "hears_store"))
        for_s = self._random.uniform(2.0, 9.0)
        await self._switch(self._pick(4), name, for_s)

    async def _cut_machine(self):
        machines = self._pick(3)
        for_s = self._random.uniform(2.0, 12.0)
        create_task(self._switch(machines, "reaches_store", for_s))
        await self._switch(machines, "reaches_peers", for_s)

    async def _freeze(self):
        for machine in self._pick(2):
            self._fleet.freeze(machine, self._random.uniform(0.5, 5.0))

    async def _silence(self):
        for machine in self._fleet.machines.values():
            if self._random.random() < 0.7:
                machine.links.silence()

    async def _lose_datagrams(self):
        machines = self._pick(4)
        for machine in machines:
            machine.links.loss = self._random.uniform(0.03, 0.6)
        await sleep(self._random.uniform(2.0, 6.0))
        for machine in machines:
            machine.links.loss = 0.0

    async def _fail_store(self):
        name = self._random.choice(("is_silent", "is_refusing"))
        setattr(self._fleet.store, name, True)
        await sleep(self._random.uniform(1.0, 6.0))
        setattr(self._fleet.store, name, False)

    async def _compact(self):
        self._fleet.store.mute_until = read_monotonic() + 1.0
        await sleep(1.0)
        self._fleet.store.compact()

    def _list_domain(self, domain):
        upstreams = self._fleet.upstreams.values()
        return [one for one in upstreams if one.domain == domain and one.is_up]

    async def _crash_all(self, upstreams, for_s, is_dark):
        for upstream in upstreams:
            upstream.crash(is_dark=is_dark)
        await sleep(for_s)
        for upstream in upstreams:
            upstream.come_back()
            create_task(upstream.announce())

    async def _crash(self):
        up = [one for one in self._fleet.upstreams.values() if one.is_up]
        if not up:
            return
        for_s = self._random.uniform(0.05, LAPSE_S + 1.0)
        is_dark = self._random.random() < 0.5
        await self._crash_all([self._random.choice(up)], for_s, is_dark)

    async def _crash_domain(self):
        domain = self._random.choice(list(self._fleet.regions))
        for_s = self._random.uniform(0.3, LAPSE_S)
        is_dark = self._random.random() < 0.5
        await self._crash_all(self._list_domain(domain), for_s, is_dark)

    async def _evacuate(self):
        domain = self._random.choice(list(self._fleet.regions))
        await self._operator.evacuate(domain, self._random.uniform(1.0, 9.0))

    async def _add_upstream(self):
        number = len(self._fleet.upstreams)
        domain = self._random.choice(list(self._fleet.regions))
        made = ModelUpstream(
            f"u{number}",
            f"10.9.0.{number}:80",
            domain,
            self._fleet.regions[domain],
            self._fleet.store,
            self._random,
        )
        made.come_back()
        self._fleet.add_upstream(made)

    async def _drain(self):
        up = [one for one in self._fleet.upstreams.values() if one.is_up]
        if len(up) > 3:
            await self._operator.drain(self._random.choice(up))

    async def _storm(self):
        await self._operator.storm()
