"""Names of budgets, ledgers and store objects."""

from dataclasses import dataclass

WORKSPACES_SCOPE = "workspaces"
CONFIG_OBJECT = "config"
KEYS_OBJECT = "keys"
DRAINS_OBJECT = "drains"
ROLLOUTS_OBJECT = "rollouts"
LEDGER_PREFIX = "ledgers/"
CLAIM_PREFIX = "claims/"


@dataclass(slots=True, frozen=True)
class UpstreamName:
    """An upstream server with its service and version."""

    service: str
    version: str
    server: str

    def __str__(self) -> str:
        return f"slot:{self.service}|{self.version}|{self.server}"


def parse_upstream(budget: str) -> UpstreamName:
    """Return the upstream of a slot budget's name."""
    service, version, server = budget.removeprefix("slot:").split("|")
    return UpstreamName(service, version, server)


def name_workspace_budget(workspace: str) -> str:
    """Return the name of a workspace's rate budget."""
    return f"workspace:{workspace}"


def name_link_budget(source: str, target: str) -> str:
    """Return the name of the bytes budget of one link direction."""
    return f"link:{source}>{target}"


def name_slots_scope(domain: str) -> str:
    """Return the ledger of the upstream slots of a domain."""
    return f"slots.{domain}"


def name_links_scope(region: str) -> str:
    """Return the ledger of the links that leave a region."""
    return f"links.{region}"


def name_ledger_object(scope: str) -> str:
    """Return the store object of a ledger."""
    return LEDGER_PREFIX + scope
