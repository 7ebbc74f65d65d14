"""Faults and changes by the operator during a model run."""

from asyncio import create_task
from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.store_feed import Kind
from tests.model.invariants import AcknowledgedChange
from tests.model.upstreams import ModelUpstream
from tests.model.upstreams import REGISTRATION_TTL_S

CONFIG_STREAM_STEPS = 10
CONFIG_STREAM_GAP_S = 0.33
ROUTE_TIMEOUT_S = 1.2


class Operator:
    """Makes changes in the store and records the acknowledged ones."""

    def __init__(self, fleet, checker, timeouts=(ROUTE_TIMEOUT_S,)):
        self._fleet = fleet
        self._timeouts = timeouts
        self._checker = checker
        self._version = 0
        self._is_repeating = False

    def change_config(self):
        if self._fleet.store.is_down or self._is_repeating:
            return
        self._version += 1
        now = read_monotonic()
        self._put_config()
        self._checker.versions.append(
            AcknowledgedChange(str(self._version), now)
        )

    def _put_config(self):
        timeout_s = self._timeouts[self._version % len(self._timeouts)]
        body = build_config(self._version, timeout_s)
        self._fleet.store.put(Kind.CATALOG, "main", body)

    async def restore_store(self, age_s, outage_s, repeat_s):
        """Restore the store; ``repeat_s`` later, repeat all that is lost."""
        store = self._fleet.store
        self._is_repeating = True
        store.is_refusing = True
        await sleep(outage_s)
        store.restore(age_s)
        store.is_refusing = False
        for upstream in self._fleet.upstreams.values():
            upstream.forget_written()
        await sleep(repeat_s)
        while store.is_down:
            await sleep(0.1)
        self._put_config()
        wanted = {change.name for change in self._checker.evacuated}
        for domain in wanted - store.objects[Kind.EVACUATION].keys():
            store.put(Kind.EVACUATION, domain, {})
        for domain in store.objects[Kind.EVACUATION].keys() - wanted:
            store.delete(Kind.EVACUATION, domain)
        self._is_repeating = False

    async def stream_config_changes(self):
        for _ in range(CONFIG_STREAM_STEPS):
            self.change_config()
            await sleep(CONFIG_STREAM_GAP_S)

    async def drain(self, upstream):
        """Let an upstream announce that it is draining; it keeps serving."""
        if self._fleet.store.is_down:
            return
        previous = upstream.build_registration()
        upstream.drain()
        registration = upstream.build_registration()
        self._fleet.store.put(Kind.UPSTREAM, upstream.name, registration)
        drained = AcknowledgedChange(upstream.name, read_monotonic())
        self._checker.drained.append(drained)
        # A heartbeat sent before the drain may arrive after it.
        await upstream.send_stale_heartbeat(previous)

    async def evacuate(self, domain, duration_s):
        store = self._fleet.store
        if store.is_down or domain in store.objects[Kind.EVACUATION]:
            return
        if self._is_repeating:
            return
        store.put(Kind.EVACUATION, domain, {})
        change = AcknowledgedChange(domain, read_monotonic())
        self._checker.evacuated.append(change)
        await sleep(duration_s)
        while store.is_down or self._is_repeating:
            await sleep(0.1)
        store.delete(Kind.EVACUATION, domain)
        self._checker.evacuated.remove(change)
        for upstream in self._fleet.upstreams.values():
            if upstream.domain == domain and upstream.is_up:
                upstream.start_cold_period()


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


