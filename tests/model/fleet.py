"""Instances that run the real edge code over a simulated network."""

from asyncio import create_task
from asyncio import Event
from asyncio import get_running_loop
from asyncio import shield
from asyncio import sleep
from asyncio import timeout_at
from asyncio import wait_for
from contextlib import AsyncExitStack
from contextvars import copy_context
from dataclasses import dataclass
from dataclasses import field

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.sanitizing import Header
from gypsummount._edge.copies import build_copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import encode_copy
from gypsummount._edge.process import EdgeProcess
from gypsummount._edge.settings import EdgeBounds
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.wire import Arrival
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.errors import CallerLeft
from gypsummount.errors import RequestError
from gypsummount.platform.wire import PlatformWire
from tests.model.clock import INCARNATION
from tests.model.store import ModelFeed

PEER_PORT = 7460
BOUNDS = EdgeBounds(revoke_s=5.0, grace_s=6.0, lookup_ttl_s=2.0)
SAME_DOMAIN_S = 0.0001
SAME_REGION_S = 0.0009
OTHER_REGION_S = 0.035
STORE_REGION = "central"
OBJECTS = 150
KEPT_CONNECTIONS = 5
PATIENCE_S = 1.5


@dataclass(slots=True)
class Links:
    """Network state between an instance and the store, peers, upstreams.

    ``silenced_at`` is when its open connections stopped carrying bytes.
    Its next ``silent_connections`` calls to the store use such a
    connection and get no answer.
    """

    domain: str
    region: str
    reaches_store: bool = True
    hears_store: bool = True
    is_refused: bool = False
    reaches_peers: bool = True
    reaches_upstreams: bool = True
    loss: float = 0.0
    silenced_at: float = float("-inf")
    silent_connections: int = 0

    def find_delay(self, region, domain):
        if region != self.region:
            return OTHER_REGION_S
        return SAME_DOMAIN_S if domain == self.domain else SAME_REGION_S

    def find_store_delay(self):
        if self.region != STORE_REGION:
            return OTHER_REGION_S
        return SAME_REGION_S

    def silence(self):
        self.silenced_at = read_monotonic()
        self.silent_connections = KEPT_CONNECTIONS

    def take_silent_connection(self):
        if not self.silent_connections:
            return False
        self.silent_connections -= 1
        return True


@dataclass(slots=True)
class Incarnation:
    """One run of the program on an instance, from start to kill."""

    machine: object
    process: EdgeProcess | None = None
    is_alive: bool = True
    frozen_until: float = float("-inf")
    tasks: list = field(default_factory=list)


@dataclass(slots=True)
class Machine:
    """An instance, its current incarnation and its latest disturbance.

    ``round_s`` is how long an event loop iteration of its process takes;
    opening a connection takes two of them.
    """

    name: str
    host: str
    links: Links
    rate: float
    current: Incarnation | None = None
    round_s: float = 0.0
    disturbed_at: float = float("-inf")

    @property
    def is_alive(self):
        return self.current is not None and self.current.is_alive

    @property
    def process(self):
        return self.current.process


class _Datagrams:
    """The gossip socket of one instance."""

    def __init__(self, fleet, machine):
        self._fleet = fleet
        self._machine = machine

    def sendto(self, data, address):
        self._fleet.send_datagram(self._machine, address[0], data)

    def close(self):
        return


class PeerPool:
    """The connection of a follower to an instance that it reads from."""

    network = None

    def __init__(self, address):
        self._host = address.rpartition(":")[0]
        self._machine = INCARNATION.get().machine

    def close(self):
        return

    async def send(self, request, limit_s, *, repeatable):
        try:
            return await wait_for(self._send(request), limit_s)
        except TimeoutError:
            raise ExchangeTimeout(
                "the peer did not answer in time", sent=True
            ) from None

    async def _send(self, request):
        target = self.network.machines[self._host]
        links = self._machine.links
        delay_s = links.find_delay(target.links.region, target.links.domain)
        await self._cross(target, delay_s)
        if not target.is_alive:
            raise ExchangeError("the peer refused the connection", sent=False)
        asked = target.current
        context = copy_context()
        context.run(INCARNATION.set, asked)
        answering = get_running_loop().create_task(
            _answer_records(asked.process, request.target), context=context
        )
        # A cancellation here would wait for a peer that froze or died.
        body = await shield(answering)
        await self._cross(target, delay_s)
        if not asked.is_alive:
            raise ExchangeError("the peer reset the connection", sent=True)
        return UpstreamAnswer(200, "", [], body)

    async def _cross(self, target, delay_s):
        await sleep(delay_s)
        if not self._machine.links.reaches_peers:
            await Event().wait()
        if not target.links.reaches_peers:
            await Event().wait()


