"""Measures the marginal costs that docs/CAPACITY.md is based on."""

from collections.abc import Callable
from dataclasses import dataclass
import gc
import sys
from time import process_time
import tracemalloc

from gypsummount._agent.documents import decode_ledger
from gypsummount._agent.documents import encode_ledger
from gypsummount._common.metrics import Metrics
from gypsummount._common.metrics import Series
from gypsummount._common.peer_messages import pack_key
from gypsummount._common.peer_messages import pack_member
from gypsummount._common.peer_messages import unpack_member
from gypsummount._config.parser import load_rules
from gypsummount._core.amounts import Amount
from gypsummount._core.canary_analysis import FleetAnalyser
from gypsummount._core.charts import load_chart
from gypsummount._core.health import UpstreamHealth
from gypsummount._core.keys import create_key
from gypsummount._core.keys import KeyTable
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import Ledger
from gypsummount._core.lookups import CallerLocation
from gypsummount._core.lookups import rank_entries
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member
from gypsummount._core.membership import ServiceLoad
from gypsummount._core.outcomes import OutcomeTable
from gypsummount._core.outcomes import RequestKey
from gypsummount._core.shares import RateShare
from gypsummount._entry.connections import ConnectionPool

SMALL_SIZE = 200
LARGE_SIZE = 1000
REPEATS = 3
SERVICE_COUNT = 3
US_PER_S = 1e6
PEPPER = b"p" * 16


@dataclass(slots=True, frozen=True)
class MarginalCost:
    """Marginal cost of one more element; None where not measured."""

    name: str
    cpu_us: float | None = None
    wire_bytes: float | None = None
    memory_bytes: float | None = None


def measure_cpu(build: Callable[[int], Callable[[], object]]) -> float:
    """Return the processor time (microseconds) per further element."""
    times_s = [_time_action(build(size)) for size in (SMALL_SIZE, LARGE_SIZE)]
    return (times_s[1] - times_s[0]) / (LARGE_SIZE - SMALL_SIZE) * US_PER_S


def measure_memory(build: Callable[[int], object]) -> float:
    """Return the memory (bytes) per further element."""
    sizes = []
    for size in (SMALL_SIZE, LARGE_SIZE):
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (sizes[1] - sizes[0]) / (LARGE_SIZE - SMALL_SIZE)


def measure_bytes(build: Callable[[int], bytes]) -> float:
    """Return the encoded size (bytes) per further element."""
    sizes = [len(build(size)) for size in (SMALL_SIZE, LARGE_SIZE)]
    return (sizes[1] - sizes[0]) / (LARGE_SIZE - SMALL_SIZE)


def _time_action(action: Callable[[], object]) -> float:
    best_s = float("inf")
    for _ in range(REPEATS):
        began = process_time()
        action()
        best_s = min(best_s, process_time() - began)
    return best_s


def create_members(count: int) -> list[Member]:
    """Return fleet members with one entry process each.

    They are spread over at most 93 failure domains and 42 regions.
    """
    return [_create_member(index) for index in range(count)]


def _create_member(index: int) -> Member:
    loads = tuple(
        ServiceLoad(f"service-{number}", 20, 30)
        for number in range(SERVICE_COUNT)
    )
    entry = EntryInfo(
        f"instance-{index}/10.0.0.1:8080",
        f"0123456789ab.{index}",
        f"10.0.{index % 250}.1:8080",
        f"10.0.{index % 250}.1:8081",
        "serving",
        loads,
    )
    return Member(
        f"instance-{index}",
        f"0123456789{index}",
        1_000_000 + index,
        100_000,
        f"domain-{index % 93}",
        f"region-{index % 42}",
        f"10.0.{index % 250}.1:8082",
        "serving",
        entries=(entry,),
    )


def build_workspace_rules(count: int) -> str:
    """Return a rule file with ``count`` workspaces."""
    lines = ["domain a region=r # t", "service s timeout_ms=500 # t"]
    lines += [
        f"workspace workspace-{index} rate=100 burst=50 # ana@example"
        for index in range(count)
    ]
    return "\n".join(lines) + "\n"


def build_pool_rules(count: int) -> str:
    """Return a rule file with ``count`` pools of two servers each."""
    lines = ["domain a region=r # t", "service s timeout_ms=500 # t"]
    lines += [
        f"pool s domain=a version=v{index} servers=10.0.{index // 250}."
        f"{index % 250 + 1}:80,10.1.{index // 250}.{index % 250 + 1}:80 "
        "slots=9 # ana@example"
        for index in range(count)
    ]
    return "\n".join(lines) + "\n"


def create_ledger(budgets: int, holders: int = 8) -> Ledger:
    """Return a ledger of workspace rates, distributed to its holders."""
    ledger = Ledger("workspaces", seq=1)
    totals = {
        f"workspace:workspace-{index}": Amount(100, 50)
        for index in range(budgets)
    }
    ledger.set_totals(BudgetKind.RATE, totals, 1)
    for index in range(holders):
        name = f"0123456789{index:02}"
        ledger.join(Holder(name, f"instance-{index}", f"instance-{index}/p"))
    ledger.distribute()
    return ledger


