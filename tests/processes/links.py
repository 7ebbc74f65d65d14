"""Relays that cut, freeze or delay the links between processes."""

from dataclasses import dataclass

from gypsummount._standin.relay import Relay


@dataclass(slots=True)
class Links:
    """Relays to an instance's agent and entry, and from it to the store."""

    agent: Relay
    peer: Relay
    store: Relay

    def list(self) -> tuple[Relay, ...]:
        return self.agent, self.peer, self.store

    def switch(self, **switches: object) -> None:
        for relay in self.list():
            relay.switch(**switches)

    async def close(self) -> None:
        for relay in self.list():
            await relay.close()


async def start_links(agent: str, peer: str, store: str) -> Links:
    """Start one relay each to an agent, an entry and the store."""
    relays = [await start_relay(target) for target in (agent, peer, store)]
    return Links(*relays)


async def start_relay(target: str) -> Relay:
    host, port = target.rsplit(":", 1)
    relay = Relay(host, int(port))
    await relay.start(host, 0)
    return relay
