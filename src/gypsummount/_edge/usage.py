"""Usage counts of this instance, their exchange and their reporting."""

from asyncio import sleep
from contextlib import AsyncExitStack

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.clocks import read_wall
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._common.tasks import run_periodically
from gypsummount._common.tasks import start_task
from gypsummount._core.usage import UsageCounts
from gypsummount._core.usage import UsageRules
from gypsummount._core.usage_collection import SourceId
from gypsummount._core.usage_collection import SourceState
from gypsummount._core.usage_collection import UsageCollection
from gypsummount._core.usage_reports import UsageReports
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.duties import Duties
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.peers import Peers
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.usage_messages import ACK_MARK
from gypsummount._edge.usage_messages import AckMessage
from gypsummount._edge.usage_messages import COUNTS_MARK
from gypsummount._edge.usage_messages import CountsMessage
from gypsummount._edge.usage_messages import decode_ack
from gypsummount._edge.usage_messages import decode_counts
from gypsummount._edge.usage_messages import decode_news
from gypsummount._edge.usage_messages import encode_ack
from gypsummount._edge.usage_messages import encode_news
from gypsummount._edge.usage_messages import NEWS_MARK
from gypsummount._edge.usage_messages import UsageNews
from gypsummount._edge.usage_reporter import ReportEncoder
from gypsummount._edge.usage_reporter import UsageReporter
from gypsummount._edge.usage_sender import DUTY
from gypsummount._edge.usage_sender import UsageSender
from gypsummount.errors import RecordInvalid

SEND_PERIOD_S = 1.0
REPORT_PERIOD_S = 0.25
# Instances that are told of a recorded window.
MAX_NEWS_RECEIVERS = 512
# Sends of the last counts when the process stops, and the time between (s).
LAST_SENDS = 3
LAST_SEND_PERIOD_S = 0.06
INVALID_LINES_PER_S = 1.0

_log = get_logger("usage")


def build_rules(settings: DutySettings) -> UsageRules:
    """Return the rules of usage reports that the settings name."""
    return UsageRules(
        settings.report_window_s, settings.usage_off, settings.usage_delay_s
    )