async def _answer_records(process, target):
    asked_at = read_monotonic()
    query = dict(part.split("=") for part in target.split("?")[1].split("&"))
    cursor = Cursor(int(query["incarnation"]), int(query["sequence"]))
    await process._records._wait(cursor, float(query["wait"]))
    copy = build_copy(process.belief, process._incarnation, cursor, asked_at)
    return encode_copy(copy)


class Fleet:
    """All instances and upstreams, and the network that joins them."""

    def __init__(self, store, random, regions, callers):
        self.store = store
        self.callers = callers
        self.random = random
        self.regions = regions
        self.machines = {}
        self.upstreams = {}
        self.incarnations = []
        self._requests = 0

    def add_machine(self, number, domain, rate):
        host = f"10.0.0.{number}"
        links = Links(domain, self.regions[domain])
        machine = Machine(f"n{number}", host, links, rate)
        self.machines[host] = machine
        return machine

    def add_upstream(self, upstream):
        self.upstreams[upstream.address] = upstream
        create_task(upstream.send_heartbeats())

    def find_upstream(self, address):
        return self.upstreams[address]

    def start(self, machine):
        """Start a new incarnation of the program on an instance."""
        made = Incarnation(machine)
        machine.current = made
        self.incarnations.append(made)
        context = copy_context()
        context.run(INCARNATION.set, made)
        made.tasks = [
            get_running_loop().create_task(body, context=context)
            for body in (self._run(made), self._send_requests(made))
        ]

    def kill(self, machine):
        machine.current.is_alive = False

    def freeze(self, machine, for_s):
        machine.current.frozen_until = read_monotonic() + for_s

    async def _run(self, made):
        machine = made.machine
        settings = self._build_settings(machine)
        feed = ModelFeed(self.store, machine.links)
        made.process = EdgeProcess(settings, feed, PlatformWire())
        gossip = made.process._gossip
        gossip.connection_made(_Datagrams(self, machine))
        for host in settings.seeds:
            gossip.add_host("", host)
        async with AsyncExitStack() as stack:
            made.process._start_tasks(stack)
            await Event().wait()

    def _build_settings(self, machine):
        return EdgeSettings(
            machine.name,
            machine.host,
            machine.links.domain,
            machine.links.region,
            self.regions,
            f"{machine.host}:80",
            f"{machine.host}:81",
            f"{machine.host}:82",
            "",
            PEER_PORT,
            tuple(list(self.machines)[:3]),
            BOUNDS,
        )

    def send_datagram(self, source, host, data):
        target = self.machines[host]
        if self.random.random() < max(source.links.loss, target.links.loss):
            return
        if not source.links.reaches_peers or not target.links.reaches_peers:
            return
        if not target.is_alive:
            return
        context = copy_context()
        context.run(INCARNATION.set, target.current)
        links = target.links
        get_running_loop().call_later(
            links.find_delay(source.links.region, source.links.domain),
            target.process._gossip.datagram_received,
            data,
            (source.host, PEER_PORT),
            context=context,
        )

    async def _send_requests(self, made):
        """Send requests of new callers while the instance is serving."""
        while True:
            await sleep(self.random.expovariate(made.machine.rate))
            if made.process.phase == "serving":
                create_task(self._send_request(made))

    async def _send_request(self, made):
        process = made.process
        self._requests += 1
        number = str(self._requests)
        place = str(self.random.randrange(OBJECTS))
        arrival = Arrival(
            number,
            "h.example",
            "GET",
            "/read/x",
            "/read/x",
            (Header("Accept", "*/*"),),
            b"",
            None,
            place,
            PATIENCE_S,
        )
        caller = self.callers.create(number)
        run = process.front._proxy.run(arrival, caller, caller.came_at)
        timeout_s = self._find_timeout(process)
        try:
            async with timeout_at(caller.noticed_at):
                await run
        except (RequestError, CallerLeft, TimeoutError):
            pass
        self.callers.note_end(caller, timeout_s, made.machine)

    def _find_timeout(self, process):
        route = process.belief.catalog.find_route("h.example", "/read/x")
        return min(route.timeout_s, PATIENCE_S)
