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
CHECK_INTERVAL_S = 0.05


@dataclass(slots=True, frozen=True)
class AcknowledgedChange:
    """A change that the store acknowledged, and when."""

    name: str
    at: float


@dataclass(slots=True, frozen=True)
class Violation:
    """A violation of a rule at an instance, and when it was seen."""

    rule: str
    instance: str
    name: str
    at: float


@dataclass(slots=True)
class InvariantChecker:
    """Checks every instance at regular intervals.

    The rules "keys", "rollback" and "kept" have to hold at all times: a
    configuration does not go back, and an evacuation that is in force stays
    until the operator ends it.  The other rules are checked only if neither
    the store nor the instance had a fault within the last
    :data:`STABILITY_S` seconds.
    """

    fleet: object
    last_store_fault_at: float = float("-inf")
    versions: list = field(default_factory=list)
    evacuated: list = field(default_factory=list)
    drained: list = field(default_factory=list)
    in_force: dict = field(default_factory=dict)
    violations: dict = field(default_factory=dict)

    async def run(self):
        while True:
            await sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self):
        now = read_monotonic()
        if self.fleet.store.is_down or now < self.fleet.store.mute_until:
            self.last_store_fault_at = now
        for instance in self.fleet.instances.values():
            self._record_fault(instance, now)
            current = instance.current
            if not instance.is_alive or current.frozen_until > now:
                continue
            if current.process is None or not current.process.replica.is_ready:
                continue
            self._check_keys(instance, now)
            self._check_kept(instance, now)
            if self._is_stable(instance, now):
                self._check_convergence(instance, now)

    def _record_fault(self, instance, now):
        links = instance.links
        has_fault = (
            not instance.is_alive
            or instance.current.frozen_until > now
            or not links.reaches_store
            or not links.hears_store
            or not links.reaches_peers
            or not links.reaches_upstreams
            or links.is_refused
            or links.loss > 0
            or links.silenced_at > now - CHECK_INTERVAL_S
        )
        if has_fault:
            instance.last_fault_at = now

    def _is_stable(self, instance, now):
        last_fault_at = max(instance.last_fault_at, self.last_store_fault_at)
        return now - last_fault_at >= STABILITY_S

    def _check_keys(self, instance, now):
        replica = instance.process.replica
        required = self._get_required_version(now - REVOKE_S)
        if replica.catalog.version < required and replica.proof.is_fresh(now):
            self._record_violation("keys", instance, str(required), now)

    def _check_kept(self, instance, now):
        """Compare with what was in force in this run of the program."""
        replica = instance.process.replica
        wanted = {change.name for change in self.evacuated}
        version, evacuated = self.in_force.get(
            id(instance.current), (0, frozenset())
        )
        if replica.catalog.version < version:
            self._record_violation("rollback", instance, str(version), now)
        for domain in evacuated & wanted - replica.evacuated:
            self._record_violation("kept", instance, domain, now)
        self.in_force[id(instance.current)] = (
            replica.catalog.version,
            replica.evacuated & wanted,
        )

    def _check_convergence(self, instance, now):
        replica = instance.process.replica
        required = self._get_required_version(now - CONFIG_APPLY_S)
        if replica.catalog.version < required:
            self._record_violation("config", instance, str(required), now)
        for change in self.evacuated:
            if change.at <= now - EVACUATION_S:
                if change.name not in replica.evacuated:
                    self._record_violation(
                        "evacuation", instance, change.name, now
                    )
        for change in self.drained:
            known = replica.upstreams.get(change.name)
            if change.at <= now - DRAIN_S and known is not None:
                if known.is_ready:
                    self._record_violation("drain", instance, change.name, now)

    def _get_required_version(self, before):
        versions = [
            int(change.name) for change in self.versions if change.at <= before
        ]
        return max(versions, default=0)

    def _record_violation(self, rule, instance, name, now):
        key = (rule, instance.name, name)
        if key not in self.violations:
            self.violations[key] = Violation(rule, instance.name, name, now)

    def list_violations(self):
        floods = [
            flood
            for upstream in self.fleet.upstreams.values()
            for flood in upstream.floods[:1]
        ]
        return [*self.violations.values(), *floods]