def build_gossip_exchange(count: int) -> Callable[[], object]:
    """Return a function that does one peer's work in a gossip exchange."""
    members = create_members(count)

    def work() -> object:
        packed = [pack_member(member) for member in members]
        texts = [message.SerializeToString() for message in packed]
        for message in packed:
            unpack_member(message)
        return texts

    return work


def build_ledger_update(count: int) -> Callable[[], object]:
    """Return a function that does one round of a ledger's update.

    In each round the ledger is distributed, written and read.
    """
    ledger = create_ledger(count)

    def work() -> object:
        next_ledger = ledger.copy()
        next_ledger.distribute()
        return decode_ledger("workspaces", encode_ledger(next_ledger))

    return work


def fill_outcomes(count: int) -> OutcomeTable:
    """Return a table with ``count`` idempotency keys in progress."""
    table = OutcomeTable("0123456789ab", 0.0)
    token = table.issue_token(0.0)
    for index in range(count):
        key = RequestKey("workspace", f"{index:016x}@{token}")
        table.begin(key, token, b"f" * 16, 0.0)
    return table


def fill_metrics(count: int) -> Metrics:
    """Return metrics with ``count`` latency series."""
    metrics = Metrics(None, "p")
    for index in range(count):
        metrics.record(Series(f"workspace-{index}", "/r"), 0.01)
    return metrics


def create_keys(count: int) -> KeyTable:
    """Return a table with ``count`` API keys."""
    records = [
        create_key(f"workspace-{index}", PEPPER, asked_by="t", ends_at=0)
        for index in range(count)
    ]
    return KeyTable(PEPPER, 1, [granted.record for granted in records])


def time_lookup() -> float:
    """Return the time (microseconds) to rank 46 members for a look-up."""
    members = create_members(46)
    place = CallerLocation("domain-1", "region-1")
    count = 50

    def work() -> None:
        for _ in range(count):
            rank_entries(members, "workspace-1", place)

    return _time_action(work) / count * US_PER_S


def measure_costs() -> list[MarginalCost]:
    """Measure and return every marginal cost."""
    # The first use reads the state machine's definition from disk; that is
    # no cost per upstream.
    load_chart("upstream")
    key = create_key("workspace-1", PEPPER, asked_by="ana", ends_at=0)
    return [
        MarginalCost(
            "member of gossip, per exchange",
            measure_cpu(build_gossip_exchange),
            measure_bytes(
                lambda size: b"".join(build_gossip_exchange(size)()),
            ),
            measure_memory(create_members),
        ),
        MarginalCost(
            "workspace in the rules",
            measure_cpu(
                lambda size: lambda: load_rules(build_workspace_rules(size))
            ),
            measure_bytes(lambda size: build_workspace_rules(size).encode()),
            measure_memory(
                lambda size: load_rules(build_workspace_rules(size))
            ),
        ),
        MarginalCost(
            "site (pool of 2 servers) in the rules",
            measure_cpu(
                lambda size: lambda: load_rules(build_pool_rules(size))
            ),
            measure_bytes(lambda size: build_pool_rules(size).encode()),
            measure_memory(lambda size: load_rules(build_pool_rules(size))),
        ),
        MarginalCost(
            "budget in a ledger of 8 holders, per round",
            measure_cpu(build_ledger_update),
            measure_bytes(lambda size: encode_ledger(create_ledger(size))),
            measure_memory(create_ledger),
        ),
        MarginalCost(
            "share at a holder",
            None,
            None,
            measure_memory(
                lambda size: [
                    RateShare(f"workspace:w{index}", "h", 0.0)
                    for index in range(size)
                ]
            ),
        ),
        MarginalCost(
            "upstream at an entry (health and pool)",
            None,
            None,
            measure_memory(
                lambda size: [
                    (
                        UpstreamHealth(0.0, cold=False),
                        ConnectionPool(f"10.0.0.{index}:80"),
                    )
                    for index in range(size)
                ]
            ),
        ),
        MarginalCost(
            "key",
            None,
            float(len(pack_key(key.record).SerializeToString())),
            measure_memory(create_keys),
        ),
        MarginalCost(
            "idempotency key without its answer",
            None,
            None,
            measure_memory(fill_outcomes),
        ),
        MarginalCost(
            "latency series",
            None,
            None,
            measure_memory(fill_metrics),
        ),
        MarginalCost(
            "rollout's canary analyser",
            None,
            None,
            measure_memory(
                lambda size: [
                    FleetAnalyser(f"rollout-{index}", 1)
                    for index in range(size)
                ]
            ),
        ),
        MarginalCost("look-up ranked anew, 46 members", time_lookup()),
    ]


def format_cell(value: float | None) -> str:
    """Return a figure as text, or "not measured" for None."""
    return "not measured" if value is None else f"{value:,.1f}"


def main() -> int:
    """Print the marginal costs as a Markdown table."""
    print("| one more … | CPU, us | wire, bytes | memory, bytes |")
    print("| --- | --: | --: | --: |")
    for cost in measure_costs():
        cells = (cost.cpu_us, cost.wire_bytes, cost.memory_bytes)
        row = " | ".join(format_cell(cell) for cell in cells)
        print(f"| {cost.name} | {row} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
