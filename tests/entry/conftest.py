"""Fixtures of the entry tests."""

from contextlib import AsyncExitStack

from pytest_asyncio import fixture

from tests.entry.standalone import LoneEntry


@fixture
async def lone():
    """A serving entry without an agent; see :class:`LoneEntry`."""
    async with AsyncExitStack() as stack:
        entry = LoneEntry(stack)
        await entry.start()
        yield entry
