"""A TCP relay that injects network faults: cuts, freezes and delays."""

from asyncio import CancelledError
from asyncio import gather
from asyncio import open_connection
from asyncio import Server
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from dataclasses import dataclass

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class RelaySwitches:
    """Faults that a relay injects.

    While ``cut`` is set, new connections are closed at once; setting it
    closes the open ones.  ``freeze_to`` and ``freeze_from`` hold back
    bytes to and from the target while the connections stay open.
    ``delay_s`` is added to each chunk of bytes in each direction.
    """

    cut: bool = False
    freeze_to: bool = False
    freeze_from: bool = False
    delay_s: float = 0.0


class Relay:
    """Forwards TCP connections to a target, subject to its switches.

    ``connections`` counts the connections accepted since the start.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.switches = RelaySwitches()
        self.connections = 0
        self.address = ""
        self._target = (target_host, target_port)
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()
        self._last_silenced_number = 0

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; port 0 picks a free one."""
        self._server = await start_server(self._serve, host, port)
        socket_name = self._server.sockets[0].getsockname()
        self.address = f"{socket_name[0]}:{socket_name[1]}"
        return socket_name[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Close every open connection, on both sides."""
        for writer in list(self._writers):
            writer.close()

    def silence_connections(self) -> None:
        """Discard all further bytes of the open connections, both ways.

        The connections stay open, and new ones are not affected.
        """
        self._last_silenced_number = self.connections

    def switch(self, **switches: object) -> None:
        """Set the named switches and reset all others to their defaults.

        A cut closes the open connections.
        """
        self.switches = RelaySwitches(**switches)
        if self.switches.cut:
            self.close_connections()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        if self.switches.cut:
            writer.close()
            return
        try:
            target_reader, target_writer = await open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._writers.update((writer, target_writer))
        try:
            await gather(
                self._pump(reader, target_writer, number, "freeze_to"),
                self._pump(target_reader, writer, number, "freeze_from"),
            )
        except (OSError, CancelledError):
            pass
        finally:
            self._writers.difference_update((writer, target_writer))
            writer.close()
            target_writer.close()

    async def _pump(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        number: int,
        freeze_switch: str,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if number <= self._last_silenced_number:
                continue
            while getattr(self.switches, freeze_switch):
                await sleep(0.02)
            if self.switches.delay_s:
                await sleep(self.switches.delay_s)
            writer.write(chunk)
            await writer.drain()
        if not writer.is_closing():
            writer.close()
