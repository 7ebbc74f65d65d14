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
from gypsummount._common.rpc import Channels
from gypsummount._demo.fleet import apply_rules
from gypsummount._demo.fleet import Fleet
from gypsummount._demo.fleet import Instance
from gypsummount._demo.fleet import Ports
from gypsummount._demo.fleet import start_fleet
from gypsummount._demo.rules import write_rules
from gypsummount._load.caller import Call
from gypsummount._load.caller import Caller
from gypsummount._load.caller import CallResult
from gypsummount._load.caller import Lookup
from gypsummount._load.caller import Target

NOWHERE = "127.0.0.1:1"
ROUNDS = Call("rondas", "GET", "/rondas/hoy", retries=0)
SETTLE_S = 3.0
WATCH_END_S = 5.5
POLL_S = 0.1


@dataclass(slots=True)
class CutNetwork:
    """Network partition that decides which instances reach each other."""

    cut_off: set[str] = field(default_factory=set)
    owners: dict[int, str] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)

    def add(self, instance: Instance) -> None:
        for process in (instance.agent, instance.entry):
            self.owners[id(process._channels)] = instance.name
        settings = instance.entry._settings
        self.places[settings.peer_listen] = instance.name
        self.places[settings.agent] = instance.name

    def route(self, channels: Channels, address: str) -> str:
        """Return the address, or an unreachable one across the partition."""
        source = self.owners.get(id(channels))
        target = self.places.get(address)
        if source is None or target is None or source == target:
            return address
        if (source in self.cut_off) != (target in self.cut_off):
            return NOWHERE
        return address


@dataclass(slots=True)
class CutFleet:
    """A running fleet and the network that its channels pass."""

    fleet: Fleet
    network: CutNetwork
    stack: AsyncExitStack
    random: Random

    @property
    def operations(self) -> Operations:
        return self.fleet.instances[0].agent.operations

    def list_domain(self, domain: str) -> list[Instance]:
        return [one for one in self.fleet.instances if one.domain == domain]

    async def cut(self, domain: str) -> list[Instance]:
        """Isolate a domain from peers, store and the platform's live list."""
        chosen = self.list_domain(domain)
        self.network.cut_off.update(one.name for one in chosen)
        for instance in chosen:
            agent = instance.agent
            agent._store._base = f"http://{NOWHERE}/objects/"
            settings = agent.state.settings
            agent.state.settings = replace(settings, live_list=NOWHERE)
        await self.close_channels()
        await sleep(WATCH_END_S)
        return chosen

    async def heal(self) -> None:
        """End the partition and reconnect the isolated instances."""
        whole = self.fleet.instances[0].agent
        for instance in self.fleet.instances:
            if instance.name in self.network.cut_off:
                agent = instance.agent
                agent._store._base = whole._store._base
                live_list = whole.state.settings.live_list
                settings = agent.state.settings
                agent.state.settings = replace(settings, live_list=live_list)
        self.network.cut_off.clear()

    async def close_channels(self) -> None:
        for instance in self.fleet.instances:
            for process in (instance.agent, instance.entry):
                channels = process._channels
                for address in list(channels._channels):
                    if self.network.route(channels, address) == NOWHERE:
                        await channels._close_one(address)

    async def grant(self, workspace: str) -> tuple[str, str]:
        """Return a new key and its id once all connected entries have it."""
        granted = await self.operations.grant_key(workspace, "tests", 0)
        serial = self.fleet.instances[0].agent.state.keys.serial
        await self.wait_for(
            lambda: all(
                one.entry.snapshot.keys.serial >= serial
                for one in self.fleet.instances
                if one.name not in self.network.cut_off
            ),
            5.0,
        )
        return granted.key, granted.record.key_id

    async def apply(self, more: str, base: int) -> int:
        text = self.fleet.rules_text + more
        request = ApplyRequest(text, base, f"writer-{base}")
        return (await self.operations.apply(request)).serial

    async def call(
        self, instance: Instance, key: str, call: Call = ROUNDS
    ) -> CallResult:
        """Send a call to this instance only, as if a look-up returned it."""
        caller = Caller(key, [instance.listen], self.random)
        token = f"{instance.entry.incarnation}.0"
        target = Target(instance.listen, token, 1)
        caller.lookups[call.service] = Lookup([target], float("inf"))
        self.stack.callback(caller.close)
        return await caller.call(call)

    async def wait_for(self, check, limit_s: float) -> float:
        began = read_monotonic()
        while not check():
            assert read_monotonic() - began < limit_s, (
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


async def start_cut_fleet(
    stack: AsyncExitStack, monkeypatch, change=None
) -> CutFleet:
    """Start 8 instances whose RPC channels pass the network.

    ``change`` edits the text of the rule file before the start.
    """
    network = CutNetwork()
    find = Channels.find

    def find_routed(channels, address):
        return find(channels, network.route(channels, address))

    monkeypatch.setattr(Channels, "find", find_routed)
    ports = Ports()
    rules_text = write_rules(ports.take)
    if change is not None:
        rules_text = change(rules_text)
    fleet = await start_fleet(stack, rules_text, ports, 1)
    for instance in fleet.instances:
        network.add(instance)
    await sleep(0.5)
    serial = await apply_rules(fleet)
    await fleet.wait_ready(serial)
    await sleep(SETTLE_S)
    return CutFleet(fleet, network, stack, Random(1))
