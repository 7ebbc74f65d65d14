"""Starts the edge processes of a small deployment on loopback addresses."""

import asyncio
from contextlib import AsyncExitStack
from json import dumps
import os
from pathlib import Path
from random import randint
import signal
import socket
import subprocess
from tempfile import TemporaryDirectory
import tomllib

from review.standins2.client import HOST
from review.standins2.client import KEY
from review.standins2.http import build_message
from review.standins2.http import read_message
from review.standins2.record import Record

ROOT = Path(__file__).resolve().parents[2]
PORT_NAMES = ("front", "ready", "control", "directory", "internal")
READY_TIMEOUT_S = 20.0
READY_PERIOD_S = 0.1
STOP_TIMEOUT_S = 8.0
# As on the sheet of the smallest deployment.
BOUNDS = {
    "seedLagS": 3,
    "stabilityWindowS": 4,
    "drainS": 2.5,
    "graceS": 6,
    "configApplyS": 2.5,
    "revokeS": 5,
    "evacuationS": 5,
    "recoveryS": 15,
    "ttl_max_s": 5,
}
MEMORY_MB = 300
SERVICE = "huvo11a"
UPLOAD_PREFIX = "/fiti832/ti23/"
UNSAFE_PREFIX = "/xapu221/ny95/"
SAFE_PREFIX = "/lepu270/"
PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")


def build_config(
    version: int, tenants: list[dict] | None = None, timeout_s: float = 1.2
) -> dict:
    """Return a configuration with a safe, an unsafe and an upload route.

    Without ``tenants`` it has one, which holds :data:`KEY`.
    """
    kinds = {
        "safe": SAFE_PREFIX,
        "unsafe": UNSAFE_PREFIX,
        "upload": UPLOAD_PREFIX,
    }
    rules = [
        {
            "name": f"r-{kind}",
            "kind": kind,
            "targetLatencyS": 0.3,
            "priority": 1,
            "public": False,
            "sticky": True,
            "match": {"pathPrefix": prefix},
            "action": {
                "service": SERVICE,
                "timeoutS": timeout_s,
                "attempts": 2,
                "homeRegions": [],
            },
        }
        for kind, prefix in kinds.items()
    ]
    return {
        "version": version,
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "tenants": [build_tenant([KEY])] if tenants is None else tenants,
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "connectionLimit": 330,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 24.0,
            }
        ],
    }


def build_tenant(keys: list[str]) -> dict:
    """Return the tenant of a configuration, with the keys that it holds."""
    return {
        "name": "yefi830",
        "apiKeys": keys,
        "priority": 0,
        "requestsPerS": 394,
        "burst": 394,
        "homeRegions": [],
    }


class Edge:
    """One machine with its edge process."""

    def __init__(self, path: Path, host: str, ports: dict[str, int]) -> None:
        self.host = host
        self.front = f"{host}:{ports['front']}"
        self._ready_port = ports["ready"]
        self._path = path
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["GYPSUMMOUNT_BOOT"] = str(self._path)
        log = self._path.with_suffix(".log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def kill(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def read_log(self) -> str:
        """Return what the process has logged so far."""
        return self._path.with_suffix(".log").read_text(errors="replace")

    async def wait_ready(self) -> None:
        """Wait until readiness is answered with 200.

        :raises TimeoutError: if it is not within :data:`READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(READY_PERIOD_S)

    async def is_ready(self) -> bool:
        """Tell whether readiness is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._ready_port
            )
        except OSError:
            return False
        try:
            head = build_message(
                b"GET /-/readiness HTTP/1.1", {"Host": self.host}
            )
            writer.write(head)
            async with asyncio.timeout(1.0):
                answer = await read_message(reader, is_answer=True)
        except (EOFError, OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return answer.status == 200

    def end(self) -> None:
        """End the process if it runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()


class Deployment:
    """Edges in the zones of one or more regions; one machine a zone."""

    def __init__(
        self, stack: AsyncExitStack, store: str, record: Record
    ) -> None:
        folder = TemporaryDirectory(prefix="review-")
        self._folder = Path(stack.enter_context(folder))
        self._store = store
        self._record = record
        self._stack = stack
        # An own part of the loopback range, as all machines use one port.
        self._net = f"127.{randint(20, 250)}.{randint(1, 250)}"
        self._ports = _find_ports(f"{self._net}.1")
        self.edges: list[Edge] = []

    def add_edges(
        self,
        regions: dict[str, str],
        seeds: int = 3,
        *,
        stores: dict[str, str] | None = None,
        is_starting: bool = True,
    ) -> None:
        """Add one edge in each zone, and start them if ``is_starting``.

        ``regions`` has the region of each zone.  The first ``seeds`` edges
        are the seeds of all.  ``stores`` has the store's address as each
        region reaches it, if they differ.
        """
        hosts = [f"{self._net}.{index + 1}" for index in range(len(regions))]
        for zone, host in zip(regions, hosts, strict=True):
            path = self._folder / f"{zone}.json"
            settings = self._build_settings(zone, host, hosts[:seeds], regions)
            if stores is not None:
                settings["platform"]["address"] = stores[regions[zone]]
            path.write_text(dumps(settings))
            edge = Edge(path, host, self._ports)
            self._stack.callback(edge.end)
            self.edges.append(edge)
            if is_starting:
                edge.start()

    def _build_settings(
        self,
        zone: str,
        host: str,
        seeds: list[str],
        regions: dict[str, str],
    ) -> dict:
        ports = self._ports
        return {
            "node": f"front-{zone}-1",
            "role": "edge",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": zone,
            "region": regions[zone],
            "zones": regions,
            "listen": {
                name: f"{host}:{ports[name]}" for name in PORT_NAMES[:4]
            },
            "internalPorts": [ports["internal"], ports["internal"]],
            "seeds": [f"{host}:{ports['control']}" for host in seeds],
            "firstStart": True,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": MEMORY_MB,
                "fileDescriptors": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDirectory": None,
            "heartbeatS": 1.5,
            "bounds": [
                "strictRevocation=true",
                *(f"{name}={value}" for name, value in BOUNDS.items()),
            ],
            "platform": {"address": self._store, "form": "objects"},
        }


def _find_ports(host: str) -> dict[str, int]:
    """Return free ports; they stay bound until all are found."""
    sockets = []
    for _ in PORT_NAMES:
        found = socket.socket()
        found.bind((host, 0))
        sockets.append(found)
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return dict(zip(PORT_NAMES, ports, strict=True))
