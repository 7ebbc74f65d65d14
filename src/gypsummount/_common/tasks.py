"""Background tasks that are cancelled when their owner closes."""

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
    stack: AsyncExitStack,
    coroutine: Coroutine[object, object, None],
    name: str,
) -> Task[None]:
    """Start a task; the stack cancels it when the stack closes.

    If the task fails, the error is logged.
    """
    task = create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    stack.push_async_callback(_cancel, task)
    return task


async def run_periodically(
    step: Callable[[], Awaitable[None]], period_s: float, name: str
) -> None:
    """Run a step periodically, waiting ``period_s`` after each run.

    An exception is logged and does not end the repetition.
    """
    while True:
        try:
            await step()
        except Exception:
            _log.exception("Periodic step %s failed; it is repeated.", name)
        await sleep(period_s)


async def _cancel(task: Task[None]) -> None:
    task.cancel()
    try:
        await task
    except (CancelledError, Exception):
        return


def _log_failure(task: Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("Task %s failed: %r.", task.get_name(), task.exception())
