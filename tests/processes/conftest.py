"""Fixtures that start fleets of real processes."""

from pytest_asyncio import fixture

from tests.processes.cluster import Cluster


@fixture
async def cluster(tmp_path):
    """A fleet of 8 entries and 8 agents in 6 failure domains."""
    fleet = Cluster(tmp_path)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


@fixture
async def relayed_cluster(tmp_path):
    """The same fleet, with relays that can disturb every link."""
    fleet = Cluster(tmp_path, uses_relays=True)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()
