"""Fixtures that run the program with doubles of the platform."""

from asyncio import sleep
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
import os
import socket
import subprocess
import sys

import pytest

from gypsummount._core.sanitizing import Header
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamRequest
from tests.platform.doubles import build_config
from tests.platform.doubles import build_server
from tests.platform.doubles import serve_server
from tests.platform.doubles import ServerDouble
from tests.platform.doubles import write_settings
from tests.platform.store_double import serve_store
from tests.platform.store_double import StoreDouble

ZONES = {"z1": "r1", "z2": "r2"}
KEY = "key-of-w"
READY_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 5.0


@dataclass(slots=True)
class Ports:
    """Ports of an instance; all instances of a test share them."""

    front: int
    ready: int
    control: int
    directory: int
    peer: int
    metrics: int


@dataclass(slots=True)
class CallerResult:
    """The ids of a caller's answered requests."""

    answered: list = field(default_factory=list)


@dataclass(slots=True)
class Deployment:
    """The doubles of the platform and the running instances.

    Instance ``number`` listens on 127.0.0.(number + 1).  Odd numbers are
    in zone z1, even ones in z2.
    """

    stack: AsyncExitStack
    folder: object
    store: StoreDouble
    store_address: str
    ports: Ports
    servers: dict = field(default_factory=dict)
    processes: dict = field(default_factory=dict)
    cloud: dict | None = None
    program: str = "gypsummount.platform"

    def start(self, number, stdout=None, memory_mb=0):
        host = f"127.0.0.{number + 1}"
        path = self.folder / f"settings-{number}.json"
        zone = "z1" if number % 2 else "z2"
        write_settings(
            path,
            f"n{number}",
            host,
            self.store_address,
            self.ports,
            ZONES,
            zone,
            memory_mb,
            self.cloud,
        )
        process = subprocess.Popen(
            [sys.executable, "-m", self.program],
            env={
                **os.environ,
                "GYPSUMMOUNT_BOOT": str(path),
                "GYPSUMMOUNT_METRICS_PORT": str(self.ports.metrics),
            },
            stdout=stdout or open(self.folder / f"log-{number}", "ab"),
        )
        self.processes[number] = process
        self.stack.callback(self._kill, process)

    def _kill(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()

    def read_log(self, number):
        return (self.folder / f"log-{number}").read_text()

    async def call(
        self,
        number,
        method,
        path,
        *,
        key=KEY,
        deadline_ms=2000,
        request_id="id-1",
        port=None,
        body=b"",
    ):
        host = f"127.0.0.{number + 1}"
        pool = ConnectionPool(f"{host}:{port or self.ports.front}")
        headers = [
            Header("Gypsummount-Deadline-Milliseconds", str(deadline_ms)),
            Header("Cookie", "Gypsummount-Affinity-Key=7"),
        ]
        if key:
            headers.append(Header("Api-Key", key))
        request = UpstreamRequest(
            method,
            path,
            tuple(headers),
            body,
            request_id,
            "Gypsummount-Request-Id",
            "h.example",
        )
        try:
            return await pool.send(request, CALL_TIMEOUT_S, repeatable=True)
        finally:
            pool.close()

    def open_pool(self, number):
        return ConnectionPool(f"127.0.0.{number + 1}:{self.ports.front}")

    async def call_until_stopped(self, pool, id_prefix):
        """Call over kept-alive connections until the instance stops."""
        result = CallerResult()
        for number in range(10_000):
            request_id = f"{id_prefix}-{number}"
            headers = (
                Header("Gypsummount-Deadline-Milliseconds", "2000"),
                Header("Api-Key", KEY),
            )
            request = UpstreamRequest(
                "POST",
                "/book/x",
                headers,
                b"",
                request_id,
                "Gypsummount-Request-Id",
                "h.example",
            )
            try:
                await pool.send(request, CALL_TIMEOUT_S, repeatable=True)
            except ExchangeError:
                break
            result.answered.append(request_id)
        pool.close()
        return result

    async def get_readiness(self, number):
        """Return the readiness status, or None without an answer."""
        try:
            answer = await self.call(
                number, "GET", "/-/readiness", port=self.ports.ready
            )
        except ExchangeError:
            return None
        return answer.status

    async def is_ready(self, number):
        return await self.get_readiness(number) == 200

    async def wait_listening(self, number):
        """Wait until the readiness endpoint answers with any status."""
        remaining_s = READY_TIMEOUT_S
        while await self.get_readiness(number) is None:
            await sleep(0.1)
            remaining_s -= 0.1
            assert remaining_s > 0, self.read_log(number)

    async def wait_ready(self, *numbers):
        remaining_s = READY_TIMEOUT_S
        for number in numbers:
            while not await self.is_ready(number):
                await sleep(0.1)
                remaining_s -= 0.1
                assert remaining_s > 0, self.read_log(number)


def find_free_ports():
    """Return free ports.

    They stay bound until all are found, so that they differ.
    """
    sockets = []
    for _ in range(6):
        free_socket = socket.socket()
        free_socket.bind(("127.0.0.2", 0))
        sockets.append(free_socket)
    ports = [free_socket.getsockname()[1] for free_socket in sockets]
    for free_socket in sockets:
        free_socket.close()
    return Ports(*ports)


@pytest.fixture
async def deployment(tmp_path):
    async with AsyncExitStack() as stack:
        store = StoreDouble()
        created = Deployment(
            stack,
            tmp_path,
            store,
            serve_store(stack, store),
            find_free_ports(),
        )
        store.put("config", "main", build_config(3, [KEY]))
        for name in ("i-1", "i-2"):
            server = ServerDouble(name)
            created.servers[name] = server
            address = serve_server(stack, server)
            store.put("servers", name, build_server(address))
        yield created


@pytest.fixture
async def instance(deployment):
    deployment.start(1)
    await deployment.wait_ready(1)
    return deployment
