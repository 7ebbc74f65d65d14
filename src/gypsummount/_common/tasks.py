"""Tasks that run for as long as their owner."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import AsyncExitStack

from gypsummount._common.logs import get_logger

_log = get_logger("tasks")


def start_task(
    stack: AsyncExitStack, body: Coroutine[object, object, None], name: str
) -> Task[None]:
    """Start a task that the stack cancels when it is closed."""
    task = create_task(body, name=name)
    task.add_done_callback(_report_failure)
    stack.push_async_callback(_cancel, task)
    return task


async def repeat(
    step: Callable[[], Awaitable[None]], period_s: float, name: str
) -> None:
    """Run a step again and again; a failure is logged, not fatal."""
    while True:
        try:
            await step()
        except Exception:
            _log.exception("Step %s failed.", name)
        await sleep(period_s)


async def _cancel(task: Task[None]) -> None:
    task.cancel()
    try:
        await task
    except (CancelledError, Exception):
        return


def _report_failure(task: Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("Task %s ended: %r.", task.get_name(), task.exception())
