"""A planned stop, and clients that still use connections to the machine.

Clients look the machine up, send one booking and keep the connection.  The
machine gets SIGTERM.  While the directory's answer is still valid for them,
each client sends one more booking over its connection.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from json import loads
from pathlib import Path
from random import Random
from signal import SIGTERM
import sys

from standins.clients import Attempt
from standins.clients import call
from standins.clients import Client
from standins.clients import CUT
from standins.deployment import build_config
from standins.deployment import build_rule
from standins.deployment import Deployment
from standins.deployment import GRACE_S
from standins.deployment import HOST_NAME
from standins.deployment import KEY
from standins.deployment import LOOKUP_TTL_FACTOR
from standins.deployment import Machine
from standins.program import BROKEN
from standins.program import HELD
from standins.program import NOT_RUN
from standins.program import run_case
from standins.record import Record
from standins.servers import Run
from standins.servers import Server

SERVERS = 8
SLOTS = 5
# Work of a booking at tdv-rondas: 360 ms on average, 1,080 ms at most.
MIN_WORK_S, MAX_WORK_S = 0.36, 1.08
TIMEOUT_S = 1.2
DEADLINE_S = 2.0
CLIENTS = 40
# When the clients send their second booking, after the SIGTERM (s).
FIRST_S, LAST_S = 2.6, 5.3
# Requests that were sent no later than this after the SIGTERM may be cut
# in the last sixth of the grace time.
EXCUSED_SENT_S = 3.0
PLANNED_S = GRACE_S + 1.0
SETTLE_S = 4.0


class Caller:
    """A client with its kept connection and the end of its directory data."""

    def __init__(self, client: Client, number: int) -> None:
        self.client = client
        self.number = number
        self.valid_until = 0.0


async def look_up(deployment: Deployment, machine: Machine) -> float:
    """Ask the directory; return for how long some clients keep the answer.

    :raises RuntimeError: when it does not name the machine.
    """
    target = f"/-/resolve?name={HOST_NAME}&region=central&zone=central-a"
    answer = await call(machine.host, deployment.ports.directory, target)
    document = loads(answer.body)
    address = f"{machine.host}:{deployment.ports.front}"
    if address not in document["addresses"]:
        raise RuntimeError("the directory does not name the machine")
    return document["ttlS"] * LOOKUP_TTL_FACTOR


async def prepare(
    deployment: Deployment, machine: Machine, number: int
) -> Caller:
    """Look the machine up, connect and send a first booking."""
    record = deployment.record
    headers = {"Host": HOST_NAME, "Api-Key": KEY}
    client = Client(
        record,
        machine.name,
        machine.host,
        deployment.ports.front,
        headers,
    )
    caller = Caller(client, number)
    caller.valid_until = record.now() + await look_up(deployment, machine)
    await client.connect()
    first = await client.send(
        "POST", "/book/x", f"first-{number}", DEADLINE_S, b"b" * 400
    )
    if first.status != 200:
        record.write(f"client {number} is not served at first")
    return caller


async def send_second(
    record: Record, caller: Caller, at: float
) -> Attempt | None:
    """Send the second booking at a time, if the machine may still be used."""
    await sleep(max(0.0, at - record.now()))
    if record.now() > caller.valid_until:
        return None
    request_id = f"second-{caller.number}"
    return await caller.client.send(
        "POST", "/book/x", request_id, DEADLINE_S, b"b" * 400
    )


def is_lost(attempt: Attempt, runs: list[Run], stopped_at: float) -> bool:
    """Tell whether an attempt breaks LOST, with the excuses of the rule.

    The servers of this case never break off, so a cut is the machine's.
    """
    waited_s = attempt.ended_at - attempt.sent_at
    if attempt.outcome != CUT or not runs:
        return False
    if attempt.sent_at > stopped_at + PLANNED_S:
        return False
    if waited_s >= min(DEADLINE_S, TIMEOUT_S):
        return False
    is_sent_early = attempt.sent_at <= stopped_at + EXCUSED_SENT_S
    is_cut_late = attempt.ended_at >= stopped_at + GRACE_S * 5 / 6
    return not (is_sent_early and is_cut_late)


async def play(record: Record, *, trouble: bool) -> int:
    """Run the case; return its exit code."""
    random = Random(28)
    rules = [build_rule("unsafe", "/book/", "reservas", TIMEOUT_S)]
    config = build_config(rules, ["reservas"])
    async with Deployment(record, config, machines=2) as deployment:
        for number in range(SERVERS):
            server = Server(
                f"i-{number}",
                SLOTS,
                lambda: random.uniform(MIN_WORK_S, MAX_WORK_S),
                record,
            )
            await deployment.add_server(server, "reservas")
        await deployment.start_machines()
        await sleep(SETTLE_S)
        machine = deployment.machines[0]
        callers = []
        for number in range(CLIENTS):
            callers.append(create_task(prepare(deployment, machine, number)))
            await sleep(0.02)
        callers = await gather(*callers)
        stopped_at = record.now()
        if trouble:
            deployment.send_signal(machine, SIGTERM)
            create_task(deployment.watch_end(machine))
        step_s = (LAST_S - FIRST_S) / CLIENTS
        attempts = await gather(
            *(
                send_second(record, caller, stopped_at + FIRST_S + n * step_s)
                for n, caller in enumerate(callers)
            )
        )
        return judge(record, deployment.servers, attempts, stopped_at)


def judge(
    record: Record,
    servers: list[Server],
    attempts: list[Attempt | None],
    stopped_at: float,
) -> int:
    """Write the verdict on LOST and return the exit code."""
    sent = [attempt for attempt in attempts if attempt is not None]
    lost = []
    for attempt in sent:
        runs = [
            run
            for server in servers
            for run in server.runs
            if run.request_id == attempt.request_id
        ]
        if is_lost(attempt, runs, stopped_at):
            lost.append(attempt)
            record.write(
                f"LOST: {attempt.request_id}, sent "
                f"{attempt.sent_at - stopped_at:.2f} s after the stop, ran "
                f"at {runs[0].server} and was cut "
                f"{attempt.ended_at - stopped_at:.2f} s after it"
            )
    good = sum(attempt.status == 200 for attempt in sent)
    record.write(f"{len(sent)} sent, {good} served, {len(lost)} lost")
    if not good:
        return NOT_RUN
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, Path(sys.argv[1])))
