"""The frame of a case: its store, servers, edges and result."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
import os
from pathlib import Path
import signal
import sys
import traceback

from review.standins2.deployment import build_config
from review.standins2.deployment import Deployment
from review.standins2.deployment import SERVICE
from review.standins2.record import Record
from review.standins2.servers import Server
from review.standins2.store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
CASE_TIMEOUT_S = 110.0
# Until the edges have seen each other and all servers.
SETTLE_S = 5.0
REGION = "central"
# The store's region and the way to the others, as on the sheet of tdv-rondas.
STORE_REGION = "central"
BETWEEN_REGIONS_S = 0.035


class Case:
    """What a case works with; ``has_trouble`` is False with TROUBLE=0."""

    def __init__(self, stack: AsyncExitStack, record: Record) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.stack = stack
        self.record = record
        self.store = Store()
        self.servers: list[Server] = []
        self.deployment: Deployment | None = None

    async def start(
        self,
        zones: list[str],
        servers_per_zone: int = 2,
        server_class: type[Server] = Server,
    ) -> None:
        """Start the store, the servers and an edge in each zone.

        All zones are in one region, and up to three edges are seeds.
        """
        address = await self._start_platform(
            zones, servers_per_zone, server_class
        )
        self.deployment = Deployment(self.stack, address, self.record)
        self.deployment.add_edges(dict.fromkeys(zones, REGION))
        await self._settle()

    async def start_regions(
        self, regions: dict[str, str], *, seeds: int
    ) -> None:
        """Start the store, the servers and an edge in each zone.

        ``regions`` has the region of each zone.  The edges start one after
        the other; the first ones are the seeds.  The store stands in
        :data:`STORE_REGION`; the edges are as near to each other as loopback
        makes them.
        """
        zones = list(regions)
        near = await self._start_platform(zones, 2, Server)
        far = await self.store.listen("127.0.0.1", BETWEEN_REGIONS_S)
        stores = {
            region: near if region == STORE_REGION else far
            for region in regions.values()
        }
        self.deployment = Deployment(self.stack, near, self.record)
        self.deployment.add_edges(
            regions, seeds, stores=stores, is_starting=False
        )
        for edge in self.deployment.edges:
            edge.start()
            await edge.wait_ready()
        await self._settle()

    async def _start_platform(
        self,
        zones: list[str],
        servers_per_zone: int,
        server_class: type[Server],
    ) -> str:
        address = await self.store.listen("127.0.0.1")
        self.stack.callback(self.store.close)
        self.store.put("config", "main", build_config(7))
        for zone in zones:
            for number in range(servers_per_zone):
                name = f"i-{zone}-{number}"
                await self.add_server(server_class, name, zone)
        return address

    async def _settle(self) -> None:
        for edge in self.deployment.edges:
            await edge.wait_ready()
        await asyncio.sleep(SETTLE_S)

    async def add_server(
        self, server_class: type[Server], name: str, zone: str
    ) -> Server:
        """Start a server."""
        server = server_class(self.store, self.record, name, SERVICE, zone)
        await server.start()
        self.stack.callback(server.stop)
        self.servers.append(server)
        return server


def run_case(play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if its rule was broken, 0 if it held.

    ``play`` returns whether the rule held.  Any other failure exits with 2.
    The only argument of the program is the path of the record.
    """
    record = Record(Path(sys.argv[1]))
    try:
        held = asyncio.run(_play(record, play))
    except (Exception, asyncio.CancelledError):
        record.write(traceback.format_exc())
        record.conclude("the case could not run")
        sys.exit(NOT_RUN)
    finally:
        record.close()
    sys.exit(HELD if held else BROKEN)


async def _play(
    record: Record, play: Callable[[Case], Awaitable[bool]]
) -> bool:
    # The processes that were started end also when the case is stopped.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with AsyncExitStack() as stack, asyncio.timeout(CASE_TIMEOUT_S):
        return await play(Case(stack, record))
