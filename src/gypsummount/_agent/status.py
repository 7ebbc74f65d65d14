"""Answers for operators: status, metrics and explanations."""

from dataclasses import asdict

from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._core.ledger import Ledger
from gypsummount._core.lookups import CallerLocation
from gypsummount._core.lookups import rank_entries
from gypsummount._core.rollouts import get_new_version_share

JsonObject = dict[str, object]


def build_status(state: AgentState) -> JsonObject:
    """Return the state of the fleet as this agent knows it."""
    now = read_monotonic()
    return {
        "instance": state.settings.instance,
        "phase": state.phase,
        "config_serial": state.config.serial,
        "keys_serial": state.keys.serial,
        "store": {
            "contact": state.contact.state,
            "age_s": round(now - state.store_contact_at, 3),
            "fleet_age_s": round(state.members.get_store_age(now), 3),
            "keys_may_be_stale": state.may_keys_be_stale(),
        },
        "members": [
            {
                "instance": member.instance,
                "incarnation": member.incarnation,
                "domain": member.domain,
                "region": member.region,
                "phase": member.phase,
                "alive": state.members.is_alive(member.instance, now),
                "config_serial": member.config_serial,
                "keys_serial": member.keys_serial,
                "entries": [asdict(entry) for entry in member.entries],
            }
            for member in (state.members.own, *state.members.list_known())
        ],
        "leaving_upstreams": sorted(state.list_draining()),
        "rollouts": _list_rollouts(state, now),
        "ledgers": [
            _describe_ledger(copy.ledger) for copy in state.ledgers.values()
        ],
    }


def build_metrics(state: AgentState) -> JsonObject:
    """Return the counters and latencies that local entries reported."""
    return {
        "entries": [
            {
                "name": entry.report.entry.name,
                "counts": {
                    count.name: count.value for count in entry.report.counts
                },
                "latencies": [
                    {
                        "workspace": row.workspace,
                        "route": row.route,
                        "count": row.count,
                        "p50_ms": round(row.p50_ms, 3),
                        "p99_ms": round(row.p99_ms, 3),
                        "max_ms": round(row.max_ms, 3),
                    }
                    for row in entry.report.series
                ],
            }
            for entry in state.entries.values()
        ]
    }


def explain(
    state: AgentState, method: str, path: str, workspace: str
) -> JsonObject:
    """Return how a request would be routed, with the data behind it.

    The result has the route, its versions, the entries by rank and their
    free slots.  If no route matches, ``route`` is None and ``reason`` says
    so.
    """
    route = state.rules.find_route(method, path)
    if route is None:
        return {"route": None, "reason": f"no route matches {method} {path}"}
    known = state.rules.workspaces.get(workspace)
    location = CallerLocation(state.settings.domain, state.settings.region)
    alive = state.members.list_alive(read_monotonic())
    return {
        "route": route.prefix,
        "service": route.service,
        "repeatable": route.repeatable,
        "access": route.access.value,
        "workspace": asdict(known) if known else None,
        "versions": _list_version_shares(state, route.service),
        "entries": [
            asdict(entry) for entry in rank_entries(alive, workspace, location)
        ],
        "slots": [
            {
                "domain": member.domain,
                "entry": entry.name,
                "free_for_others": load.free,
                "slots": load.total,
            }
            for member in alive
            for entry in member.entries
            if (load := entry.get_load(route.service))
        ],
    }


def _list_rollouts(state: AgentState, now: float) -> list[JsonObject]:
    rows: list[JsonObject] = []
    for name, plan in state.rules.rollouts.items():
        tracker = state.rollouts.by_name.get(name)
        if tracker is None:
            rows.append({"name": name, "phase": "idle"})
            continue
        remaining_s = None
        if tracker.state.phase == "moving":
            remaining_s = round(tracker.compute_remaining(plan, now), 1)
        rows.append(
            {
                "name": name,
                "phase": tracker.state.phase,
                "attempt": tracker.state.attempt,
                "step": tracker.state.step,
                "share": get_new_version_share(plan, tracker.state),
                "reason": tracker.state.reason,
                "remaining_s": remaining_s,
            }
        )
    return rows


def _list_version_shares(state: AgentState, service: str) -> list[JsonObject]:
    for plan in state.rules.rollouts.values():
        if plan.service != service:
            continue
        tracker = state.rollouts.by_name.get(plan.name)
        share = get_new_version_share(plan, tracker.state) if tracker else 0.0
        return [
            {"version": plan.old, "share": round(1 - share, 6)},
            {"version": plan.new, "share": share},
        ]
    versions = sorted(
        pool.version
        for pool in state.rules.pools.values()
        if pool.service == service
    )
    return [{"version": versions[0], "share": 1.0}] if versions else []


def _describe_ledger(ledger: Ledger) -> JsonObject:
    return {
        "scope": ledger.scope,
        "seq": ledger.seq,
        "config_serial": ledger.config_serial,
        "holders": [
            {
                "holder": holder.name,
                "place": holder.endpoint,
                "state": holder.state.value,
            }
            for holder in ledger.holders.values()
        ],
    }
