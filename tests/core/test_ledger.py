"""Grants, confirmations and recovery in the ledger of budgets."""

from random import Random

import pytest

from gypsummount._agent.documents import decode_ledger
from gypsummount._agent.documents import encode_ledger
from gypsummount._core.amounts import Amount
from gypsummount._core.ledger import BudgetKind
from gypsummount._core.ledger import Holder
from gypsummount._core.ledger import HolderState
from gypsummount._core.ledger import Ledger
from gypsummount._core.loans import LOAN_HOLD_S
from gypsummount._core.loans import LOAN_S
from tests.core.budget_model import BUDGET
from tests.core.budget_model import BudgetModel

TOTAL = Amount(40, 20)
MIN_USABLE_FRACTION = 0.95
# Seconds without a sign of life after which an agent may declare an
# instance gone, at the earliest.
MIN_LIST_LAG_S = 11
ROUNDS_TO_CONVERGE = 10


def create_ledger(*holders, kind=BudgetKind.RATE, total=TOTAL):
    ledger = Ledger("scope", seq=1)
    ledger.set_totals(kind, {"b": total}, 1)
    for name in holders:
        ledger.join(Holder(name, name, name))
    ledger.distribute()
    return ledger


def advance_ledger(ledger, random=None, joining=None):
    """Return the next ledger, after confirmations of some or all holders."""
    updated = ledger.copy()
    if joining is not None:
        updated.join(joining)
    for name, account in updated.budgets["b"].accounts.items():
        if random is None or random.random() < 0.6:
            lowered = account.granted.cap(account.target)
            updated.confirm(name, "b", lowered, ledger.seq)
    updated.distribute()
    return updated


class TestDistribution:
    def test_first_holder_gets_all(self):
        ledger = create_ledger("a")
        assert ledger.budgets["b"].accounts["a"].granted == TOTAL

    def test_second_holder_waits_for_the_confirmation(self):
        ledger = create_ledger("a")
        ledger.join(Holder("z", "z", "z"))
        ledger.distribute()
        accounts = ledger.budgets["b"].accounts
        assert accounts["z"].granted.is_zero
        assert ledger.confirm("a", "b", TOTAL.scale(0.5), ledger.seq)
        ledger.distribute()
        assert accounts["z"].granted == TOTAL.scale(0.5)

    def test_confirmation_made_before_a_change_is_ignored(self):
        ledger = create_ledger("a")
        ledger.seq = 7
        ledger.join(Holder("z", "z", "z"))
        ledger.distribute()
        assert not ledger.confirm("a", "b", TOTAL.scale(0.5), 6)
        assert ledger.confirm("a", "b", TOTAL.scale(0.5), 7)

    @pytest.mark.parametrize("slots", [1, 3, 9], ids=str)
    def test_slots_are_divided_into_integers(self, slots):
        ledger = create_ledger(
            "a", kind=BudgetKind.SLOTS, total=Amount(0, slots)
        )
        ledger.join(Holder("z", "z", "z"))
        ledger.distribute()
        targets = [
            account.target.burst
            for account in ledger.budgets["b"].accounts.values()
        ]
        assert sum(targets) == slots
        assert all(target == int(target) for target in targets)

    def test_older_totals_are_ignored(self):
        ledger = create_ledger("a")
        assert not ledger.set_totals(BudgetKind.RATE, {"b": Amount(99, 99)}, 1)
        assert ledger.budgets["b"].total == TOTAL


class TestConvergence:
    """Without changes a ledger converges, so that writes to it end."""

    @pytest.mark.parametrize("seed", range(20), ids=str)
    def test_every_grant_reaches_its_target(self, seed):
        random = Random(seed)
        ledger = create_ledger(total=Amount(12.1, 24.7))
        for name in random.sample("abcdefgh", k=8):
            ledger = advance_ledger(ledger, random, Holder(name, name, name))
        for _ in range(ROUNDS_TO_CONVERGE):
            ledger = advance_ledger(ledger)
        accounts = ledger.budgets["b"].accounts.values()
        assert len(accounts) == 8
        assert [account.granted for account in accounts] == [
            account.target for account in accounts
        ]
        assert ledger.budgets["b"].granted.fits(Amount(12.1, 24.7))


