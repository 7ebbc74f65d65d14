"""Open-loop load: requests start on schedule, whatever is in flight."""

from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from asyncio import wait
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._load.caller import Call
from gypsummount._load.caller import Caller
from gypsummount._load.report import LoadReport

MAX_IN_FLIGHT = 400


@dataclass(slots=True, frozen=True)
class WeightedCall:
    """A call and its weight among the calls of a stream."""

    call: Call
    weight: float


@dataclass(slots=True, frozen=True)
class RequestStream:
    """Requests of one workspace, at a mean rate per second."""

    workspace: str
    rate: float
    mix: tuple[WeightedCall, ...]


class Workload:
    """Sends streams of requests with exponentially distributed gaps.

    ``skipped`` counts requests that were not sent because MAX_IN_FLIGHT
    others had no answer yet.
    """

    def __init__(self, report: LoadReport, random: Random) -> None:
        self._report = report
        self._random = random
        self._tasks: set[Task[None]] = set()
        self.skipped = 0

    async def run(
        self,
        stream: RequestStream,
        callers: Sequence[Caller],
        duration_s: float,
    ) -> None:
        """Send a stream for ``duration_s``; wait for the last answers."""
        next_at = read_monotonic()
        ends_at = next_at + duration_s
        calls = [mix.call for mix in stream.mix]
        weights = [mix.weight for mix in stream.mix]
        while next_at < ends_at:
            next_at += self._random.expovariate(stream.rate)
            await sleep(max(0.0, next_at - read_monotonic()))
            if len(self._tasks) >= MAX_IN_FLIGHT:
                self.skipped += 1
                continue
            caller = self._random.choice(callers)
            call = self._random.choices(calls, weights)[0]
            task = create_task(self._send(stream.workspace, caller, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await wait(set(self._tasks))

    async def _send(self, workspace: str, caller: Caller, call: Call) -> None:
        self._report.add(workspace, await caller.call(call))
