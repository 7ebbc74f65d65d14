"""Waiting times of workspaces beside a burst of another workspace."""

from collections import deque
from heapq import heappop
from heapq import heappush
from random import Random

import pytest

from gypsummount._core.fairness import FairQueue
from gypsummount._core.fairness import Waiting

SLOTS = 9
SERVICE_S = 0.010
SECONDS = 20.0
OTHERS_RATE = 500.0
CROWD = 200
CROWD_EVERY_S = 1.0
# Largest factor by which the burst may lengthen the others' times.
ALLOWED_FACTOR = 3.0
DEADLINE_S = 5.0


class FirstCome:
    """The queue to compare to: first come, first served."""

    def __init__(self):
        self._waiting = deque()

    def push(self, entry, weight):
        self._waiting.append(entry.item)

    def pop(self, now):
        return self._waiting.popleft() if self._waiting else None


def simulate(queue, seed, *, crowd):
    """Return the 99th percentile of response times in seconds.

    It is taken over the workspaces that send no bursts.
    """
    random = Random(seed)
    events = []
    now = 0.0
    while now < SECONDS:
        now += random.expovariate(OTHERS_RATE)
        heappush(events, (now, 0, f"w{random.randrange(4)}"))
    burst_at = CROWD_EVERY_S
    while crowd and burst_at < SECONDS:
        for number in range(CROWD):
            heappush(events, (burst_at + number * 1e-6, 0, "crowd"))
        burst_at += CROWD_EVERY_S
    free, times = SLOTS, []
    while events:
        now, kind, name = heappop(events)
        if kind == 1:
            free += 1
        else:
            entry = Waiting((name, now), name, now + DEADLINE_S)
            queue.push(entry, 1.0)
        while free:
            item = queue.pop(now)
            if item is None:
                break
            free -= 1
            done = now + SERVICE_S * random.uniform(0.8, 1.2)
            heappush(events, (done, 1, ""))
            if item[0] != "crowd":
                times.append(done - item[1])
    times.sort()
    return times[int(len(times) * 0.99)]


class TestCrowd:
    @pytest.mark.parametrize("seed", range(3))
    def test_others_wait_little_longer(self, seed):
        alone = simulate(FairQueue(), seed, crowd=False)
        beside = simulate(FairQueue(), seed, crowd=True)
        assert beside <= ALLOWED_FACTOR * alone

    @pytest.mark.parametrize("seed", range(3))
    def test_first_come_first_served_lets_them_wait(self, seed):
        alone = simulate(FirstCome(), seed, crowd=False)
        beside = simulate(FirstCome(), seed, crowd=True)
        assert beside > ALLOWED_FACTOR * alone
