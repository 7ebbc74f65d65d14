"""An event loop in virtual time, with instances that freeze and die."""

from asyncio import all_tasks
from asyncio import gather
from asyncio import SelectorEventLoop
from contextvars import ContextVar
from contextvars import copy_context
from selectors import SelectSelector

START_S = 1000.0
# Spacing that keeps deferred callbacks of a frozen instance in order.
ORDER_STEP_S = 1e-7

# The incarnation of an instance to which a callback belongs.
INCARNATION = ContextVar("incarnation", default=None)


class _JumpingSelector(SelectSelector):
    """Advances the clock to the next timer instead of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "the model is stuck: no timer or callback is scheduled"
            )
        self.loop.now += max(0.0, timeout)
        return []


class VirtualLoop(SelectorEventLoop):
    """An event loop whose time advances only between callbacks.

    Callbacks of a frozen incarnation are deferred until it resumes,
    those of a dead one are dropped.
    """

    def __init__(self):
        selector = _JumpingSelector()
        super().__init__(selector)
        self.now = START_S
        self._deferred = 0
        self._dropped = []
        self._is_shutting_down = False
        selector.loop = self

    def time(self):
        return self.now

    def call_soon(self, callback, *args, context=None):
        context = context or copy_context()
        return super().call_soon(
            self._run, context, callback, args, context=context
        )

    def call_at(self, when, callback, *args, context=None):
        context = context or copy_context()
        return super().call_at(
            when, self._run, context, callback, args, context=context
        )

    def _run(self, context, callback, args):
        incarnation = context.get(INCARNATION)
        if incarnation is None or self._is_shutting_down:
            callback(*args)
        elif not incarnation.is_alive:
            self._dropped.append((callback, args, context))
        elif incarnation.frozen_until <= self.now:
            callback(*args)
        else:
            self._defer(incarnation, context, callback, args)

    def _defer(self, incarnation, context, callback, args):
        self._deferred += 1
        when = incarnation.frozen_until + self._deferred * ORDER_STEP_S
        super().call_at(
            when, self._run, context, callback, args, context=context
        )

    def shut_down(self):
        """Cancel all tasks, also those of dead instances, and close."""
        self._is_shutting_down = True
        for callback, args, context in self._dropped:
            self.call_soon(callback, *args, context=context)
        tasks = all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run_until_complete(gather(*tasks, return_exceptions=True))
        self.close()
