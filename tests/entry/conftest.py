"""Fixtures of the entry tests."""

from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from tests.entry.standalone import StandaloneEntry


@fixture
async def standalone():
    """A serving entry without an agent; see :class:`StandaloneEntry`."""
    async with AsyncExitStack() as stack:
        entry = StandaloneEntry(stack)
        await entry.start()
        yield entry
