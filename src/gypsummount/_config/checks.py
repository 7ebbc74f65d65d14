"""Validates references and limits across the rules of a file."""

from gypsummount._config.model import Access
from gypsummount._config.model import Route
from gypsummount._config.model import RuleSet
from gypsummount._config.parser import Fault
from gypsummount._config.parser import parse_rules
from gypsummount._config.parser import ParsedRules

_FIRST_COLUMN = 1


def check_rules(text: str) -> ParsedRules:
    """Parse and validate a rule file; its faults are sorted by line."""
    parsed = parse_rules(text)
    checker = _Checker(parsed)
    checker.check_routes()
    checker.check_pools()
    checker.check_links()
    checker.check_rollouts()
    parsed.faults.sort(key=lambda fault: (fault.line, fault.column))
    return parsed


class _Checker:
    """Adds the faults across rules to a parsed file."""

    __slots__ = ("_parsed", "_rules")

    def __init__(self, parsed: ParsedRules) -> None:
        self._parsed = parsed
        self._rules: RuleSet = parsed.rules

    def _add_fault(self, kind: str, name: str, text: str) -> None:
        # The parser records the line of each rule that it accepts, so the
        # default 0 is not used.
        line = self._parsed.lines.get((kind, name), 0)
        self._parsed.faults.append(Fault(line, _FIRST_COLUMN, text))

    def check_routes(self) -> None:
        for route in self._rules.routes.values():
            if route.service not in self._rules.services:
                self._add_fault(
                    "route",
                    route.prefix,
                    f"no service '{route.service}'; add a service rule",
                )
            self._check_workspace(route)

    def _check_workspace(self, route: Route) -> None:
        if route.access is Access.OPEN:
            if route.workspace not in self._rules.workspaces:
                self._add_fault(
                    "route",
                    route.prefix,
                    "an open route needs a workspace to be charged to; "
                    "add workspace=NAME with a workspace rule",
                )
        elif route.workspace is not None:
            self._add_fault(
                "route",
                route.prefix,
                "a keyed route takes its workspace from the key; "
                "remove workspace=",
            )

    def check_pools(self) -> None:
        pool_by_server: dict[str, str] = {}
        for name, pool in self._rules.pools.items():
            if pool.service not in self._rules.services:
                self._add_fault(
                    "pool",
                    name,
                    f"no service '{pool.service}'; add a service rule",
                )
            if pool.domain not in self._rules.domains:
                self._add_fault(
                    "pool",
                    name,
                    f"no domain '{pool.domain}'; add a domain rule",
                )
            for server in pool.servers:
                other_pool = pool_by_server.setdefault(server, name)
                if other_pool != name:
                    self._add_fault(
                        "pool",
                        name,
                        f"{server} is in pool {other_pool} too; its slots "
                        "would count twice, so keep it in one pool",
                    )

    def check_links(self) -> None:
        regions = {domain.region for domain in self._rules.domains.values()}
        for link in self._rules.links.values():
            for region in (link.first, link.second):
                if region not in regions:
                    self._add_fault(
                        "link",
                        link.name,
                        f"no domain lies in region '{region}'; "
                        "add a domain rule or correct the name",
                    )
            if link.first == link.second:
                self._add_fault(
                    "link",
                    link.name,
                    "a link joins two regions; name two different ones",
                )

    def check_rollouts(self) -> None:
        for plan in self._rules.rollouts.values():
            versions = {
                pool.version
                for pool in self._rules.pools.values()
                if pool.service == plan.service
            }
            for version in (plan.old, plan.new):
                if version not in versions:
                    self._add_fault(
                        "rollout",
                        plan.name,
                        f"no pool of '{plan.service}' has version "
                        f"'{version}'; add a pool rule",
                    )
            self._check_steps(plan.name)

    def _check_steps(self, name: str) -> None:
        plan = self._rules.rollouts[name]
        min_duration_s = plan.bake_s * len(plan.steps)
        if min_duration_s >= plan.deadline_s:
            self._add_fault(
                "rollout",
                name,
                f"{len(plan.steps)} steps of {plan.bake_s:g} s do not "
                f"fit into {plan.deadline_s:g} s; raise deadline_s",
            )
        cap = self._rules.caps.get(plan.service)
        if cap is None:
            return
        previous = 0.0
        for step in plan.steps:
            # 1e-9 allows for the rounding error of the subtraction.
            if step - previous > cap.share + 1e-9:
                self._add_fault(
                    "rollout",
                    name,
                    f"the step from {previous:g} to {step:g} exceeds the "
                    f"cap of {cap.share:g}; add steps between",
                )
            previous = step
