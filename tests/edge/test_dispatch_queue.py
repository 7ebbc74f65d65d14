"""Length and cost of the queue that serves a region."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from itertools import count
from itertools import islice

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.work_policy import MAX_EXAMINED
from gypsummount._edge.work_policy import MAX_SUITED
from gypsummount._edge.work_queue import MAX_WAITING
from gypsummount._edge.work_queue import MAX_WAITING_IN_REGION
from gypsummount._edge.work_queue import MAX_WAITING_PER_INSTANCE
from gypsummount._edge.work_queue import QueueLimit
from tests.edge.dispatch_network import build_need
from tests.edge.dispatch_network import build_result
from tests.edge.dispatch_network import fill
from tests.edge.dispatch_network import find_first
from tests.edge.dispatch_network import find_suited
from tests.edge.dispatch_network import Network
from tests.edge.upstreams import LOCAL_UPSTREAMS

SIZE = 14
WAITING = 300
LONG_S = 30.0
MAX_QUEUEING_S = 10.0
# Objects from this number on are not known to any upstream.
NEW_OBJECTS = 1000


@pytest.fixture
async def network():
    created = Network(SIZE)
    yield created
    created.close()


def count_attempts(policy):
    """Count the upstreams that are compared for waiting requests."""
    choose = policy._chooser.choose
    attempts = []

    def choose_and_count(candidates, *rest):
        attempts.append(len(candidates))
        return choose(candidates, *rest)

    policy._chooser.choose = choose_and_count
    return attempts


async def queue_requests(node, objects):
    """Queue requests at the dispatcher; return their tasks."""
    tasks = [
        create_task(
            node.acquire(
                build_need(number, objective_s=0.01), remaining_s=LONG_S
            )
        )
        for number in objects
    ]
    await sleep(0.1)
    return tasks


async def wait_for_length(queue, length):
    """Wait until all requests have come; a busy machine takes a while."""
    ends_at = read_monotonic() + MAX_QUEUEING_S
    while len(queue) < length and read_monotonic() < ends_at:
        await sleep(0.02)


async def cancel(tasks):
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)


class TestFreedSlot:
    @pytest.mark.parametrize("objects", [range(WAITING), [7] * WAITING])
    async def test_cost_does_not_grow_with_the_queue(self, network, objects):
        """Guards against all waiting requests at all upstreams per slot."""
        ranked, others = network.rank()
        picks = await fill(others[0])
        tasks = await queue_requests(others[1], objects)
        policy = ranked[0].selection._policies["s"]
        await wait_for_length(policy._queue, WAITING)
        assert len(policy._queue) == WAITING
        attempts = count_attempts(policy)
        for pick in picks:
            others[0].dispatch.finish(pick, build_result())
        await sleep(0.1)
        # Each release gives one slot and may look once more in vain, when
        # the load that it reports arrives.
        once = MAX_SUITED + MAX_EXAMINED * LOCAL_UPSTREAMS
        assert len(policy._queue) < WAITING
        assert sum(attempts) <= 2 * once * len(picks)
        assert sum(attempts) < WAITING * LOCAL_UPSTREAMS * len(picks) / 10
        await cancel(tasks)

    async def test_cost_at_the_upstream_that_all_wait_for(self, network):
        """Guards against a slot that is offered to all that it would suit."""
        ranked, others = network.rank()
        picks = await fill(others[0])
        suited = find_suited(picks, others[0], 7)
        name = suited.backend.record.name
        objects = filter(
            lambda number: find_first(others[0], number) == name,
            count(NEW_OBJECTS),
        )
        tasks = await queue_requests(others[1], islice(objects, WAITING))
        policy = ranked[0].selection._policies["s"]
        await wait_for_length(policy._queue, WAITING)
        assert len(policy._queue) == WAITING
        attempts = count_attempts(policy)
        others[0].dispatch.finish(suited, build_result())
        await sleep(0.1)
        assert len(policy._queue) == WAITING - 1
        once = MAX_SUITED + MAX_EXAMINED * LOCAL_UPSTREAMS
        assert sum(attempts) <= once
        await cancel(tasks)


class TestLength:
    async def test_queue_of_a_region_is_longer(self, network):
        """Guards against a region with the queue of one instance."""
        ranked, _ = network.rank()
        limit = ranked[0].selection._tools.queue_limit
        assert limit.waiting == SIZE * MAX_WAITING_PER_INSTANCE

    async def test_small_fleet_has_the_usual_length(self, network):
        node = network.rank()[0][0]
        node.dispatch.apply_fleet(
            [], node.replica.catalog, is_grouped=False, is_serving=True
        )
        assert node.selection._tools.queue_limit.waiting == MAX_WAITING

    def test_length_is_bounded(self):
        limit = QueueLimit()
        limit.scale(1000)
        assert limit.waiting == MAX_WAITING_IN_REGION
