"""Invariants that are checked after the load of the demo."""

from collections import Counter
from dataclasses import dataclass

from gypsummount._core.keys import KEY_PATTERN
from gypsummount._demo.fleet import Fleet
from gypsummount._demo.rules import BURST_S
from gypsummount._demo.rules import WORKSPACE_RATES


@dataclass(slots=True, frozen=True)
class CheckResult:
    """Result of a check, with the counts behind it."""

    name: str
    passed: bool
    detail: str


def check_fleet(
    fleet: Fleet, started_at: float, ended_at: float
) -> list[CheckResult]:
    """Check the invariants against the requests that upstreams recorded.

    The load lasted from ``started_at`` to ``ended_at`` (monotonic seconds).
    The ``runs`` of an upstream are all requests that reached it, including
    those that it refused.
    """
    return [
        _check_single_runs(fleet),
        _check_slots(fleet),
        _check_no_keys(fleet),
        _check_rates(fleet, started_at, ended_at),
    ]


def _check_single_runs(fleet: Fleet) -> CheckResult:
    counts = Counter(
        run.idempotency_key
        for upstream in fleet.upstreams
        for run in upstream.runs
        if run.idempotency_key
    )
    repeated = [key for key, count in counts.items() if count > 1]
    return CheckResult(
        "each booking ran at most once",
        not repeated,
        f"{len(counts)} keys, {len(repeated)} doubled",
    )


def _check_slots(fleet: Fleet) -> CheckResult:
    exceeding = [
        upstream.server
        for upstream in fleet.upstreams
        if upstream.max_in_flight > upstream.slots
    ]
    return CheckResult(
        "no upstream ran more than its slots",
        not exceeding,
        f"{len(fleet.upstreams)} upstreams, {len(exceeding)} over",
    )


def _check_no_keys(fleet: Fleet) -> CheckResult:
    seen = sum(
        1
        for upstream in fleet.upstreams
        for line in upstream.headers_seen
        if KEY_PATTERN.search(line)
    )
    return CheckResult(
        "no upstream saw a key", seen == 0, f"{seen} requests with a key"
    )


def _check_rates(
    fleet: Fleet, started_at: float, ended_at: float
) -> CheckResult:
    counts = Counter(
        run.workspace for upstream in fleet.upstreams for run in upstream.runs
    )
    exceeding = []
    for workspace, rate in WORKSPACE_RATES.items():
        allowed = rate * (ended_at - started_at + BURST_S)
        # The rate limits admitted requests.  Entries repeat an admitted
        # request in retries and hedged requests without counting it again;
        # the 10 % and 20 requests allow for that.
        if counts[workspace] > allowed * 1.1 + 20:
            exceeding.append(workspace)
    return CheckResult(
        "no workspace ran more than its rate and burst",
        not exceeding,
        f"{sum(counts.values())} runs, over: {', '.join(exceeding) or 'none'}",
    )
