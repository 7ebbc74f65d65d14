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
    """An upstream with its service and version.

    Its text form is the name of its slot budget.
    """

    service: str
    version: str
    server: str

    def __str__(self) -> str:
        return f"slot:{self.service}|{self.version}|{self.server}"


def parse_upstream(budget: str) -> UpstreamName:
    """Return the upstream that a slot budget is named after."""
    service, version, server = budget.removeprefix("slot:").split("|")
    return UpstreamName(service, version, server)


def name_workspace_budget(workspace: str) -> str:
    """Return the name of a workspace's rate budget."""
    return f"workspace:{workspace}"


def name_link_budget(source: str, target: str) -> str:
    """Return the name of the byte rate budget of one link direction."""
    return f"link:{source}>{target}"


def name_slots_scope(domain: str) -> str:
    """Return the name of the ledger of a domain's upstream slots."""
    return f"slots.{domain}"


def name_links_scope(region: str) -> str:
    """Return the name of the ledger of the links from a region."""
    return f"links.{region}"


def name_ledger_object(scope: str) -> str:
    """Return the key of the store object of a ledger."""
    return LEDGER_PREFIX + scope
