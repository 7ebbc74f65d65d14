"""Servers that fail part of the bookings that they run, with status 503.

Such an answer has no Gypsummount-Not-Executed, so the booking may have run.
Clients take a 503 for the promise that it has not, and send it once more.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from asyncio import StreamWriter
from collections import Counter
import os
from pathlib import Path
from random import Random
import sys
import traceback

from standins.clients import Attempt
from standins.clients import Client
from standins.deployment import build_config
from standins.deployment import build_rule
from standins.deployment import Deployment
from standins.deployment import HOST_NAME
from standins.deployment import KEY
from standins.deployment import Machine
from standins.http import build_answer
from standins.record import Record
from standins.servers import ID_HEADER
from standins.servers import Server

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVERS = 7
GREY_SERVERS = 1  # a share of .14
GREY_SHARE = 0.45  # of the requests of a grey server fail
SLOTS = 5
WORK_S = 0.1
TIMEOUT_S = 1.2
DEADLINE_S = 2.0
BOOKINGS = 400
BOOKINGS_PER_S = 40.0
RETRY_AFTER_S = 0.1  # a client's pause without a Retry-After
PROMISES = (408, 421, 429, 503)
SETTLE_S = 5.0


class GreyServer(Server):
    """A server that fails a share of what it runs while ``is_grey``."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, SLOTS, lambda: WORK_S, record)
        self.is_grey = False
        self._random = Random(name)

    async def write_answer(
        self, request_id: str, writer: StreamWriter
    ) -> None:
        """Write the good answer, or a failure after the run."""
        if not self.is_grey or self._random.random() >= GREY_SHARE:
            await super().write_answer(request_id, writer)
            return
        headers = {
            ID_HEADER: request_id,
            "Gypsummount-Server-Stamp": f"stamp-{self.name}-{request_id}",
        }
        writer.write(build_answer(503, headers, b"the database is away"))
        await writer.drain()


async def book(
    deployment: Deployment, machine: Machine, number: int
) -> list[Attempt]:
    """Send a booking, and once more after a promise that it has not run."""
    attempts = []
    for count in range(2):
        client = Client(
            deployment.record,
            machine.name,
            machine.host,
            deployment.ports.front,
            {"Host": HOST_NAME, "Api-Key": KEY},
        )
        await client.connect()
        attempts.append(
            await client.send(
                "POST", "/book/x", f"booking-{number}/{count}", DEADLINE_S
            )
        )
        client.close()
        if attempts[-1].status not in PROMISES:
            break
        await sleep(RETRY_AFTER_S)
    return attempts


async def play(record: Record, *, trouble: bool) -> int:
    """Run the case; return its exit code."""
    rules = [build_rule("unsafe", "/book/", "reservas", TIMEOUT_S)]
    config = build_config(rules, ["reservas"])
    async with Deployment(record, config, machines=2) as deployment:
        for number in range(SERVERS):
            server = GreyServer(f"i-{number}", record)
            server.is_grey = trouble and number < GREY_SERVERS
            await deployment.add_server(server, "reservas")
        await deployment.start_machines()
        await sleep(SETTLE_S)
        bookings = []
        for number in range(BOOKINGS):
            machine = deployment.machines[number % 2]
            bookings.append(create_task(book(deployment, machine, number)))
            await sleep(1 / BOOKINGS_PER_S)
        attempts = sum(await gather(*bookings), [])
        return judge(record, deployment.servers, attempts)


def judge(
    record: Record, servers: list[Server], attempts: list[Attempt]
) -> int:
    """Write the verdict on REFUSED and return the exit code."""
    runs = Counter(run.request_id for each in servers for run in each.runs)
    refused = [
        attempt
        for attempt in attempts
        if attempt.status in PROMISES and runs[attempt.request_id]
    ]
    for attempt in refused:
        record.write(
            f"REFUSED: {attempt.request_id} has run and was answered "
            f"{attempt.status}"
        )
    bookings = Counter(
        request_id.partition("/")[0] for request_id in runs.elements()
    )
    twice = sum(count > 1 for count in bookings.values())
    good = sum(attempt.status == 200 for attempt in attempts)
    record.write(
        f"{len(attempts)} attempts, {good} served, {len(refused)} refused "
        f"though they had run, {twice} bookings ran twice"
    )
    if not good:
        return NOT_RUN
    return BROKEN if refused else HELD


def main() -> int:
    """Run the case; the exit code tells its result."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return run(play(record, trouble=os.environ.get("TROUBLE") != "0"))
    except Exception:
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
