"""A small fleet and its stand-ins in one process on loopback."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import Task
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET

from gypsummount._agent.operations import ApplyRequest
from gypsummount._agent.process import AgentProcess
from gypsummount._agent.state import AgentSettings
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.sockets import bind_address
from gypsummount._config.parser import load_rules
from gypsummount._demo.rules import DOMAINS
from gypsummount._entry.process import EntryProcess
from gypsummount._entry.process import EntrySettings
from gypsummount._standin.http import SingleHandlerServer
from gypsummount._standin.platform import ListedInstance
from gypsummount._standin.platform import PlatformStandin
from gypsummount._standin.program import build_upstreams
from gypsummount._standin.store import StoreStandin
from gypsummount._standin.upstreams import UpstreamStandin
from gypsummount.errors import GypsummountError

LOOPBACK = "127.0.0.1"
PEPPER = b"demo-pepper-of-the-fleet"
OPERATOR_TOKEN = "demo-operator-token"
INSTANCE_COUNT = 8
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


class FleetError(GypsummountError):
    """The fleet was not ready in time."""

    code = "fleet_not_ready"


class Ports:
    """Reserves free loopback ports.

    Each port stays bound, without listening, until :meth:`close`, so
    that it is given to no other process before its server binds it.
    """

    def __init__(self) -> None:
        self._sockets: list[socket] = []

    def reserve(self) -> str:
        """Reserve a free port and return its address."""
        placeholder = socket()
        # With SO_REUSEADDR on both sockets, a server can listen on the
        # port while this socket keeps it reserved.
        placeholder.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        placeholder.bind((LOOPBACK, 0))
        self._sockets.append(placeholder)
        return f"{LOOPBACK}:{placeholder.getsockname()[1]}"

    def close(self) -> None:
        """Release all reserved ports."""
        for placeholder in self._sockets:
            placeholder.close()
        self._sockets.clear()


@dataclass(slots=True)
class Instance:
    """An entry and its agent; ``listen`` is the address for callers."""

    name: str
    entry: EntryProcess
    agent: AgentProcess
    listen: str
    domain: str


@dataclass(slots=True)
class Fleet:
    """The stand-ins and the instances of a running fleet."""

    rules_text: str
    store: StoreStandin
    platform: PlatformStandin
    upstreams: list[UpstreamStandin]
    instances: list[Instance] = field(default_factory=list)
    tasks: list[Task[None]] = field(default_factory=list)

    async def wait_ready(self, serial: int) -> None:
        """Wait until every entry serves.

        An entry must have its shares and the rules and know its peers.

        :raises FleetError: after :data:`READY_TIMEOUT_S` seconds.
        """
        deadline = read_monotonic() + READY_TIMEOUT_S
        while not all(
            _is_ready(instance, serial) for instance in self.instances
        ):
            if read_monotonic() > deadline:
                raise FleetError(
                    "the fleet was not ready in time; try again on a "
                    "less busy machine"
                )
            await sleep(POLL_INTERVAL_S)


def _is_ready(instance: Instance, serial: int) -> bool:
    entry = instance.entry
    if entry.phase != "serving" or not entry.budgets.rates:
        return False
    return (
        entry.snapshot.config_serial >= serial
        and len(entry.snapshot.peers) >= INSTANCE_COUNT - 1
    )


async def start_fleet(
    stack: AsyncExitStack, rules_text: str, ports: Ports, seed: int
) -> Fleet:
    """Start the fleet; the exit stack stops it and releases the ports."""
    stack.callback(ports.close)
    upstreams = build_upstreams(load_rules(rules_text), seed)
    # The platform's list of instances lags 1 s behind changes.
    fleet = Fleet(rules_text, StoreStandin(), PlatformStandin(1.0), upstreams)
    store_address, platform_address = ports.reserve(), ports.reserve()
    servers = {
        store_address: fleet.store.answer,
        platform_address: fleet.platform.answer,
    }
    servers |= {upstream.server: upstream.answer for upstream in upstreams}
    for address, answer in servers.items():
        server = SingleHandlerServer(answer, bind_address("--listen", address))
        stack.push_async_callback(server.close)
    for index in range(INSTANCE_COUNT):
        domain = DOMAINS[index % len(DOMAINS)]
        instance = _create_instance(
            index, domain, store_address, platform_address, ports
        )
        fleet.instances.append(instance)
        fleet.tasks.append(create_task(instance.agent.run()))
        fleet.tasks.append(create_task(instance.entry.run()))
    for instance in fleet.instances:
        fleet.platform.put(
            ListedInstance(
                instance.name,
                instance.domain,
                instance.agent.state.settings.listen,
            )
        )
    stack.push_async_callback(_stop, fleet)
    return fleet


def _create_instance(
    index: int,
    domain: str,
    store_address: str,
    platform_address: str,
    ports: Ports,
) -> Instance:
    name = f"entry-{index + 1}"
    # A domain is named REGION-SUFFIX.
    region = domain.rsplit("-", 1)[0]
    agent_listen, listen = ports.reserve(), ports.reserve()
    agent = AgentProcess(
        AgentSettings(
            name,
            domain,
            region,
            agent_listen,
            ports.reserve(),
            store_address,
            platform_address,
            (),
            PEPPER,
            OPERATOR_TOKEN,
        )
    )
    entry = EntryProcess(
        EntrySettings(
            name,
            domain,
            region,
            listen,
            ports.reserve(),
            agent_listen,
            PEPPER,
            drain_s=0.2,
            stop_limit_s=2.0,
        )
    )
    return Instance(name, entry, agent, listen, domain)


async def apply_rules(fleet: Fleet) -> int:
    """Apply the rules of the fleet and return their serial."""
    operations = fleet.instances[0].agent.operations
    request = ApplyRequest(fleet.rules_text, 0, "demo")
    document = await operations.apply(request)
    return document.serial


async def _stop(fleet: Fleet) -> None:
    for task in fleet.tasks:
        task.cancel()
    await gather(*fleet.tasks, return_exceptions=True)
