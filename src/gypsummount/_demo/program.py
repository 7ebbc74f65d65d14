"""The demo: a load during a key withdrawal and two rollouts, one bad."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from contextlib import AsyncExitStack
from random import Random

from typer import echo

from gypsummount._cli.tables import format_table
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import configure_logs
from gypsummount._demo.checks import check_fleet
from gypsummount._demo.checks import CheckResult
from gypsummount._demo.fleet import apply_rules
from gypsummount._demo.fleet import Fleet
from gypsummount._demo.fleet import Ports
from gypsummount._demo.fleet import start_fleet
from gypsummount._demo.rules import build_rules_text
from gypsummount._demo.rules import WORKSPACE_RATES
from gypsummount._load.caller import Call
from gypsummount._load.caller import Caller
from gypsummount._load.report import LoadReport
from gypsummount._load.workload import RequestStream
from gypsummount._load.workload import WeightedCall
from gypsummount._load.workload import Workload

CALLERS_PER_WORKSPACE = 3
OFFERED_RATE_FRACTION = 0.7
OVER_RATE_WORKSPACE = "valle-grande"
OVER_RATE_FACTOR = 3.0
SETTLE_TIME_S = 3.0
WITHDRAWAL_TIMEOUT_S = 5.0
GOOD_ROLLOUT = "rondas-v2"
BAD_ROLLOUT = "reservas-v2"
MAX_BAD_VERSION_FRACTION = 0.1
ROLLOUT_TIMEOUT_S = 22.0

MIX = (
    WeightedCall(Call("rondas", "GET", "/rondas/hoy"), 0.7),
    WeightedCall(
        Call("reservas", "POST", "/reservas", b"b", repeatable=False), 0.2
    ),
    WeightedCall(
        Call("fotos", "POST", "/fotos", b"p" * 20_000, repeatable=False), 0.1
    ),
)


async def run_demo(seed: int, load_s: float) -> int:
    """Run the demo; return 0 if all checks passed and 1 if not."""
    configure_logs("error", "demo")
    async with AsyncExitStack() as stack:
        ports = Ports()
        rules_text = build_rules_text(ports.reserve)
        echo(f"Starting 8 entries and 8 agents (seed {seed}).")
        fleet = await start_fleet(stack, rules_text, ports, seed)
        await sleep(0.5)
        serial = await apply_rules(fleet)
        await fleet.wait_ready(serial)
        await sleep(SETTLE_TIME_S)
        demo_run = _DemoRun(fleet, seed, load_s)
        return await demo_run.execute(stack)


class _DemoRun:
    def __init__(self, fleet: Fleet, seed: int, load_s: float) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        self._load_s = load_s
        self._report = LoadReport()
        self._workload = Workload(self._report, self._random)
        self._results: list[CheckResult] = []
        self._operations = fleet.instances[0].agent.operations

    async def execute(self, stack: AsyncExitStack) -> int:
        callers = await self._create_callers(stack)
        started_at = read_monotonic()
        loads = [
            create_task(
                self._workload.run(
                    _build_stream(workspace, rate),
                    callers[workspace],
                    self._load_s,
                )
            )
            for workspace, rate in WORKSPACE_RATES.items()
        ]
        progress = create_task(self._show_progress(started_at))
        await gather(*loads, self._run_rollouts(), self._withdraw_key(stack))
        progress.cancel()
        ended_at = read_monotonic()
        self._results += check_fleet(self._fleet, started_at, ended_at)
        return self._print_results()

    async def _create_callers(
        self, stack: AsyncExitStack
    ) -> dict[str, list[Caller]]:
        callers: dict[str, list[Caller]] = {}
        for workspace in WORKSPACE_RATES:
            granted = await self._operations.grant_key(workspace, "demo", 0)
            callers[workspace] = [
                self._create_caller(stack, granted.key)
                for _ in range(CALLERS_PER_WORKSPACE)
            ]
        await sleep(1.0)
        return callers

    def _create_caller(self, stack: AsyncExitStack, key: str) -> Caller:
        entries = [instance.listen for instance in self._fleet.instances]
        self._random.shuffle(entries)
        caller = Caller(key, entries, self._random)
        stack.callback(caller.close)
        return caller

    async def _withdraw_key(self, stack: AsyncExitStack) -> None:
        granted = await self._operations.grant_key("zarcero", "demo", 0)
        await sleep(1.5)
        caller = self._create_caller(stack, granted.key)
        call = Call("rondas", "GET", "/rondas/llave", retries=0)
        before = await caller.call(call)
        await self._operations.withdraw_key(granted.record.key_id)
        withdrawn_at = read_monotonic()
        after = await caller.call(call)
        while after.code != "key_refused":
            if read_monotonic() - withdrawn_at > WITHDRAWAL_TIMEOUT_S:
                break
            await sleep(0.05)
            after = await caller.call(call)
        delay_s = read_monotonic() - withdrawn_at
        self._results.append(
            CheckResult(
                "a withdrawn key stopped on an open connection",
                before.is_good and after.code == "key_refused",
                f"after {delay_s:.2f} s",
            )
        )

    async def _run_rollouts(self) -> None:
        for upstream in self._fleet.upstreams:
            is_bad = upstream.version == "v2" and self._is_in_pool(
                upstream.server, "reservas"
            )
            if is_bad:
                upstream.switches.error_share = 0.8
        await self._operations.start_rollout(GOOD_ROLLOUT)
        await self._operations.start_rollout(BAD_ROLLOUT)
        phases = await self._wait_for_rollouts()
        self._results.append(
            CheckResult(
                "the good version was moved to",
                phases[GOOD_ROLLOUT] == "finished",
                f"{GOOD_ROLLOUT} is {phases[GOOD_ROLLOUT]}",
            )
        )
        self._results.append(self._check_bad_version(phases[BAD_ROLLOUT]))

    def _is_in_pool(self, server: str, service: str) -> bool:
        rules = self._fleet.instances[0].agent.state.rules
        return any(
            server in pool.servers and pool.service == service
            for pool in rules.pools.values()
        )

    async def _wait_for_rollouts(self) -> dict[str, str]:
        rollouts = self._fleet.instances[0].agent.state.rollouts.by_name
        deadline = read_monotonic() + ROLLOUT_TIMEOUT_S
        while read_monotonic() < deadline:
            phases = {
                name: rollout.state.phase for name, rollout in rollouts.items()
            }
            if "moving" not in phases.values():
                break
            await sleep(0.1)
        return phases

    def _check_bad_version(self, phase: str) -> CheckResult:
        counts = {"v1": 0, "v2": 0}
        for upstream in self._fleet.upstreams:
            if self._is_in_pool(upstream.server, "reservas"):
                counts[upstream.version] += len(upstream.runs)
        total = max(1, sum(counts.values()))
        fraction = counts["v2"] / total
        return CheckResult(
            "the bad version was taken back and got a small share",
            phase == "taken-back" and fraction <= MAX_BAD_VERSION_FRACTION,
            f"{BAD_ROLLOUT} is {phase}, share {fraction:.3f}",
        )

    async def _show_progress(self, started_at: float) -> None:
        while True:
            await sleep(2.0)
            elapsed_s = read_monotonic() - started_at
            echo(f"{elapsed_s:5.1f} s  {self._report.good} good answers")

    def _print_results(self) -> int:
        rows = []
        for workspace, tally in self._report.tallies.items():
            rows.append(
                (
                    workspace,
                    WORKSPACE_RATES[workspace],
                    tally.good,
                    tally.get_percentile(50),
                    tally.get_percentile(99),
                    _format_refused_within_rate(workspace, tally.rate_refused),
                    tally.not_run,
                    tally.unknown,
                    tally.failed,
                )
            )
        header = (
            "workspace",
            "rate",
            "good",
            "p50 ms",
            "p99 ms",
            "refused within rate",
            "not-run",
            "unknown",
            "failed",
        )
        echo(format_table(header, rows))
        for result in self._results:
            mark = "ok  " if result.passed else "FAIL"
            echo(f"{mark} {result.name} ({result.detail})")
        return 0 if all(result.passed for result in self._results) else 1


def _build_stream(workspace: str, rate: float) -> RequestStream:
    factor = (
        OVER_RATE_FACTOR
        if workspace == OVER_RATE_WORKSPACE
        else OFFERED_RATE_FRACTION
    )
    return RequestStream(workspace, rate * factor, MIX)


def _format_refused_within_rate(workspace: str, refused: int) -> object:
    return "over rate" if workspace == OVER_RATE_WORKSPACE else refused
