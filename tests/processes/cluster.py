"""A fleet of real processes on loopback, started for one test."""

from asyncio import sleep
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from json import loads
from pathlib import Path
from random import Random

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsummount._cli.client import AdminClient
from gypsummount._common.clocks import read_monotonic
from gypsummount._demo.fleet import Ports
from gypsummount._demo.rules import build_rules_text
from gypsummount._demo.rules import DOMAINS
from gypsummount._load.caller import Caller
from tests.processes.links import Links
from tests.processes.links import start_links
from tests.processes.programs import Programs
from tests.processes.programs import RunningProcess
from tests.processes.programs import TOKEN

READY_TIMEOUT_S = 40.0


@dataclass(slots=True)
class Instance:
    """Addresses and processes (entry and agent) of one instance."""

    name: str
    domain: str
    region: str
    listen: str
    peer_listen: str
    agent_listen: str
    admin_listen: str
    entry: RunningProcess | None = None
    agent: RunningProcess | None = None
    links: Links | None = None

    @property
    def agent_address(self) -> str:
        return self.links.agent.address if self.links else self.agent_listen


@dataclass(slots=True)
class Cluster:
    """Stand-in services and instances, with controls for faults."""

    folder: Path
    seed: int = 1
    instance_count: int = 8
    uses_relays: bool = False
    lookup_ttl_s: float = 1.0
    drain_s: float = 3.0
    live_lag_s: float = 11.0  # agents require more than PAUSE_LIMIT_S
    ports: Ports = field(default_factory=Ports)
    random: Random = field(default_factory=lambda: Random(1))
    instances: list[Instance] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    store: str = ""
    platform: str = ""
    upstream_control_address: str = ""
    rules_path: Path = Path()
    http: SimpleAsyncHTTPClient = field(
        default_factory=lambda: SimpleAsyncHTTPClient(force_instance=True)
    )
    admin: AdminClient | None = None
    programs: Programs = field(init=False)
    unmet_condition: str = ""

    def __post_init__(self) -> None:
        self.programs = Programs(self.folder)

    async def start(self, rules_text: str | None = None) -> None:
        """Start all processes and wait until every entry serves."""
        print(f"seed {self.seed}")
        self.random = Random(self.seed)
        self.store, self.platform = self.ports.reserve(), self.ports.reserve()
        self.upstream_control_address = self.ports.reserve()
        self.rules_path = self.folder / "rules.txt"
        text = rules_text or build_rules_text(self.ports.reserve)
        self.rules_path.write_text(text, encoding="utf-8")
        await self.start_standins()
        for index in range(self.instance_count):
            self.instances.append(self._create_instance(index))
        if self.uses_relays:
            await self._start_links()
        for instance in self.instances:
            await self.start_agent(instance)
            await self.start_entry(instance)
        await self.publish_instances(self.instances)
        self.admin = self.create_admin(self.instances)
        await self.apply_initial_rules(text)
        await self.wait_ready()

    async def start_standins(self) -> None:
        await self.programs.start(
            "store", "standin", "store", "--listen", self.store
        )
        await self.programs.start(
            "platform", "standin", "platform", "--listen", self.platform
        )
        await self.programs.start(
            "upstreams",
            "standin",
            "upstreams",
            "--rules",
            str(self.rules_path),
            "--listen",
            self.upstream_control_address,
            "--seed",
            str(self.seed),
        )

    async def start_agent(self, instance: Instance) -> None:
        seeds = ",".join(peer.agent_address for peer in self.instances[:3])
        links = instance.links
        instance.agent = await self.programs.start(
            f"agent-{instance.name}",
            "agent",
            *self._build_common_args(instance),
            "--listen",
            instance.agent_listen,
            "--admin-listen",
            instance.admin_listen,
            "--advertise",
            instance.agent_address,
            "--store",
            links.store.address if links else self.store,
            "--live-list",
            self.platform,
            "--live-lag-s",
            str(self.live_lag_s),
            "--seeds",
            seeds,
        )

    async def start_entry(self, instance: Instance) -> None:
        links = instance.links
        instance.entry = await self.programs.start(
            f"entry-{instance.name}",
            "entry",
            *self._build_common_args(instance),
            "--listen",
            instance.listen,
            "--peer-listen",
            instance.peer_listen,
            "--peer-advertise",
            links.peer.address if links else instance.peer_listen,
            "--agent",
            instance.agent_listen,
            "--lookup-ttl-s",
            str(self.lookup_ttl_s),
            "--drain-s",
            str(self.drain_s),
        )

    async def publish_instances(self, instances: list[Instance]) -> None:
        rows = [
            {
                "name": instance.name,
                "domain": instance.domain,
                "address": instance.agent_address,
            }
            for instance in instances
        ]
        await self.post(self.platform, "/set", rows)

    async def publish_upstream(self, server: str, state: str) -> None:
        row = {
            "name": server,
            "domain": "",
            "address": server,
            "state": state,
            "kind": "upstream",
        }
        await self.post(self.platform, "/set", [row])

    async def unpublish(self, instance: Instance) -> None:
        await self.post(self.platform, "/remove", [instance.name])

    async def apply_initial_rules(self, text: str) -> None:
        deadline = read_monotonic() + READY_TIMEOUT_S
        while True:
            try:
                await self.admin.apply(text, 0, "cluster")
                return
            except Exception:
                if read_monotonic() > deadline:
                    raise
                await sleep(0.1)

    async def wait_ready(self) -> None:
        """Wait until all entries serve and have been granted their shares."""
        await self.wait_until(self._is_ready, READY_TIMEOUT_S)

    async def wait_until(self, condition, timeout_s: float) -> None:
        deadline = read_monotonic() + timeout_s
        while not await condition():
            exited = self.programs.list_exited()
            assert read_monotonic() < deadline, (
                f"{condition.__name__} did not hold in time; exited processes:"
                f" {exited}; unmet: {self.unmet_condition}"
            )
            await sleep(0.1)

    async def grant(self, workspace: str) -> str:
        """Grant a key, wait until all live instances have it, return it."""
        granted = await self.admin.grant_key(workspace, "tests", 0)

        async def is_known() -> bool:
            status = await self.admin.read_status()
            serial = status["keys_serial"]
            return all(
                member["keys_serial"] >= serial
                for member in status["members"]
                if member["alive"]
            )

        await self.wait_until(is_known, 5.0)
        return str(granted["key"])

    def create_admin(self, instances: list[Instance]) -> AdminClient:
        admins = tuple(instance.admin_listen for instance in instances)
        return AdminClient(admins, TOKEN)

    def create_caller(self, key: str) -> Caller:
        entries = [instance.listen for instance in self.instances]
        self.random.shuffle(entries)
        caller = Caller(key, entries, self.random)
        self.callers.append(caller)
        return caller

    async def switch_store(self, **switches: object) -> None:
        await self.post(self.store, "/switches", switches)

    async def switch_upstreams(self, **switches: object) -> None:
        await self.post(self.upstream_control_address, "/switches", switches)

    async def read_runs(self) -> list[dict[str, object]]:
        return await self.fetch(self.upstream_control_address, "/runs")

    async def fetch(self, address: str, path: str):
        response = await self.http.fetch(
            f"http://{address}{path}", request_timeout=10
        )
        return loads(response.body)

    async def post(self, address: str, path: str, body: object) -> None:
        deadline = read_monotonic() + READY_TIMEOUT_S
        while True:
            try:
                await self.http.fetch(
                    f"http://{address}{path}", method="POST", body=dumps(body)
                )
                return
            except ConnectionRefusedError:
                if read_monotonic() > deadline:
                    raise
                await sleep(0.1)

    async def close(self) -> None:
        for caller in self.callers:
            caller.close()
        self.http.close()
        for instance in self.instances:
            if instance.links is not None:
                await instance.links.close()
        if self.admin is not None:
            self.admin.close()
        await self.programs.close()
        self.ports.close()

    async def _start_links(self) -> None:
        for instance in self.instances:
            instance.links = await start_links(
                instance.agent_listen, instance.peer_listen, self.store
            )

    async def _is_ready(self) -> bool:
        status = await self.admin.read_status()
        members = [row for row in status["members"] if row["alive"]]
        serving = [row for row in members if _is_serving(row)]
        if len(serving) < self.instance_count:
            self.unmet_condition = f"only {len(serving)} instances serve"
            return False
        return await self._are_ledgers_converged()

    async def _are_ledgers_converged(self) -> bool:
        """Tell whether all entries hold the shares that the ledgers aim at."""
        names = await self.fetch(self.store, "/objects/?prefix=ledgers/")
        for name in names:
            ledger = await self.fetch(self.store, f"/objects/{name}")
            for budget, row in ledger["budgets"].items():
                for amounts in row[3].values():  # accounts of the holders
                    if amounts[:2] != amounts[2:4]:  # granted, target
                        self.unmet_condition = f"{name} {budget} {amounts}"
                        return False
        scopes = {name.removeprefix("ledgers/") for name in names}
        document = await self.fetch(self.store, "/objects/ledgers/workspaces")
        holders = document["holders"]
        self.unmet_condition = f"{len(holders)} holders in {sorted(scopes)}"
        return "workspaces" in scopes and len(holders) >= self.instance_count

    def _create_instance(self, index: int) -> Instance:
        domain = DOMAINS[index % len(DOMAINS)]
        return Instance(
            f"instance-{index + 1}",
            domain,
            domain.rsplit("-", 1)[0],
            *(self.ports.reserve() for _ in range(4)),
        )

    def _build_common_args(self, instance: Instance) -> list[str]:
        return [
            "--instance",
            instance.name,
            "--domain",
            instance.domain,
            "--region",
            instance.region,
            "--log-level",
            "info",
        ]


def _is_serving(member: dict) -> bool:
    if not member["entries"] or member["config_serial"] < 1:
        return False
    entry = member["entries"][0]
    has_slots = sum(load["total"] for load in entry["loads"]) > 0
    return entry["phase"] == "serving" and has_slots
