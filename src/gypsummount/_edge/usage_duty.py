"""The usage duty of a process, which does nothing where not configured."""

from contextlib import AsyncExitStack

from gypsummount._common.metrics import Metrics
from gypsummount._edge.duties import Duties
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.peers import Peers
from gypsummount._edge.send_counter import SendCounter
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.usage import Usage
from gypsummount._edge.usage_reporter import ReportEncoder
from gypsummount._edge.usage_sender import DUTY


class UsageDuty:
    """Counting and reporting of usage, if the deployment has the duty.

    ``counter`` is what the proxy counts with, None without the duty.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        incarnation: int,
        duties: Duties,
        peers: Peers,
        gossip: Gossip,
        encode: ReportEncoder | None,
        metrics: Metrics,
    ) -> None:
        self._usage: Usage | None = None
        self.counter: SendCounter | None = None
        if encode is None or DUTY not in duties.leases:
            return
        self._usage = Usage(
            settings, incarnation, duties, peers, gossip, encode, metrics
        )
        self.counter = SendCounter(self._usage.counts)

    def start(self, stack: AsyncExitStack) -> None:
        """Start the tasks, if any; the stack stops them."""
        if self._usage is not None:
            self._usage.start(stack)

    async def finish(self) -> None:
        """Send the last counts, as this instance serves no more."""
        if self._usage is not None:
            await self._usage.finish()

    def list_gauges(self) -> dict[str, float]:
        """Return the gauges of usage reports, if any."""
        return {} if self._usage is None else self._usage.list_gauges()
