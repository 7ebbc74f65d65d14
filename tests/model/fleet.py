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
from gypsummount.errors import CallerDisconnected
from gypsummount.errors import RequestError
from gypsummount.platform.wire import PlatformWire
from tests.model.clock import INCARNATION
from tests.model.store import ModelFeed

PEER_PORT = 7460
BOUNDS = EdgeBounds(revoke_s=5.0, grace_s=6.0, lookup_ttl_s=2.0)
SAME_DOMAIN_DELAY_S = 0.0001
SAME_REGION_DELAY_S = 0.0009
OTHER_REGION_DELAY_S = 0.035
STORE_REGION = "central"
AFFINITY_KEY_COUNT = 150
IDLE_CONNECTIONS = 5
CALLER_DEADLINE_S = 1.5


@dataclass(slots=True)
class Links:
    """Network state between an instance and the store, peers, upstreams.

    Without ``reaches_store`` its requests to the store are lost, without
    ``hears_store`` only the answers are; while ``is_refused`` is set, the
    store refuses its requests.  ``loss`` is the fraction of lost gossip
    datagrams.

    ``silenced_at`` is when its open connections stopped carrying bytes.
    Its connection pool still holds ``silent_connections`` of them: until
    that many calls to the store were made, each call uses a dead
    connection and gets no answer.
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

    def get_delay(self, region, domain):
        if region != self.region:
            return OTHER_REGION_DELAY_S
        return (
            SAME_DOMAIN_DELAY_S
            if domain == self.domain
            else SAME_REGION_DELAY_S
        )

    def get_store_delay(self):
        if self.region != STORE_REGION:
            return OTHER_REGION_DELAY_S
        return SAME_REGION_DELAY_S

    def silence(self):
        self.silenced_at = read_monotonic()
        self.silent_connections = IDLE_CONNECTIONS

    def use_silent_connection(self):
        if not self.silent_connections:
            return False
        self.silent_connections -= 1
        return True


@dataclass(slots=True)
class Incarnation:
    """One run of the program on an instance, from start to kill."""

    instance: object
    process: EdgeProcess | None = None
    is_alive: bool = True
    frozen_until: float = float("-inf")
    tasks: list = field(default_factory=list)


@dataclass(slots=True)
class Instance:
    """An instance, its current incarnation and its latest fault.

    ``iteration_s`` is how long an event loop iteration of its process takes;
    opening a connection takes two of them.  ``last_fault_at`` is the last
    time at which the instance or one of its links had a fault.
    """

    name: str
    host: str
    links: Links
    rate: float
    capacity: float = 0.0
    current: Incarnation | None = None
    iteration_s: float = 0.0
    last_fault_at: float = float("-inf")

    @property
    def is_alive(self):
        return self.current is not None and self.current.is_alive

    @property
    def process(self):
        return self.current.process


class _Datagrams:
    """The gossip socket of one instance."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def sendto(self, data, address):
        self._fleet.send_datagram(self._instance, address[0], data)

    def close(self):
        return


class PeerPool:
    """The connection of an instance to a peer whose records it reads."""

    # The fleet, which the run sets before it starts any instance.
    network = None

    def __init__(self, address):
        self._host = address.rpartition(":")[0]
        self._instance = INCARNATION.get().instance

    def close(self):
        return

    async def send(self, request, timeout_s, *, repeatable):
        try:
            return await wait_for(self._send(request), timeout_s)
        except TimeoutError:
            raise ExchangeTimeout(
                "the peer did not answer in time", sent=True
            ) from None

    async def _send(self, request):
        target = self.network.instances[self._host]
        links = self._instance.links
        delay_s = links.get_delay(target.links.region, target.links.domain)
        await self._transmit(target, delay_s)
        if not target.is_alive:
            raise ExchangeError("the peer refused the connection", sent=False)
        responder = target.current
        context = copy_context()
        context.run(INCARNATION.set, responder)
        response = get_running_loop().create_task(
            _serve_records(responder.process, request.target), context=context
        )
        # Without shield, a timeout would cancel the peer's task and wait for
        # its end, but the tasks of a frozen or dead peer do not run.
        body = await shield(response)
        await self._transmit(target, delay_s)
        if not responder.is_alive:
            raise ExchangeError("the peer reset the connection", sent=True)
        return UpstreamAnswer(200, "", [], body)

    async def _transmit(self, target, delay_s):
        """Wait for the network delay; wait forever if a link is cut."""
        await sleep(delay_s)
        if not self._instance.links.reaches_peers:
            await Event().wait()
        if not target.links.reaches_peers:
            await Event().wait()


