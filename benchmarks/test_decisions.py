"""Cost and growth of the core's decisions, against baselines."""

from random import Random
from time import perf_counter

import pytest
from tornado.httputil import HTTPHeaders
from tornado.httputil import parse_request_start_line

from gypsummount._agent.documents import decode_ledger
from gypsummount._agent.documents import encode_ledger
from gypsummount._common.peer_messages import pack_member
from gypsummount._common.peer_messages import unpack_member
from gypsummount._config.parser import load_rules
from gypsummount._core.amounts import Amount
from gypsummount._core.balancing import Candidate
from gypsummount._core.balancing import TwoChoices
from gypsummount._core.canary_analysis import EvidenceBatch
from gypsummount._core.canary_analysis import RouteAnalyser
from gypsummount._core.keys import create_key
from gypsummount._core.keys import KeyTable
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import Ledger
from gypsummount._core.shares import RateShare
from tests.core.test_membership import create_member

REPEATS = 5
NOISE_FACTOR = 1.5


def time_best(action, count):
    """Return the seconds per call of the fastest repetition."""
    best_s = float("inf")
    for _ in range(REPEATS):
        began = perf_counter()
        for _ in range(count):
            action()
        best_s = min(best_s, perf_counter() - began)
    return best_s / count


def check_ratio(name, measured_s, baseline_s, max_ratio):
    ratio = measured_s / baseline_s
    print(
        f"{name}: {measured_s * 1e6:.1f} us, "
        f"baseline {baseline_s * 1e6:.1f} us, "
        f"ratio {ratio:.2f}, at most {max_ratio}"
    )
    assert ratio <= max_ratio


def create_rules(routes, workspaces):
    lines = ["domain a region=r # t", "service s timeout_ms=500 # t"]
    lines += [
        f"route /p{index} service=s repeatable=yes # t"
        for index in range(routes)
    ]
    lines += [
        f"workspace w{index} rate=10 burst=10 # t"
        for index in range(workspaces)
    ]
    return "\n".join(lines) + "\n"


def create_ledger(holders, budgets):
    ledger = Ledger("s", seq=1)
    totals = {
        f"workspace:w{index}": Amount(10, 10) for index in range(budgets)
    }
    ledger.set_totals(BudgetKind.RATE, totals, 1)
    for index in range(holders):
        ledger.join(Holder(f"h{index}", f"i{index}", f"p{index}"))
    ledger.distribute()
    return ledger


HEAD = (
    "Host: a.example\r\nX-Api-Key: gmk_0123456789\r\nAccept: */*\r\n"
    "User-Agent: phone/1.0\r\nGypsummount-Deadline-Ms: 800\r\n"
)
# A request may cost 3 times as much as a bare relay, which parses two
# heads.  So no single decision may cost more than parsing one head.
MAX_DECISION_RATIO = 1.0


def time_head_parsing():
    """Return the seconds to parse the head of a request."""

    def parse_head():
        parse_request_start_line("GET /rondas/hoy HTTP/1.1")
        HTTPHeaders.parse(HEAD)

    return time_best(parse_head, 2_000)


class TestDecisions:
    def test_admission(self):
        clock = [0.0]
        share = RateShare("b", "h", 0.0)
        share.apply_granted(Amount(1e9, 1e9), 0.0)

        def spend():
            clock[0] += 1e-6
            share.record_demand(clock[0])
            share.try_spend(clock[0])

        measured_s = time_best(spend, 20_000)
        check_ratio(
            "admission", measured_s, time_head_parsing(), MAX_DECISION_RATIO
        )

    @pytest.mark.parametrize("count", [4, 64], ids=["few", "many"])
    def test_choice_of_an_upstream(self, count):
        candidates = [
            Candidate(str(index), index, 0.0, 9, 0.0) for index in range(count)
        ]
        policy = TwoChoices(Random(1))
        measured_s = time_best(lambda: policy.choose(candidates), 10_000)
        check_ratio(
            f"choice of {count}",
            measured_s,
            time_head_parsing(),
            MAX_DECISION_RATIO,
        )

    def test_analysis_of_an_answer(self):
        analyser = RouteAnalyser()
        batch = EvidenceBatch(1, 0, 1, 0, 0.0)
        measured_s = time_best(lambda: analyser.observe(batch), 20_000)
        check_ratio(
            "judgement", measured_s, time_head_parsing(), MAX_DECISION_RATIO
        )

    def test_verification_of_a_key(self):
        granted = create_key("w", b"p" * 16, asked_by="t", ends_at=0)
        table = KeyTable(b"p" * 16, 1, [granted.record])
        measured_s = time_best(lambda: table.find(granted.key, 0.0), 5_000)
        check_ratio("key", measured_s, time_head_parsing(), MAX_DECISION_RATIO)


class TestGrowth:
    """Operations of linear cost grow no faster than their input."""

    def check(self, name, build, sizes, count):
        small, large = sizes
        first = time_best(build(small), count)
        second = time_best(build(large), count)
        check_ratio(
            f"{name} {small} to {large}",
            second,
            first,
            NOISE_FACTOR * large / small,
        )

    def test_route_match_by_routes(self):
        def build(size):
            rules = load_rules(create_rules(size, 1))
            return lambda: rules.find_route("GET", "/p0/x")

        self.check("route match", build, (10, 100), 300)

    def test_snapshot_install_by_workspaces(self):
        def build(size):
            text = create_rules(1, size)
            return lambda: load_rules(text)

        self.check("snapshot install", build, (100, 1000), 3)

    def test_gossip_by_fleet_size(self):
        def build(size):
            members = [create_member(f"m{index}") for index in range(size)]

            def exchange():
                return [
                    unpack_member(pack_member(member)) for member in members
                ]

            return exchange

        self.check("gossip", build, (8, 80), 20)

    def test_ledger_by_holders(self):
        def build(size):
            ledger = create_ledger(size, 8)

            def reconcile():
                following = ledger.copy()
                following.distribute()
                return decode_ledger("s", encode_ledger(following))

            return reconcile

        self.check("ledger", build, (8, 80), 5)

    def test_transfer_by_open_loans(self):
        def build(size):
            lender = RateShare("b", "l", 0.0)
            lender.apply_granted(Amount(1e6, 1e6), 0.0)
            lender.advance(1.0)
            for index in range(size):
                borrower = RateShare("b", f"x{index}", 1.0)
                request = borrower.build_request("l", 1.0, 1.0)
                lender.lend(request, 1.0)
            counter = [0]

            def transfer():
                counter[0] += 1
                borrower = RateShare("b", f"y{counter[0]}", 1.0)
                request = borrower.build_request("l", 1.0, 1.0)
                loan = lender.lend(request, 1.0)
                borrower.accept(loan, 1.0)
                for loan_return in borrower.return_spent(1.0):
                    lender.credit_return(loan_return.message, 1.0)

            return transfer

        self.check("transfer", build, (10, 100), 20)