class Usage:
    """Sends, collects and reports the usage of workspaces.

    ``counts`` is what the proxy counts into.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        incarnation: int,
        duties: Duties,
        peers: Peers,
        gossip: Gossip,
        encode_report: ReportEncoder,
        metrics: Metrics,
    ) -> None:
        rules = build_rules(settings.duties)
        own = SourceId(settings.instance, incarnation)
        self._own = own
        self._domain = settings.domain
        self._duties = duties
        self._peers = peers
        self._send = gossip.send
        self.counts = UsageCounts(rules, own.started_at)
        self._collection = UsageCollection(rules)
        self._reports = UsageReports(rules, own.started_at)
        self._sender = UsageSender(
            own, self.counts, duties, gossip.send, self._keep_counts
        )
        self._reporter = UsageReporter(
            duties.leases[DUTY],
            self._reports,
            self._collection,
            encode_report,
            self._send_news,
            metrics,
        )
        self._invalid_lines = LineLimiter(
            INVALID_LINES_PER_S, read_monotonic()
        )
        gossip.add_handler(COUNTS_MARK, self.receive_counts)
        gossip.add_handler(ACK_MARK, self.receive_ack)
        gossip.add_handler(NEWS_MARK, self.receive_news)

    def start(self, stack: AsyncExitStack) -> None:
        """Start the tasks; the stack stops them."""
        steps = (
            (self.exchange, SEND_PERIOD_S, "usage counts"),
            (self._reporter.record, REPORT_PERIOD_S, "usage records"),
            (self._reporter.deliver, REPORT_PERIOD_S, "usage reports"),
        )
        for step, period_s, name in steps:
            start_task(stack, run_periodically(step, period_s, name), name)

    async def exchange(self) -> None:
        """Send this instance's counts and observe who is live."""
        at = read_wall()
        self._observe(at)
        self.counts.close_windows(at)
        self._settle()
        self._sender.send_changes(self._build_news(), at)

    async def finish(self) -> None:
        """Send the last counts, as this instance serves no more."""
        self.counts.finish(read_wall())
        for _ in range(LAST_SENDS):
            self._sender.send_changes(self._build_news(), read_wall())
            if self._sender.is_acknowledged():
                return
            await sleep(LAST_SEND_PERIOD_S)

    def receive_counts(self, data: bytes, host: str) -> None:
        """Keep a part of a peer's counts and acknowledge it."""
        try:
            message = decode_counts(data)
        except RecordInvalid as error:
            self._log_invalid(host, error)
            return
        self._hear(message.news, host)
        part = message.part
        if not self._collection.receive(
            message.news.source, part, read_wall()
        ):
            self._log_invalid(host, f"window {part.window} is not current")
            return
        ack = AckMessage(
            self._build_news(), part.window, part.part, part.sequence
        )
        self._send(encode_ack(ack), host)

    def receive_ack(self, data: bytes, host: str) -> None:
        """Record that a receiver has a part of this instance's counts."""
        try:
            ack = decode_ack(data)
        except RecordInvalid as error:
            self._log_invalid(host, error)
            return
        self._hear(ack.news, host)
        self._sender.receive_ack(ack)

    def receive_news(self, data: bytes, host: str) -> None:
        """Apply which windows a peer knows; answer a new holder."""
        try:
            news = decode_news(data)
        except RecordInvalid as error:
            self._log_invalid(host, error)
            return
        self._hear(news, host)
        if news.wants_answer:
            self._send(encode_news(self._build_news()), host)

    def list_gauges(self) -> dict[str, float]:
        """Return the gauges of usage reports."""
        return {
            "usage_recorded_window": float(self._reports.recorded),
            "usage_settled_window": float(self._reports.settled),
            "usage_windows_kept": float(len(self.counts.list_windows())),
        }

    def _keep_counts(self, message: CountsMessage) -> None:
        self._collection.receive(self._own, message.part, read_wall())

    def _build_news(self, *, wants_answer: bool = False) -> UsageNews:
        return UsageNews(
            self._own,
            self._reports.recorded,
            self._reports.settled,
            wants_answer,
        )

    def _send_news(self, wants_answer: bool) -> None:
        """Tell the other instances which windows are recorded."""
        data = encode_news(self._build_news(wants_answer=wants_answer))
        candidate = self._duties.get_first_candidate(DUTY)
        hosts = {} if candidate is None else {candidate.host: None}
        for digest in self._peers.list_known()[:MAX_NEWS_RECEIVERS]:
            hosts[digest.host] = None
        for host in hosts:
            self._send(data, host)

    def _hear(self, news: UsageNews, host: str) -> None:
        if not self._reports.hear(news.recorded, news.settled, read_wall()):
            self._log_invalid(host, "a recorded window is not over")

    def _settle(self) -> None:
        settled = self._reports.settled
        self.counts.settle(settled)
        self._collection.settle(settled)

    def _observe(self, at: float) -> None:
        now = read_monotonic()
        live = {digest.name for digest in self._peers.list_live(now)}
        states = [SourceState(self._own, self._domain, at, True)]
        for known in self._peers.list_ages(now):
            digest = known.digest
            states.append(
                SourceState(
                    SourceId(digest.name, int(digest.incarnation)),
                    digest.domain,
                    at - known.age_s,
                    digest.name in live,
                    digest.phase == LEAVING,
                )
            )
        self._collection.observe(states, at)

    def _log_invalid(self, host: str, error: object) -> None:
        if self._invalid_lines.try_take(read_monotonic()):
            _log.warning(
                "Ignored a usage message from %s: %s",
                host,
                error,
                extra={"left_out": self._invalid_lines.dropped},
            )
