"""Rule file of the demo, a scaled-down ``examples/topos.rules``."""

from collections.abc import Callable
from dataclasses import dataclass

REGIONS = ("central", "guanacaste", "sur")
DOMAINS = tuple(f"{region}-{suffix}" for region in REGIONS for suffix in "ab")


@dataclass(slots=True, frozen=True)
class DemoService:
    """A service of the demo.

    Each of its pools has ``server_count`` servers with ``slots`` slots each.
    """

    name: str
    server_count: int
    slots: int
    versions: tuple[str, ...]
    repeatable: bool
    timeout_ms: int


SERVICES = (
    DemoService("rondas", 1, 9, ("v1", "v2"), True, 1000),
    DemoService("reservas", 1, 5, ("v1", "v2"), False, 2000),
    DemoService("fotos", 1, 3, ("v1",), False, 4000),
)
# Burst of a workspace, in seconds of its rate.
BURST_S = 2
WORKSPACE_RATES = {
    "valle-grande": 15,
    "tarrazu": 12,
    "naranjo": 6,
    "poas": 6,
    "turrialba": 6,
    "acosta": 6,
    "dota": 6,
    "zarcero": 6,
}


def build_rules_text(next_address: Callable[[], str]) -> str:
    """Return the text of the rule file.

    ``next_address`` is called for the address of each server.
    """
    requester = "# demo"
    lines = [
        f"domain {domain} region={domain.rsplit('-', 1)[0]} {requester}"
        for domain in DOMAINS
    ]
    for index, first in enumerate(REGIONS):
        for second in REGIONS[index + 1 :]:
            lines.append(f"link {first} {second} gbits=4 {requester}")
    for service in SERVICES:
        lines += _write_service(service, next_address, requester)
    for name, rate in WORKSPACE_RATES.items():
        burst = rate * BURST_S
        lines.append(f"workspace {name} rate={rate} burst={burst} {requester}")
    steps = "steps=0.1,0.4,1 bake_s=1.5 deadline_s=20"
    for service in ("rondas", "reservas"):
        lines.append(
            f"rollout {service}-v2 service={service} old=v1 new=v2 "
            f"{steps} {requester}"
        )
    lines.append(f"keys stale_s=30 when_stale=serve {requester}")
    return "\n".join(lines) + "\n"


def _write_service(
    service: DemoService, next_address: Callable[[], str], requester: str
) -> list[str]:
    name = service.name
    repeatable = "yes" if service.repeatable else "no"
    method = "GET" if service.repeatable else "POST"
    lines = [
        f"service {name} timeout_ms={service.timeout_ms} {requester}",
        f"route /{name} service={name} methods={method} "
        f"repeatable={repeatable} {requester}",
    ]
    for domain in DOMAINS:
        for version in service.versions:
            servers = [next_address() for _ in range(service.server_count)]
            lines.append(
                f"pool {name} domain={domain} version={version} "
                f"servers={','.join(servers)} slots={service.slots} "
                f"{requester}"
            )
    return lines
