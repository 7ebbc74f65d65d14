"""An entry without an agent, whose updates come from the test."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from json import loads

from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsummount._common.peer_messages import pack_amount
from gypsummount._common.peer_messages import pack_key
from gypsummount._common.sockets import bind_address
from gypsummount._core.amounts import Amount
from gypsummount._core.keys import create_key
from gypsummount._core.keys import KeyRecord
from gypsummount._core.naming import name_workspace_budget
from gypsummount._core.totals import list_slot_totals
from gypsummount._demo.fleet import Ports
from gypsummount._entry.process import EntryProcess
from gypsummount._entry.process import EntrySettings
from gypsummount._proto import peer_pb2
from gypsummount._standin.http import SingleHandlerServer
from gypsummount._standin.program import build_upstreams
from gypsummount._standin.relay import Relay
from gypsummount._standin.upstreams import UpstreamStandin

PEPPER = b"pepper-of-the-entry-tests"
RULES = """\
domain a region=r # t
service rondas timeout_ms=600 # t
service reservas timeout_ms=600 # t
route /rondas service=rondas repeatable=yes # t
route /open service=rondas repeatable=yes access=open workspace=public # t
route /reservas service=reservas methods=POST repeatable=no # t
workspace w rate=1000 burst=1000 # t
workspace other rate=1000 burst=1000 # t
workspace public rate=1000 burst=1000 # t
"""


@dataclass(slots=True)
class StandaloneEntry:
    """An entry with stand-in upstreams, in the process of the test.

    ``update`` and the methods that use it apply updates as an agent
    sends them.
    """

    stack: AsyncExitStack
    servers: int = 2
    slots: int = 4
    rules: str = RULES
    policy: str = "keys stale_s=30 when_stale=serve # t\n"
    entry: EntryProcess | None = None
    listen: str = ""
    text: str = ""
    services: dict[str, str] = field(default_factory=dict)
    upstreams: list[UpstreamStandin] = field(default_factory=list)
    records: list[KeyRecord] = field(default_factory=list)
    keys_serial: int = 0
    seq: int = 0
    http: SimpleAsyncHTTPClient = field(
        default_factory=lambda: SimpleAsyncHTTPClient(force_instance=True)
    )

    async def start(self) -> None:
        ports = Ports()
        self.stack.callback(ports.close)
        text = self.rules + self.policy
        for service in ("rondas", "reservas"):
            servers = ",".join(ports.reserve() for _ in range(self.servers))
            text += (
                f"pool {service} domain=a version=v1 servers={servers} "
                f"slots={self.slots} # t\n"
            )
        self.text = text
        self.listen = ports.reserve()
        settings = EntrySettings(
            "i",
            "a",
            "r",
            self.listen,
            ports.reserve(),
            ports.reserve(),
            PEPPER,
            drain_s=0.01,
            stop_limit_s=1.0,
        )
        self.entry = EntryProcess(settings)
        await self.entry._start(self.stack)
        self.update(config=peer_pb2.ConfigText(serial=1, text=text))
        rules = self.entry.snapshot.rules
        self.upstreams = build_upstreams(rules, 1)
        for pool in rules.pools.values():
            for server in pool.servers:
                self.services[server] = pool.service
        for upstream in self.upstreams:
            sockets = bind_address("--listen", upstream.server)
            server = SingleHandlerServer(upstream.answer, sockets)
            self.stack.push_async_callback(server.close)
        self.grant_shares()
        self.stack.callback(self.http.close)

    def grant_shares(self, amount: Amount = Amount(1000, 1000)) -> None:
        rules = self.entry.snapshot.rules
        totals = dict(list_slot_totals(rules, "a"))
        for workspace in rules.workspaces:
            totals[name_workspace_budget(workspace)] = amount
        self.seq += 1
        accounts = [
            peer_pb2.Account(
                budget=name,
                granted=pack_amount(total),
                target=pack_amount(total),
            )
            for name, total in totals.items()
        ]
        view = peer_pb2.LedgerView(
            scope="all", seq=self.seq, accounts=accounts
        )
        self.update(ledgers=[view])

    async def relay_upstreams(self, service: str) -> list[Relay]:
        """Put a relay between the entry and each upstream of a service."""
        relays = []
        text = self.text
        for upstream in self.list_upstreams(service):
            host, _, port = upstream.server.rpartition(":")
            relay = Relay(host, int(port))
            own_port = await relay.start(host, 0)
            self.stack.push_async_callback(relay.close)
            relays.append(relay)
            text = text.replace(upstream.server, f"{host}:{own_port}")
        self.update(config=peer_pb2.ConfigText(serial=2, text=text))
        self.grant_shares()
        return relays

    def grant_large_shares(self) -> None:
        self.grant_shares(Amount(1e6, 1e6))

    def update(self, **fields: object) -> None:
        self.entry._apply_update(peer_pb2.EntryUpdate(**fields))

    def grant_key(self, workspace: str) -> str:
        granted = create_key(workspace, PEPPER, asked_by="t", ends_at=0)
        self.records.append(granted.record)
        self.send_keys()
        return granted.key

    def withdraw_all_keys(self) -> None:
        self.records.clear()
        self.send_keys()

    def send_keys(self) -> None:
        self.keys_serial += 1
        records = [pack_key(record) for record in self.records]
        self.update(
            keys=peer_pb2.KeySet(serial=self.keys_serial, records=records)
        )

    def list_upstreams(self, service: str) -> list[UpstreamStandin]:
        return [
            upstream
            for upstream in self.upstreams
            if self.services[upstream.server] == service
        ]

    def set_switches(self, service: str, **switches: object) -> None:
        for upstream in self.list_upstreams(service):
            for name, value in switches.items():
                setattr(upstream.switches, name, value)

    def count_runs(self, service: str) -> int:
        return sum(
            len(upstream.runs) for upstream in self.list_upstreams(service)
        )

    @property
    def token(self) -> str:
        return f"{self.entry.incarnation}.0"

    async def call(
        self,
        path: str,
        key: str = "",
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> HTTPResponse:
        headers = dict(headers or {})
        if key:
            headers.setdefault("Authorization", f"Bearer {key}")
        request = HTTPRequest(
            f"http://{self.listen}{path}",
            method=method,
            headers=headers,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=5,
        )
        return await self.http.fetch(request, raise_error=False)


def read_code(response: HTTPResponse) -> str:
    """Return the error code of an answer that the entry itself gave."""
    return loads(response.body)["code"]


def read_outcome(response: HTTPResponse) -> str | None:
    """Return the value of the outcome header, None if it is missing."""
    return response.headers.get("Gypsummount-Outcome")
