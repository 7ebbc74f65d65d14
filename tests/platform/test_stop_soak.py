"""Soak of planned stops: random load and disturbances, by seed.

The number of seeds is short in CI; ``STOP_SOAK_SEEDS`` sets it for a long
run by hand.
"""

from os import environ
from random import Random

import pytest

from tests.platform.stop_trials import CALLERS
from tests.platform.stop_trials import GRACE_S
from tests.platform.stop_trials import StopTrial

SEEDS = int(environ.get("STOP_SOAK_SEEDS", "2"))
DISTURBANCES = (
    StopTrial.reload,
    StopTrial.stop_again,
    StopTrial.lose_store,
    StopTrial.fill_server,
    StopTrial.drain_server,
    StopTrial.waste,
)


@pytest.fixture
async def restorable(deployment):
    """Start an instance whose store states its era."""
    deployment.store.era = 1
    deployment.start(1)
    await deployment.wait_ready(1)
    return deployment


async def run_trial(instance, seed, disturbances=()):
    """Check that no request was lost; return all statuses."""
    trial = StopTrial(instance, seed)
    await trial.prepare()
    assert await trial.run(disturbances) < GRACE_S
    assert trial.process.returncode == 0
    assert trial.list_lost() == []
    return [attempt.status for attempt in trial.list_attempts()]


class TestLateRequests:
    @pytest.mark.parametrize("seed", range(SEEDS))
    async def test_no_request_that_runs_is_cut(self, instance, seed):
        """Guards against requests late in the grace that run and are cut."""
        statuses = await run_trial(instance, seed)
        assert statuses.count(200) > CALLERS
        assert statuses.count(503) > 0


class TestDisturbedStops:
    @pytest.mark.parametrize("seed", range(SEEDS))
    async def test_no_request_that_runs_is_cut(self, instance, seed):
        """Guards against cuts by signals and faults that overlap a stop."""
        random = Random(seed)
        count = random.randint(1, len(DISTURBANCES))
        chosen = random.sample(DISTURBANCES, count)
        assert 503 in await run_trial(instance, seed, chosen)

    @pytest.mark.parametrize("seed", range(SEEDS))
    async def test_wasteful_clients_cut_no_request(self, instance, seed):
        """Guards against a stop that wasteful clients hold up or cut."""
        assert 503 in await run_trial(instance, seed, [StopTrial.waste])


class TestRestoredStores:
    @pytest.mark.parametrize("seed", range(SEEDS))
    async def test_no_request_that_runs_is_cut(self, restorable, seed):
        """Guards against cuts when the store loses writes during a stop."""
        random = Random(seed)
        chosen = [StopTrial.restore_store, random.choice(DISTURBANCES)]
        assert 503 in await run_trial(restorable, seed, chosen)
        assert restorable.store.era == 2
