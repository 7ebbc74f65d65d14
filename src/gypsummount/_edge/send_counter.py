"""Counting of the proxy's sends for usage reports."""

from gypsummount._common.clocks import read_wall
from gypsummount._core.usage import estimate_wait
from gypsummount._core.usage import UsageCounts
from gypsummount._edge.admission import RequestContext
from gypsummount._edge.waiting import Pick


class SendCounter:
    """Counts each send of a workspace's request as soon as it is made.

    A send without a workspace is not counted.  One that the upstream
    states not to have executed is reverted.
    """

    def __init__(self, counts: UsageCounts) -> None:
        self._counts = counts

    def record_send(self, context: RequestContext, pick: Pick) -> None:
        """Count a send in the window in which it is expected to begin."""
        workspace = context.workspace
        if workspace is None:
            return
        load = pick.backend.load
        wait_s = estimate_wait(pick.load, load.record.slots, load.latency_s)
        context.usage_window = self._counts.record_send(
            workspace.name, read_wall() + wait_s
        )

    def record_not_run(self, context: RequestContext) -> None:
        """Revert the last send, as its answer proves that it did not run."""
        workspace = context.workspace
        if workspace is not None and context.usage_window is not None:
            self._counts.record_not_run(workspace.name, context.usage_window)
            context.usage_window = None
