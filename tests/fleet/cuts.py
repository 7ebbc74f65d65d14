"""A fleet in one process whose failure domains can be isolated."""

from asyncio import sleep
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from gypsummount._agent.operations import ApplyRequest
from gypsummount._agent.operations import Operations
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.rpc import ChannelPool
from gypsummount._demo.fleet import apply_rules
from gypsummount._demo.fleet import Fleet
from gypsummount._demo.fleet import Instance
from gypsummount._demo.fleet import Ports
from gypsummount._demo.fleet import start_fleet
from gypsummount._demo.rules import build_rules_text
from gypsummount._load.caller import Call
from gypsummount._load.caller import Caller
from gypsummount._load.caller import CallResult
from gypsummount._load.caller import Lookup
from gypsummount._load.caller import Target

UNREACHABLE_ADDRESS = "127.0.0.1:1"
GET_RONDAS = Call("rondas", "GET", "/rondas/hoy", retries=0)
# Longer than the demo's BURST_S (2 s), in which rate shares fill.
SETTLE_S = 3.0
# Exceeds the store client's WATCH_WAIT_S (5 s), so that a watch that is open
# when the partition begins has ended after this time.
MAX_WATCH_S = 5.5
POLL_S = 0.1


@dataclass(slots=True)
class PartitionableNetwork:
    """Network partition that decides which instances reach each other."""

    isolated: set[str] = field(default_factory=set)
    instance_by_channels: dict[int, str] = field(default_factory=dict)
    instance_by_address: dict[str, str] = field(default_factory=dict)

    def add(self, instance: Instance) -> None:
        for process in (instance.agent, instance.entry):
            self.instance_by_channels[id(process._channels)] = instance.name
        settings = instance.entry._settings
        self.instance_by_address[settings.peer_listen] = instance.name
        self.instance_by_address[settings.agent] = instance.name

    def route(self, channels: ChannelPool, address: str) -> str:
        """Return the address, or an unreachable one across the partition."""
        source = self.instance_by_channels.get(id(channels))
        target = self.instance_by_address.get(address)
        if source is None or target is None or source == target:
            return address
        if (source in self.isolated) != (target in self.isolated):
            return UNREACHABLE_ADDRESS
        return address


@dataclass(slots=True)
class PartitionableFleet:
    """A running fleet and the network through which its channels connect.

    Operators' commands go to the first instance, so its domain must not
    be isolated.
    """

    fleet: Fleet
    network: PartitionableNetwork
    stack: AsyncExitStack
    random: Random

    @property
    def operations(self) -> Operations:
        return self.fleet.instances[0].agent.operations

    def list_instances_of_domain(self, domain: str) -> list[Instance]:
        return [
            instance
            for instance in self.fleet.instances
            if instance.domain == domain
        ]

    async def isolate(self, domain: str) -> list[Instance]:
        """Isolate a domain from peers, store and the platform's live list."""
        isolated_instances = self.list_instances_of_domain(domain)
        self.network.isolated.update(
            member.name for member in isolated_instances
        )
        for instance in isolated_instances:
            agent = instance.agent
            agent._store._base = f"http://{UNREACHABLE_ADDRESS}/objects/"
            settings = agent.state.settings
            agent.state.settings = replace(
                settings, live_list=UNREACHABLE_ADDRESS
            )
        await self.close_channels()
        await sleep(MAX_WATCH_S)
        return isolated_instances

    async def reconnect(self) -> None:
        """End the partition and reconnect the isolated instances."""
        connected = self.fleet.instances[0].agent
        for instance in self.fleet.instances:
            if instance.name in self.network.isolated:
                agent = instance.agent
                agent._store._base = connected._store._base
                live_list = connected.state.settings.live_list
                settings = agent.state.settings
                agent.state.settings = replace(settings, live_list=live_list)
        self.network.isolated.clear()

    async def close_channels(self) -> None:
        for instance in self.fleet.instances:
            for process in (instance.agent, instance.entry):
                channels = process._channels
                for address in list(channels._channels):
                    if (
                        self.network.route(channels, address)
                        == UNREACHABLE_ADDRESS
                    ):
                        await channels._close_channel(address)

    async def grant(self, workspace: str) -> tuple[str, str]:
        """Return a new key and its id once all connected entries have it."""
        granted = await self.operations.grant_key(workspace, "tests", 0)
        serial = self.fleet.instances[0].agent.state.keys.serial
        await self.wait_for(
            lambda: all(
                instance.entry.snapshot.keys.serial >= serial
                for instance in self.fleet.instances
                if instance.name not in self.network.isolated
            ),
            5.0,
        )
        return granted.key, granted.record.key_id

    async def apply(self, added_rules: str, base_serial: int) -> int:
        text = self.fleet.rules_text + added_rules
        request = ApplyRequest(text, base_serial, f"writer-{base_serial}")
        return (await self.operations.apply(request)).serial

    async def call(
        self, instance: Instance, key: str, call: Call = GET_RONDAS
    ) -> CallResult:
        """Send a call to this instance only, as if a look-up returned it."""
        caller = Caller(key, [instance.listen], self.random)
        # A home token: the entry's incarnation and, after a dot, an epoch.
        token = f"{instance.entry.incarnation}.0"
        target = Target(instance.listen, token, 1)
        caller.lookups[call.service] = Lookup([target], float("inf"))
        self.stack.callback(caller.close)
        return await caller.call(call)

    async def wait_for(self, condition, timeout_s: float) -> float:
        began = read_monotonic()
        while not condition():
            assert read_monotonic() - began < timeout_s, (
                "condition did not hold in time"
            )
            await sleep(POLL_S)
        return read_monotonic() - began

    def count_runs(self, workspace: str) -> int:
        return sum(
            run.workspace == workspace
            for upstream in self.fleet.upstreams
            for run in upstream.runs
        )


async def start_partitionable_fleet(
    stack: AsyncExitStack, monkeypatch, edit_rules=None
) -> PartitionableFleet:
    """Start 8 instances whose RPC channels connect through the network.

    ``edit_rules`` edits the text of the rule file before the start.
    """
    network = PartitionableNetwork()
    find_original = ChannelPool.find

    def find_through_network(channels, address):
        return find_original(channels, network.route(channels, address))

    monkeypatch.setattr(ChannelPool, "find", find_through_network)
    ports = Ports()
    rules_text = build_rules_text(ports.reserve)
    if edit_rules is not None:
        rules_text = edit_rules(rules_text)
    fleet = await start_fleet(stack, rules_text, ports, 1)
    for instance in fleet.instances:
        network.add(instance)
    await sleep(0.5)
    serial = await apply_rules(fleet)
    await fleet.wait_ready(serial)
    await sleep(SETTLE_S)
    return PartitionableFleet(fleet, network, stack, Random(1))
