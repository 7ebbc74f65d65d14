"""Quota shares of many instances compared to one central bucket."""

from random import Random

import pytest

from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.quotas import QuotaShares

RATE = 80.0
BURST = 80.0
WINDOW_S = 5.0
ALLOWED_FACTOR = 1.1
ALLOWED_EXTRA = 20
ANNOUNCE_INTERVAL_S = 0.4
STEP_S = 0.01
INSTANCES = 8


class _Fleet:
    """Instances that announce their demand, over partitions."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.shares = [QuotaShares(0.1) for _ in range(INSTANCES)]
        self.received = [{} for _ in range(INSTANCES)]
        self.cut_off = set()
        self.sent = []

    def announce(self, now):
        for index, shares in enumerate(self.shares):
            shares.update_demand(now)
            shares.update_shares(self.list_peers(index, now), now)
        for index, shares in enumerate(self.shares):
            for peer in range(INSTANCES):
                if (
                    peer == index
                    or (index in self.cut_off)
                    or (peer in self.cut_off)
                ):
                    continue
                if self.random.random() < 0.02:
                    continue
                self.received[peer][index] = (now, shares.list_demands())

    def list_peers(self, index, now):
        return [
            PeerQuotas(now - at <= 1.7, demands)
            for at, demands in self.received[index].values()
        ]

    def offer(self, index, now, max_wait_s=0.1):
        wait_s = self.shares[index].take_token(
            "w", RATE, BURST, now, max_wait_s=max_wait_s
        )
        if wait_s is not None:
            self.sent.append(now + wait_s)
        return wait_s is not None

    def count_worst_window(self):
        sent = sorted(self.sent)
        worst = first = 0
        for last, at in enumerate(sent):
            while sent[first] < at - WINDOW_S:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


def simulate(fleet, *, rate, weights, length_s, events=()):
    """Offer requests for a time and return the admitted fraction.

    The first 3 seconds do not count.
    """
    now, announced_at = 0.0, -1.0
    admitted = requested = 0
    pending = sorted(events, key=lambda event: event[0])
    while now < length_s:
        now += STEP_S
        while pending and pending[0][0] <= now:
            pending.pop(0)[1](fleet)
        if now - announced_at >= ANNOUNCE_INTERVAL_S:
            announced_at = now
            fleet.announce(now)
        count = rate * STEP_S
        count = int(count) + (fleet.random.random() < count % 1)
        for _ in range(count):
            index = fleet.random.choices(range(INSTANCES), weights(now))[0]
            if now > 3:
                requested += 1
            is_admitted = fleet.offer(index, now)
            admitted += is_admitted and now > 3
    return admitted / max(1, requested)


def compute_limit():
    return (RATE * WINDOW_S + BURST) * ALLOWED_FACTOR + ALLOWED_EXTRA


class TestBound:
    @pytest.mark.parametrize("seed", range(4))
    def test_hot_workspace_stays_within_its_rate(self, seed):
        fleet = _Fleet(seed)
        simulate(
            fleet,
            rate=RATE * 7,
            weights=lambda now: [
                1 + (int(now / 3) == i) * 9 for i in range(INSTANCES)
            ],
            length_s=15,
        )
        assert fleet.count_worst_window() <= compute_limit()

    @pytest.mark.parametrize("seed", range(4))
    def test_isolated_instances_take_no_more_than_before(self, seed):
        fleet = _Fleet(seed)
        cut = {seed % INSTANCES, (seed + 3) % INSTANCES, 5}
        simulate(
            fleet,
            rate=RATE * 5,
            weights=lambda now: [
                3 if i in cut else 1 for i in range(INSTANCES)
            ],
            length_s=20,
            events=[
                (6, lambda target: target.cut_off.update(cut)),
                (14, lambda target: target.cut_off.clear()),
            ],
        )
        assert fleet.count_worst_window() <= compute_limit()


class TestWithinRate:
    def test_even_demand_below_the_rate_is_served(self):
        """A central bucket would admit all requests."""
        fleet = _Fleet(1)
        fraction = simulate(
            fleet,
            rate=RATE / 1.6,
            weights=lambda now: [1] * INSTANCES,
            length_s=20,
        )
        assert fraction >= 0.98

    def test_skewed_demand_below_the_rate_is_served(self):
        fleet = _Fleet(2)
        fraction = simulate(
            fleet,
            rate=RATE / 1.6,
            weights=lambda now: [20, 5, 1, 1, 1, 1, 1, 1],
            length_s=20,
        )
        assert fraction >= 0.95