async def _serve_records(process, target):
    requested_at = read_monotonic()
    query = dict(
        field_text.split("=") for field_text in target.split("?")[1].split("&")
    )
    cursor = Cursor(int(query["incarnation"]), int(query["sequence"]))
    await process._records._wait(cursor, float(query["wait"]))
    copy = build_copy(
        process.replica, process._incarnation, cursor, requested_at
    )
    return encode_copy(copy)


class Fleet:
    """All instances and upstreams, and the network that joins them."""

    def __init__(self, store, random, regions, callers, bounds=BOUNDS):
        self.store = store
        self.callers = callers
        self.random = random
        self.regions = regions
        self.bounds = bounds
        self.bytes_between_domains = 0
        self.instances = {}
        self.upstreams = {}
        self.incarnations = []
        self._requests = 0

    def add_instance(self, number, domain, rate):
        host = f"10.0.0.{number}"
        links = Links(domain, self.regions[domain])
        instance = Instance(f"n{number}", host, links, rate)
        self.instances[host] = instance
        return instance

    def add_upstream(self, upstream):
        self.upstreams[upstream.address] = upstream
        create_task(upstream.send_heartbeats())

    def get_upstream(self, address):
        return self.upstreams[address]

    def start(self, instance):
        """Start a new incarnation of the program on an instance."""
        incarnation = Incarnation(instance)
        instance.current = incarnation
        self.incarnations.append(incarnation)
        context = copy_context()
        context.run(INCARNATION.set, incarnation)
        incarnation.tasks = [
            get_running_loop().create_task(body, context=context)
            for body in (
                self._run(incarnation),
                self._send_requests(incarnation),
            )
        ]

    def kill(self, instance):
        instance.current.is_alive = False

    def freeze(self, instance, duration_s):
        instance.current.frozen_until = read_monotonic() + duration_s

    async def _run(self, incarnation):
        instance = incarnation.instance
        settings = self._build_settings(instance)
        feed = ModelFeed(self.store, instance.links)
        incarnation.process = EdgeProcess(settings, feed, PlatformWire())
        gossip = incarnation.process._gossip
        gossip.connection_made(_Datagrams(self, instance))
        for host in settings.seeds:
            gossip.add_host("", host)
        async with AsyncExitStack() as stack:
            incarnation.process._start_tasks(stack)
            await Event().wait()

    def _build_settings(self, instance):
        return EdgeSettings(
            instance.name,
            instance.host,
            instance.links.domain,
            instance.links.region,
            self.regions,
            f"{instance.host}:80",
            f"{instance.host}:81",
            f"{instance.host}:82",
            "",
            PEER_PORT,
            tuple(list(self.instances)[:3]),
            self.bounds,
            capacity=instance.capacity,
            uses_dispatchers=True,
        )

    def send_datagram(self, source, host, data):
        target = self.instances[host]
        if source.links.domain != target.links.domain:
            self.bytes_between_domains += len(data)
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
            links.get_delay(source.links.region, source.links.domain),
            target.process._gossip.datagram_received,
            data,
            (source.host, PEER_PORT),
            context=context,
        )

    async def _send_requests(self, incarnation):
        """Send requests of new callers while the instance is serving."""
        while True:
            await sleep(self.random.expovariate(incarnation.instance.rate))
            if incarnation.process.phase == "serving":
                create_task(self._send_request(incarnation))

    async def _send_request(self, incarnation):
        process = incarnation.process
        self._requests += 1
        number = str(self._requests)
        affinity = str(self.random.randrange(AFFINITY_KEY_COUNT))
        arrival = Arrival(
            number,
            "h.example",
            "GET",
            "/read/x",
            "/read/x",
            (Header("Accept", "*/*"),),
            b"",
            None,
            affinity,
            CALLER_DEADLINE_S,
        )
        caller = self.callers.create(number)
        run = process.front._proxy.run(arrival, caller, caller.arrived_at)
        timeout_s = self._get_timeout(process)
        try:
            async with timeout_at(caller.disconnect_detected_at):
                await run
        except (RequestError, CallerDisconnected, TimeoutError):
            pass
        self.callers.check_end(caller, timeout_s, incarnation.instance)

    def _get_timeout(self, process):
        route = process.replica.catalog.find_route("h.example", "/read/x")
        return min(route.timeout_s, CALLER_DEADLINE_S)
