"""Checks of the invariants on all instances during a model run."""

from asyncio import sleep
from dataclasses import dataclass
from dataclasses import field

from gypsummount._common.clocks import read_monotonic

STABILITY_S = 4.0
CONFIG_APPLY_S = 2.5
REVOKE_S = 5.0
EVACUATION_S = 5.0
DRAIN_S = 2.5
LOOK_S = 0.05


@dataclass(slots=True, frozen=True)
class Acknowledgement:
    """A change that the store acknowledged, and when."""

    name: str
    at: float


@dataclass(slots=True, frozen=True)
class Breach:
    """A breach of a rule at an instance, and when it was seen."""

    rule: str
    machine: str
    name: str
    at: float


@dataclass(slots=True)
class Judge:
    """Checks every instance at regular intervals."""

    fleet: object
    store_disturbed_at: float = float("-inf")
    versions: list = field(default_factory=list)
    evacuated: list = field(default_factory=list)
    left: list = field(default_factory=list)
    breaches: dict = field(default_factory=dict)

    async def run(self):
        while True:
            await sleep(LOOK_S)
            self.look()

    def look(self):
        now = read_monotonic()
        if self.fleet.store.is_down or now < self.fleet.store.mute_until:
            self.store_disturbed_at = now
        for machine in self.fleet.machines.values():
            self._note_disturbance(machine, now)
            current = machine.current
            if not machine.is_alive or current.frozen_until > now:
                continue
            if current.process is None or not current.process.belief.is_ready:
                continue
            self._look_at_keys(machine, now)
            if self._is_in_touch(machine, now):
                self._look_in_touch(machine, now)

    def _note_disturbance(self, machine, now):
        links = machine.links
        is_disturbed = (
            not machine.is_alive
            or machine.current.frozen_until > now
            or not links.reaches_store
            or not links.hears_store
            or not links.reaches_peers
            or not links.reaches_upstreams
            or links.is_refused
            or links.loss > 0
            or links.silenced_at > now - LOOK_S
        )
        if is_disturbed:
            machine.disturbed_at = now

    def _is_in_touch(self, machine, now):
        last = max(machine.disturbed_at, self.store_disturbed_at)
        return now - last >= STABILITY_S

    def _look_at_keys(self, machine, now):
        belief = machine.process.belief
        needed = self._find_needed(now - REVOKE_S)
        if belief.catalog.version < needed and belief.proof.is_fresh(now):
            self._note("keys", machine, str(needed), now)

    def _look_in_touch(self, machine, now):
        belief = machine.process.belief
        needed = self._find_needed(now - CONFIG_APPLY_S)
        if belief.catalog.version < needed:
            self._note("config", machine, str(needed), now)
        for one in self.evacuated:
            if one.at <= now - EVACUATION_S:
                if one.name not in belief.evacuated:
                    self._note("evacuation", machine, one.name, now)
        for one in self.left:
            known = belief.upstreams.get(one.name)
            if one.at <= now - DRAIN_S and known is not None:
                if known.is_ready:
                    self._note("drain", machine, one.name, now)

    def _find_needed(self, before):
        versions = [int(one.name) for one in self.versions if one.at <= before]
        return max(versions, default=0)

    def _note(self, rule, machine, name, now):
        key = (rule, machine.name, name)
        if key not in self.breaches:
            self.breaches[key] = Breach(rule, machine.name, name, now)

    def list_findings(self):
        floods = [
            flood
            for upstream in self.fleet.upstreams.values()
            for flood in upstream.floods[:1]
        ]
        return [*self.breaches.values(), *floods]