class TestReplacement:
    def test_new_holder_of_an_endpoint_replaces_the_old_one(self):
        ledger = create_ledger("old")
        ledger.holders["old"].endpoint = "p"
        ledger.join(Holder("new", "i", "p"))
        ledger.distribute()
        assert ledger.holders["old"].state is HolderState.REPLACED
        assert ledger.budgets["b"].accounts["new"].granted.is_zero
        ledger.remove("old")
        ledger.distribute()
        assert ledger.budgets["b"].accounts["new"].granted == TOTAL


class TestDocument:
    def test_decoded_ledger_equals_the_encoded_one(self):
        ledger = create_ledger("a", "z")
        ledger.mark_gone("z")
        assert decode_ledger("scope", encode_ledger(ledger)) == ledger


def settle(model, rounds=8):
    for _ in range(rounds):
        model.recover()
        for process in model.list_alive():
            process.share.advance(model.now)
            model.tell(process.name)
        while model.network:
            model.deliver(model.network.pop(0))
        for process in model.list_alive():
            model.confirm_if_ready(process)
        model.check_sums()
        model.now += 0.1


def create_settled_model():
    model = BudgetModel(TOTAL)
    model.set_total(TOTAL)
    for place in "abcd":
        model.add(place)
    settle(model)
    return model


def sum_usable(model):
    assert BUDGET in model.ledger.budgets
    return sum(process.share.usable.rate for process in model.list_alive())


class TestRecovery:
    def test_most_of_the_rate_is_usable_soon_after_a_death(self):
        """95% within the loan hold time and two rounds of ledger views."""
        model = create_settled_model()
        dead = model.list_alive()[0]
        dead.is_alive = False
        model.declare_gone(dead.name)
        assert sum_usable(model) <= 0.75 * TOTAL.rate + 1e-6
        settle(model, rounds=int(LOAN_HOLD_S / 0.1) + 8)
        assert sum_usable(model) >= MIN_USABLE_FRACTION * TOTAL.rate

    def test_loans_of_a_dead_holder_end_before_its_share_is_granted(self):
        model = create_settled_model()
        lender, borrower = model.list_alive()[:2]
        for _ in range(100):
            borrower.share.record_demand(model.now)
        model.waiting = 10
        model.borrow(borrower, lender)
        while model.network:
            model.deliver(model.network.pop(0))
        assert not lender.share.lent.is_zero
        lender.is_alive = False
        model.declare_gone(lender.name)
        settle(model, rounds=int(LOAN_S / 0.1) + 20)
        assert sum_usable(model) >= MIN_USABLE_FRACTION * TOTAL.rate

    def test_holder_that_resumes_after_its_recovery_spends_nothing(self):
        model = create_settled_model()
        paused = model.list_alive()[0]
        paused.is_alive = False
        for _ in range(MIN_LIST_LAG_S):
            model.now += 1.0
            for process in model.list_alive():
                process.share.advance(model.now)
        model.declare_gone(paused.name)
        settle(model, rounds=int(LOAN_S / 0.1) + 20)
        paused.is_alive = True
        model.check_sums()
        assert not paused.share.try_spend(model.now)
        assert paused.share.is_suspended

    def test_ledger_read_before_the_pause_ended_grants_nothing(self):
        model = BudgetModel(TOTAL)
        model.set_total(TOTAL)
        paused = model.add("a")
        model.tell(paused.name)
        for place in "bcd":
            model.add(place)
        old_packets = list(model.network)
        paused.is_alive = False
        for _ in range(MIN_LIST_LAG_S):
            model.now += 1.0
            for process in model.list_alive():
                process.advance(model.now)
        model.declare_gone(paused.name)
        settle(model, rounds=int(LOAN_S / 0.1) + 20)
        paused.is_alive = True
        for packet in old_packets:
            model.deliver(packet)
        model.check_sums()
        assert paused.share.is_suspended
