"""Trials in which an instance is stopped under load."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from random import Random
from signal import SIGHUP
from signal import SIGTERM
import socket

from gypsummount._common.clocks import read_monotonic
from tests.common.pooled_callers import list_lost
from tests.common.pooled_callers import PooledCaller
from tests.platform.conftest import KEY
from tests.platform.doubles import build_config
from tests.platform.doubles import build_server
from tests.platform.heads import build_head
from tests.platform.test_client_limits import CROWDS

CALLERS = 30
CONNECTIONS = 8
TIMEOUT_S = 2.5
DEADLINE_MS = 2500
LONGEST_RUN_S = 2.2
MAX_PAUSE_S = 1.5
# Servers count as cold for this time (s) after they are first seen.
COLD_S = 3.5
GRACE_S = 6.0
# Wasteful clients of each kind.
WASTEFUL_CLIENTS = 3
# Time under load before the stop (s).
LEAD_S = 0.5
# Time from a restore of the store until lost writes are repeated (s).
REPEAT_S = 1.0


class StopTrial:
    """Callers, upstreams and one instance that is stopped under load."""

    def __init__(self, instance, seed):
        self.instance = instance
        self.random = Random(seed)
        self.callers = []
        self.process = instance.processes[1]
        self.copy = instance.store.copy()
        self.wasteful = []

    async def prepare(self):
        instance = self.instance
        for server in instance.servers.values():
            server.max_delay_s = LONGEST_RUN_S
        self._write_records()
        await sleep(COLD_S)
        address = ("127.0.0.2", instance.ports.front)
        for number in range(CALLERS):
            caller = PooledCaller(
                f"c{number}",
                address,
                lambda request_id, framing: build_head(
                    request_id, DEADLINE_MS, framing
                ),
                Random(self.random.random()),
            )
            await caller.connect(CONNECTIONS)
            self.callers.append(caller)

    def _write_records(self):
        store = self.instance.store
        for name in self.instance.servers:
            stored = store.objects["servers"][name]["specification"]
            server = build_server(stored["address"], slots=100)
            store.put("servers", name, server)
        store.put("config", "main", build_config(4, [KEY], TIMEOUT_S))

    async def run(self, disturbances=()):
        """Stop the instance under load; return the time until it ended.

        Each disturbance happens at a random time of the stop.
        """
        tasks = [
            create_task(caller.run(MAX_PAUSE_S)) for caller in self.callers
        ]
        tasks += [
            create_task(self._disturb(disturbance))
            for disturbance in disturbances
        ]
        await sleep(LEAD_S)
        began = read_monotonic()
        self.process.send_signal(SIGTERM)
        while self.process.poll() is None:
            await sleep(0.02)
        took_s = read_monotonic() - began
        await gather(*tasks)
        for client in self.wasteful:
            client.close()
        return took_s

    async def _disturb(self, disturbance):
        await sleep(self.random.uniform(0.0, LEAD_S + GRACE_S))
        disturbance(self)

    def reload(self):
        if self.process.poll() is None:
            self.process.send_signal(SIGHUP)

    def stop_again(self):
        if self.process.poll() is None:
            self.process.send_signal(SIGTERM)

    def waste(self):
        """Send what wasteful clients of all kinds send, once."""
        for crowd in CROWDS.values():
            port = getattr(self.instance.ports, crowd.port)
            for _ in range(WASTEFUL_CLIENTS):
                client = socket.socket()
                self.wasteful.append(client)
                try:
                    client.connect(("127.0.0.2", port))
                    client.setblocking(False)
                    client.send(crowd.data())
                except OSError:
                    continue

    def lose_store(self):
        self.instance.store.is_down = True

    def restore_store(self):
        """Restore the copy from before the trial's own writes."""
        self.instance.store.restore(self.copy)
        get_running_loop().call_later(REPEAT_S, self._write_records)

    def fill_server(self):
        self._choose_server().behaviour = "full"

    def drain_server(self):
        store = self.instance.store
        name = self._choose_server().name
        specification = store.objects["servers"][name]["specification"]
        store.put("servers", name, {**specification, "state": "draining"})

    def _choose_server(self):
        return self.random.choice(list(self.instance.servers.values()))

    def list_lost(self):
        """Return the requests that ran, or were read, without an answer."""
        runs = {
            request_id
            for server in self.instance.servers.values()
            for request_id in server.runs
        }
        return list_lost(self.list_attempts(), runs)

    def list_attempts(self):
        return [
            attempt for caller in self.callers for attempt in caller.attempts
        ]
