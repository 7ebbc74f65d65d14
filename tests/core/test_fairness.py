"""Waiting times of workspaces beside a burst of another workspace."""

from collections import deque
from heapq import heappop
from heapq import heappush
from random import Random

import pytest

from gypsummount._core.fairness import FairQueue
from gypsummount._core.fairness import WaitingRequest

SLOTS = 9
SERVICE_S = 0.010
DURATION_S = 20.0
OTHERS_RATE = 500.0
BURST_SIZE = 200
BURST_INTERVAL_S = 1.0
# Largest factor by which the burst may lengthen the others' times.
ALLOWED_FACTOR = 3.0
DEADLINE_S = 5.0


class FirstComeQueue:
    """The queue to compare to: first come, first served."""

    def __init__(self):
        self._waiting = deque()

    def push(self, request, weight):
        self._waiting.append(request.item)

    def pop(self, now):
        return self._waiting.popleft() if self._waiting else None


def simulate(queue, seed, *, has_bursts):
    """Return the 99th percentile of response times in seconds.

    It is taken over the workspaces that send no bursts.
    """
    random = Random(seed)
    events = []
    now = 0.0
    while now < DURATION_S:
        now += random.expovariate(OTHERS_RATE)
        heappush(events, (now, 0, f"w{random.randrange(4)}"))
    burst_at = BURST_INTERVAL_S
    while has_bursts and burst_at < DURATION_S:
        for number in range(BURST_SIZE):
            heappush(events, (burst_at + number * 1e-6, 0, "crowd"))
        burst_at += BURST_INTERVAL_S
    free, times = SLOTS, []
    while events:
        now, kind, name = heappop(events)
        if kind == 1:
            free += 1
        else:
            request = WaitingRequest((name, now), name, now + DEADLINE_S)
            queue.push(request, 1.0)
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


class TestBursts:
    @pytest.mark.parametrize("seed", range(3))
    def test_others_wait_little_longer(self, seed):
        without_bursts = simulate(FairQueue(), seed, has_bursts=False)
        with_bursts = simulate(FairQueue(), seed, has_bursts=True)
        assert with_bursts <= ALLOWED_FACTOR * without_bursts

    @pytest.mark.parametrize("seed", range(3))
    def test_first_come_first_served_delays_them(self, seed):
        without_bursts = simulate(FirstComeQueue(), seed, has_bursts=False)
        with_bursts = simulate(FirstComeQueue(), seed, has_bursts=True)
        assert with_bursts > ALLOWED_FACTOR * without_bursts
