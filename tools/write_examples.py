"""Writes the example rule files of the two sample deployments."""

from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
DOMAIN_SUFFIXES = ("a", "b")


@dataclass(slots=True, frozen=True)
class Service:
    """A service: its number of servers, slots each, and its route."""

    name: str
    servers: int
    slots: int
    timeout_ms: int
    methods: str
    repeatable: str


@dataclass(slots=True, frozen=True)
class Deployment:
    """A deployment at full size; ``workspaces`` holds rates (1/s).

    The servers of the first service have addresses 10.``network``.x.x;
    each further service uses the next number.
    """

    name: str
    owner: str
    network: int
    regions: tuple[str, ...]
    services: tuple[Service, ...]
    workspaces: dict[str, int]


TOPOS = Deployment(
    "topos",
    "ana.mora@topos",
    20,
    ("central", "guanacaste", "sur"),
    (
        Service("rondas", 16, 9, 800, "GET", "yes"),
        Service("reservas", 12, 5, 3000, "POST", "no"),
        Service("fotos", 12, 3, 10_000, "POST", "no"),
    ),
    {
        "valle-grande": 300,
        "tarrazu": 200,
        "naranjo": 60,
        "poas": 60,
        "turrialba": 60,
        "acosta": 30,
        "dota": 30,
        "zarcero": 30,
    },
)
MALABAR = Deployment(
    "malabar",
    "anil.nair@malabar",
    30,
    ("ernakulam", "malappuram", "kollam"),
    (
        Service("tagview", 16, 4, 1000, "GET", "yes"),
        Service("claimbook", 12, 3, 4000, "POST", "no"),
        Service("scalepost", 12, 3, 12_000, "POST", "no"),
    ),
    {
        "kochi-north": 120,
        "kochi-south": 100,
        "aluva": 30,
        "tirur": 30,
        "manjeri": 30,
        "punalur": 20,
        "chavara": 20,
        "paravur": 20,
    },
)


def write_rules(deployment: Deployment) -> str:
    """Return the rule file of a deployment."""
    owner = f"# {deployment.owner}"
    domains = [
        f"{region}-{suffix}"
        for region in deployment.regions
        for suffix in DOMAIN_SUFFIXES
    ]
    lines = [
        f"domain {domain} region={domain.rsplit('-', 1)[0]} {owner}"
        for domain in domains
    ]
    for index, first in enumerate(deployment.regions):
        for second in deployment.regions[index + 1 :]:
            lines.append(f"link {first} {second} gbits=4 {owner}")
    for number, service in enumerate(deployment.services):
        lines += write_service(deployment, number, service, domains)
    for name, rate in deployment.workspaces.items():
        lines.append(f"workspace {name} rate={rate} burst={rate} {owner}")
    first = deployment.services[0].name
    lines.append(f"cap {first} share=0.5 {owner}")
    lines.append(
        f"rollout {first}-v2 service={first} old=v1 new=v2 "
        f"steps=0.02,0.1,0.5,1 bake_s=60 deadline_s=1800 {owner}"
    )
    lines.append(f"keys stale_s=30 when_stale=serve {owner}")
    return "\n".join(lines) + "\n"


def write_service(
    deployment: Deployment, number: int, service: Service, domains: list[str]
) -> list[str]:
    """Return a service's rules; its servers are spread over the domains."""
    owner = f"# {deployment.owner}"
    lines = [
        f"service {service.name} timeout_ms={service.timeout_ms} {owner}",
        f"route /{service.name} service={service.name} "
        f"methods={service.methods} repeatable={service.repeatable} {owner}",
    ]
    versions = ("v1", "v2") if number == 0 else ("v1",)
    for version in versions:
        port = 8080 + versions.index(version)
        for index, domain in enumerate(domains):
            servers = [
                f"10.{deployment.network + number}.{index}.{host + 1}:{port}"
                for host in range(service.servers)
                if host % len(domains) == index
            ]
            lines.append(
                f"pool {service.name} domain={domain} version={version} "
                f"servers={','.join(servers)} slots={service.slots} {owner}"
            )
    return lines


def main() -> None:
    """Write the rule files of both deployments."""
    EXAMPLES.mkdir(exist_ok=True)
    for deployment in (TOPOS, MALABAR):
        path = EXAMPLES / f"{deployment.name}.rules"
        path.write_text(write_rules(deployment), encoding="utf-8")


if __name__ == "__main__":
    main()