class FaultInjector:
    """Injects faults that are drawn from a random generator."""

    def __init__(self, fleet, operator, random):
        self._fleet = fleet
        self._operator = operator
        self._random = random
        self._faults = (
            self._kill_few_instances,
            self._kill_many_instances,
            self._cut_domain_power,
            self._cut_store_links,
            self._cut_off_instances,
            self._freeze_instances,
            self._silence_connections,
            self._lose_datagrams,
            self._fail_store,
            self._compact_store,
            self._crash_upstream,
            self._crash_domain_upstreams,
            self._evacuate_domain,
            self._add_upstream,
            self._drain_upstream,
            self._stream_config_changes,
        )

    async def run(self, span_s, count):
        """Start ``count`` faults within a span of ``span_s`` seconds."""
        fault_times = sorted(
            self._random.uniform(0, span_s) for _ in range(count)
        )
        started_at = read_monotonic()
        create_task(self._change_config_at_random())
        for moment in fault_times:
            await sleep(max(0.0, started_at + moment - read_monotonic()))
            create_task(self._random.choice(self._faults)())

    async def _change_config_at_random(self):
        while True:
            await sleep(self._random.uniform(0.5, 4.0))
            self._operator.change_config()

    def _list_alive_instances(self):
        instances = self._fleet.instances.values()
        return [instance for instance in instances if instance.is_alive]

    def _sample_alive_instances(self, max_count=1):
        alive_instances = self._list_alive_instances()
        count = min(len(alive_instances), self._random.randint(1, max_count))
        return self._random.sample(alive_instances, count)

    async def _restart_instances(self, instances, duration_s):
        for instance in instances:
            self._fleet.kill(instance)
        await sleep(duration_s)
        for instance in instances:
            if not instance.is_alive:
                self._fleet.start(instance)

    async def _kill_few_instances(self):
        await self._restart_instances(
            self._sample_alive_instances(2), self._random.uniform(0.2, 3.5)
        )

    async def _kill_many_instances(self):
        await self._restart_instances(
            self._sample_alive_instances(8), self._random.uniform(0.2, 2.0)
        )

    async def _cut_domain_power(self):
        domain = self._random.choice(list(self._fleet.regions))
        await self.cut_domain_power(domain, self._random.uniform(0.5, 5.5))

    async def cut_domain_power(self, domain, duration_s):
        """Cut the power of a domain for ``duration_s`` seconds.

        The upstreams restart together, the instances up to 0.5 s later.
        """
        instances = [
            instance
            for instance in self._list_alive_instances()
            if instance.links.domain == domain
        ]
        create_task(
            self._crash_upstreams(
                self._list_upstreams(domain), duration_s, True
            )
        )
        await self._restart_instances(
            instances, duration_s + self._random.uniform(0, 0.5)
        )

    async def _cut_link(self, instances, link_name, duration_s):
        for instance in instances:
            setattr(instance.links, link_name, False)
        await sleep(duration_s)
        for instance in instances:
            setattr(instance.links, link_name, True)

    async def _cut_store_links(self):
        link_name = self._random.choice(("reaches_store", "hears_store"))
        duration_s = self._random.uniform(2.0, 9.0)
        await self._cut_link(
            self._sample_alive_instances(4), link_name, duration_s
        )

    async def _cut_off_instances(self):
        instances = self._sample_alive_instances(3)
        duration_s = self._random.uniform(2.0, 12.0)
        create_task(self._cut_link(instances, "reaches_store", duration_s))
        await self._cut_link(instances, "reaches_peers", duration_s)

    async def _freeze_instances(self):
        for instance in self._sample_alive_instances(2):
            self._fleet.freeze(instance, self._random.uniform(0.5, 5.0))

    async def _silence_connections(self):
        for instance in self._fleet.instances.values():
            if self._random.random() < 0.7:
                instance.links.silence()

    async def _lose_datagrams(self):
        instances = self._sample_alive_instances(4)
        for instance in instances:
            instance.links.loss = self._random.uniform(0.03, 0.6)
        await sleep(self._random.uniform(2.0, 6.0))
        for instance in instances:
            instance.links.loss = 0.0

    async def _fail_store(self):
        name = self._random.choice(("is_silent", "is_refusing"))
        setattr(self._fleet.store, name, True)
        await sleep(self._random.uniform(1.0, 6.0))
        setattr(self._fleet.store, name, False)

    async def restore_store(self):
        """Restore the store from a copy some seconds old."""
        await self._operator.restore_store(
            self._random.uniform(0.5, 4.0),
            self._random.uniform(0.1, 1.5),
            self._random.uniform(0.2, 1.0),
        )

    async def _compact_store(self):
        self._fleet.store.mute_until = read_monotonic() + 1.0
        await sleep(1.0)
        self._fleet.store.compact()

    def _list_upstreams(self, domain):
        upstreams = self._fleet.upstreams.values()
        return [
            upstream
            for upstream in upstreams
            if upstream.domain == domain and upstream.is_up
        ]

    async def _crash_upstreams(self, upstreams, duration_s, is_unreachable):
        for upstream in upstreams:
            upstream.crash(is_unreachable=is_unreachable)
        await sleep(duration_s)
        for upstream in upstreams:
            upstream.restart()
            create_task(upstream.announce())

    async def _crash_upstream(self):
        running_upstreams = [
            upstream
            for upstream in self._fleet.upstreams.values()
            if upstream.is_up
        ]
        if not running_upstreams:
            return
        duration_s = self._random.uniform(0.05, REGISTRATION_TTL_S + 1.0)
        is_unreachable = self._random.random() < 0.5
        await self._crash_upstreams(
            [self._random.choice(running_upstreams)],
            duration_s,
            is_unreachable,
        )

    async def _crash_domain_upstreams(self):
        domain = self._random.choice(list(self._fleet.regions))
        duration_s = self._random.uniform(0.3, REGISTRATION_TTL_S)
        is_unreachable = self._random.random() < 0.5
        await self._crash_upstreams(
            self._list_upstreams(domain), duration_s, is_unreachable
        )

    async def _evacuate_domain(self):
        domain = self._random.choice(list(self._fleet.regions))
        await self._operator.evacuate(domain, self._random.uniform(1.0, 9.0))

    async def _add_upstream(self):
        number = len(self._fleet.upstreams)
        domain = self._random.choice(list(self._fleet.regions))
        new_upstream = ModelUpstream(
            f"u{number}",
            f"10.9.0.{number}:80",
            domain,
            self._fleet.regions[domain],
            self._fleet.store,
            self._random,
        )
        new_upstream.restart()
        self._fleet.add_upstream(new_upstream)

    async def _drain_upstream(self):
        running_upstreams = [
            upstream
            for upstream in self._fleet.upstreams.values()
            if upstream.is_up
        ]
        if len(running_upstreams) > 3:
            await self._operator.drain(self._random.choice(running_upstreams))

    async def _stream_config_changes(self):
        await self._operator.stream_config_changes()
