"""Programs that one test has started, and the files of their output."""

from asyncio import create_subprocess_exec
from asyncio import TimeoutError as WaitTimeout
from asyncio import wait_for
from asyncio.subprocess import Process
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
from signal import SIGCONT
from signal import SIGKILL
import sys

PEPPER = "pepper-of-the-process-tests"
TOKEN = "operator-token-of-the-tests"
EXIT_TIMEOUT_S = 10.0
BIN = Path(sys.executable).parent


@dataclass(slots=True)
class RunningProcess:
    """A started process and the file that captures its output."""

    name: str
    process: Process
    output: Path

    @property
    def is_alive(self) -> bool:
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        return await wait_for(self.process.wait(), timeout_s)


@dataclass(slots=True)
class Programs:
    """The started programs; ``folder`` has a log file of each."""

    folder: Path
    running: list[RunningProcess] = field(default_factory=list)

    async def start(
        self, name: str, program: str, *args: str
    ) -> RunningProcess:
        """Start a program; ``name`` is only that of its log file."""
        output = self.folder / f"{name}-{len(self.running)}.log"
        environment = dict(
            os.environ,
            GYPSUMMOUNT_PEPPER=PEPPER,
            GYPSUMMOUNT_OPERATOR_TOKEN=TOKEN,
        )
        with output.open("wb") as file:
            process = await create_subprocess_exec(
                str(BIN / f"gypsummount-{program}"),
                *args,
                stdout=file,
                stderr=file,
                env=environment,
            )
        running = RunningProcess(name, process, output)
        self.running.append(running)
        return running

    def list_exited(self) -> list[str]:
        return [
            running.name for running in self.running if not running.is_alive
        ]

    def read_output(self) -> str:
        """Return the output of all programs."""
        return "".join(
            running.output.read_text(encoding="utf-8", errors="replace")
            for running in self.running
        )

    async def close(self) -> None:
        """Kill the programs that still run, and wait until all have ended."""
        for running in self.running:
            if running.is_alive:
                with suppress(ProcessLookupError):
                    running.signal(SIGCONT)  # a test may have paused it
                    running.signal(SIGKILL)
        for running in self.running:
            with suppress(WaitTimeout):
                await running.wait(EXIT_TIMEOUT_S)
