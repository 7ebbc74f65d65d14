"""Quota shares of many instances compared to one central bucket."""

from random import Random

import pytest

from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.quotas import QuotaShares

RATE = 80.0
BURST = 80.0
WINDOW_S = 5.0
OVERSHOOT = 1.1
SLACK = 20
TELL_S = 0.4
STEP_S = 0.01
INSTANCES = 8


class _Fleet:
    """Instances that announce their demand, over partitions."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.shares = [QuotaShares(0.1) for _ in range(INSTANCES)]
        self.heard = [{} for _ in range(INSTANCES)]
        self.cut_off = set()
        self.sent = []

    def tell(self, now):
        for one, shares in enumerate(self.shares):
            shares.measure(now)
            shares.settle(self.list_peers(one, now), now)
        for one, shares in enumerate(self.shares):
            for other in range(INSTANCES):
                if (
                    other == one
                    or (one in self.cut_off)
                    or (other in self.cut_off)
                ):
                    continue
                if self.random.random() < 0.02:
                    continue
                self.heard[other][one] = (now, shares.list_demands())

    def list_peers(self, one, now):
        return [
            PeerQuotas(now - at <= 1.7, demands)
            for at, demands in self.heard[one].values()
        ]

    def offer(self, one, now, patience_s=0.1):
        wait_s = self.shares[one].take(
            "w", RATE, BURST, now, patience_s=patience_s
        )
        if wait_s is not None:
            self.sent.append(now + wait_s)
        return wait_s is not None

    def find_worst_window(self):
        sent = sorted(self.sent)
        worst = first = 0
        for last, at in enumerate(sent):
            while sent[first] < at - WINDOW_S:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


def play(fleet, *, rate, weights, length_s, events=()):
    """Offer requests for a time and return the admitted fraction.

    The first 3 seconds do not count.
    """
    now, told = 0.0, -1.0
    taken = asked = 0
    pending = sorted(events, key=lambda event: event[0])
    while now < length_s:
        now += STEP_S
        while pending and pending[0][0] <= now:
            pending.pop(0)[1](fleet)
        if now - told >= TELL_S:
            told = now
            fleet.tell(now)
        count = rate * STEP_S
        count = int(count) + (fleet.random.random() < count % 1)
        for _ in range(count):
            one = fleet.random.choices(range(INSTANCES), weights(now))[0]
            if now > 3:
                asked += 1
            ok = fleet.offer(one, now)
            taken += ok and now > 3
    return taken / max(1, asked)


def limit():
    return (RATE * WINDOW_S + BURST) * OVERSHOOT + SLACK


class TestBound:
    @pytest.mark.parametrize("seed", range(4))
    def test_hot_workspace_stays_within_its_rate(self, seed):
        fleet = _Fleet(seed)
        play(
            fleet,
            rate=RATE * 7,
            weights=lambda now: [
                1 + (int(now / 3) == i) * 9 for i in range(INSTANCES)
            ],
            length_s=15,
        )
        assert fleet.find_worst_window() <= limit()

    @pytest.mark.parametrize("seed", range(4))
    def test_cut_instances_take_no_more_than_they_had(self, seed):
        fleet = _Fleet(seed)
        cut = {seed % INSTANCES, (seed + 3) % INSTANCES, 5}
        play(
            fleet,
            rate=RATE * 5,
            weights=lambda now: [
                3 if i in cut else 1 for i in range(INSTANCES)
            ],
            length_s=20,
            events=[
                (6, lambda one: one.cut_off.update(cut)),
                (14, lambda one: one.cut_off.clear()),
            ],
        )
        assert fleet.find_worst_window() <= limit()


class TestWithinRate:
    def test_even_demand_below_the_rate_is_served(self):
        """A central bucket would admit all requests."""
        fleet = _Fleet(1)
        part = play(
            fleet,
            rate=RATE / 1.6,
            weights=lambda now: [1] * INSTANCES,
            length_s=20,
        )
        assert part >= 0.98

    def test_skewed_demand_below_the_rate_is_served(self):
        fleet = _Fleet(2)
        part = play(
            fleet,
            rate=RATE / 1.6,
            weights=lambda now: [20, 5, 1, 1, 1, 1, 1, 1],
            length_s=20,
        )
        assert part >= 0.95
