"""Runs the model once from a seed."""

from asyncio import create_task
from asyncio import sleep
from random import Random

import pytest

from gypsummount._common import clocks
from gypsummount._edge import backends
from gypsummount._edge import following
from gypsummount._edge import process
from gypsummount._edge.feed import Kind
from tests.model.callers import Callers
from tests.model.callers import Habits
from tests.model.clock import VirtualLoop
from tests.model.fleet import Fleet
from tests.model.fleet import PeerPool
from tests.model.judge import Judge
from tests.model.store import ModelStore
from tests.model.troubles import Operator
from tests.model.troubles import TIMEOUT_S
from tests.model.troubles import Troubles
from tests.model.upstreams import ModelPool
from tests.model.upstreams import ModelUpstream

REGIONS = {"ca": "central", "ga": "guanacaste", "sa": "sur", "cb": "central"}
MACHINES = ("ca", "ga", "sa", "cb", "ca", "sa", "ga", "sa")
UPSTREAMS = ("ca", "cb", "ga", "sa", "sa")
RATE_PER_MACHINE = 28.0
START_UNIX_S = 1_700_000_000.0
WARM_UP_S = 4.0
SPAN_S = 10.0
TAIL_S = 5.0
MOST_TROUBLES = 6
PATIENT = Habits()


def run_seed(
    seed, *, script=None, habits=PATIENT, timeouts=(TIMEOUT_S,), load=1.0
):
    """Return the breaches and floods found in the run of a seed.

    ``habits`` describes the callers.  ``timeouts`` are the route's
    timeouts (s), which successive versions of the configuration cycle
    through.  ``load`` multiplies the usual rate of requests.

    ``script`` is an async function of the fleet, the operator and the
    random generator; it replaces the randomly drawn faults.
    """
    loop = VirtualLoop()
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(clocks, "clock_gettime", lambda _: loop.now)
        patches.setattr(process, "time", lambda: START_UNIX_S + loop.now)
        patches.setattr(backends, "ConnectionPool", ModelPool)
        patches.setattr(following, "ConnectionPool", PeerPool)
        try:
            callers = Callers(habits, seed)
            run = _run(Random(seed), script, callers, timeouts, load)
            return loop.run_until_complete(run)
        finally:
            loop.end()


async def _run(random, script, callers, timeouts, load):
    store = ModelStore()
    fleet = Fleet(store, random, REGIONS, callers)
    ModelPool.network = fleet
    PeerPool.network = fleet
    judge = Judge(fleet)
    operator = Operator(fleet, judge, timeouts)
    operator.change_config()
    for number, domain in enumerate(UPSTREAMS):
        _add_upstream(fleet, number, domain)
    for number, domain in enumerate(MACHINES):
        machine = fleet.add_machine(
            number + 1, domain, RATE_PER_MACHINE * load
        )
        fleet.start(machine)
    create_task(judge.run())
    await sleep(WARM_UP_S)
    if script is not None:
        await script(fleet, operator, random)
    else:
        troubles = Troubles(fleet, operator, random)
        await troubles.run(SPAN_S, random.randint(1, MOST_TROUBLES))
    await sleep(TAIL_S)
    return [*judge.list_findings(), *callers.breaches[:1]]


def _add_upstream(fleet, number, domain):
    upstream = ModelUpstream(
        f"u{number}",
        f"10.9.0.{number}:80",
        domain,
        fleet.regions[domain],
        fleet.store,
        fleet.random,
    )
    fleet.store.put(Kind.UPSTREAM, upstream.name, upstream.build_entry())
    fleet.add_upstream(upstream)
