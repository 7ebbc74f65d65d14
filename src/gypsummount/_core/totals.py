"""The totals of all budgets of a configuration."""

from gypsummount._config.model import RuleSet
from gypsummount._core.amounts import Amount
from gypsummount._core.naming import name_link_budget
from gypsummount._core.naming import name_workspace_budget
from gypsummount._core.naming import UpstreamName

# Burst of a link's budget, as seconds of its rate.
LINK_BURST_S = 0.1


def list_workspace_totals(rules: RuleSet) -> dict[str, Amount]:
    """Return each workspace's total rate and burst, by budget name."""
    return {
        name_workspace_budget(workspace.name): Amount(
            workspace.rate, workspace.burst
        )
        for workspace in rules.workspaces.values()
    }


def list_link_totals(rules: RuleSet, region: str) -> dict[str, Amount]:
    """Return the byte rate of each link from a region, by budget name."""
    totals = {}
    for link in rules.links.values():
        if region not in (link.first, link.second):
            continue
        other = link.second if link.first == region else link.first
        total = Amount(link.bytes_per_s, link.bytes_per_s * LINK_BURST_S)
        totals[name_link_budget(region, other)] = total
    return totals


def list_slot_totals(rules: RuleSet, domain: str) -> dict[str, Amount]:
    """Return the slots of each upstream of a domain, by budget name.

    The number of slots is the burst; the rate is zero.
    """
    return {
        str(UpstreamName(pool.service, pool.version, server)): Amount(
            0.0, float(pool.slots)
        )
        for pool in rules.pools.values()
        if pool.domain == domain
        for server in pool.servers
    }


def list_rate_totals(rules: RuleSet) -> dict[str, Amount]:
    """Return the totals of every rate budget of the fleet."""
    totals = list_workspace_totals(rules)
    for region in {domain.region for domain in rules.domains.values()}:
        totals.update(list_link_totals(rules, region))
    return totals
