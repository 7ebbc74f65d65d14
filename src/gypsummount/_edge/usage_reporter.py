"""Recording and reporting of windows by the holder of the usage duty."""

from collections.abc import Callable
from collections.abc import Mapping

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.clocks import read_wall
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._core.usage_collection import UsageCollection
from gypsummount._core.usage_reports import Miss
from gypsummount._core.usage_reports import Report
from gypsummount._core.usage_reports import UsageReports
from gypsummount._edge.duties import DutyLease
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount.errors import RecordInvalid

# Time (s) until a write without an acknowledgement is repeated.
WRITE_RETRY_S = 1.0
# Instances named in the log of an incomplete window.
MAX_LOGGED_NAMES = 8

_log = get_logger("usage")

# Returns the body of the call that reports the counts of a window.
ReportEncoder = Callable[[int, Mapping[str, int]], bytes]
# Tells the other instances which windows are recorded.  The flag asks them
# for what they know.
NewsSender = Callable[[bool], None]


class UsageReporter:
    """Reports windows while the lease is held."""

    def __init__(
        self,
        lease: DutyLease,
        reports: UsageReports,
        collection: UsageCollection,
        encode: ReportEncoder,
        send_news: NewsSender,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._reports = reports
        self._collection = collection
        self._encode = encode
        self._send_news = send_news
        self._metrics = metrics
        self._token = 0
        self._next_write_at = float("-inf")
        lease.on_release = self._build_release

    async def record(self) -> None:
        """Decide the next windows and write them into the lease."""
        if not await self._hold():
            return
        at = read_wall()
        for miss in self._reports.step(self._collection, at):
            self._log_miss(miss)
        chosen = self._reports.choose(self._collection, at)
        if isinstance(chosen, Miss):
            self._log_miss(chosen)
        elif chosen is not None:
            await self._write(chosen)

    async def deliver(self) -> None:
        """Send the recorded report that is next, if any."""
        if not self._is_current():
            return
        report = self._reports.get_next_call(read_wall())
        if report is None:
            return
        body = self._encode(report.window, report.counts)
        result = await self._lease.call(body)
        if result.outcome is DutyOutcome.DONE:
            self._reports.record_done(report)
            self._metrics.count("usage.windows_reported")
            self._send_news(False)
            _log.info(
                "Usage window %d is reported.",
                report.window,
                extra={
                    "workspaces": len(report.counts),
                    "requests": sum(report.counts.values()),
                },
            )
        else:
            self._handle_failure(report, result)

    def _is_current(self) -> bool:
        is_held = self._lease.is_held(read_monotonic())
        return is_held and self._lease.token == self._token

    async def _hold(self) -> bool:
        """Return whether the lease is held, after a takeover if it is new."""
        if not self._lease.is_held(read_monotonic()):
            self._token = 0
            return False
        if self._lease.token != self._token:
            await self._take_over(self._lease.token)
        return self._is_current()

    async def _take_over(self, token: int) -> None:
        payload = self._lease.payload
        try:
            self._reports.take_over(payload, read_wall())
        except RecordInvalid as error:
            _log.warning("Windows that are over are not reported: %s", error)
        self._token = token
        _log.info("Usage reports continue here.", extra={"token": token})
        self._send_news(True)
        if not payload:
            # A successor tells by it that this fleet has been served.
            await self._lease.write_payload(self._reports.build_payload())

    async def _write(self, report: Report) -> None:
        if read_monotonic() < self._next_write_at:
            return
        token = self._token
        payload = self._reports.build_payload(report)
        is_written = await self._lease.write_payload(payload)
        if self._lease.token != token:
            # What the next takeover finds in the payload is reported.
            return
        if not is_written:
            self._next_write_at = read_monotonic() + WRITE_RETRY_S
            _log.warning(
                "Usage window %d is not recorded yet; it is written again.",
                report.window,
            )
            return
        self._reports.confirm(report)
        # Before the call: a restored store may lose the record.
        self._send_news(False)

    def _handle_failure(self, report: Report, result: DutyResult) -> None:
        is_retried = self._reports.record_failure(
            report, read_wall(), result.retry_after_s
        )
        if is_retried:
            self._metrics.count("usage.retries")
        _log.warning(
            "Usage window %d is not reported yet: %s.",
            report.window,
            result.outcome.value,
            extra={"reason": result.reason, "is_retried": is_retried},
        )

    def _build_release(self) -> str:
        return self._reports.build_payload()

    def _log_miss(self, miss: Miss) -> None:
        count = miss.last - miss.first + 1
        self._metrics.count(f"usage.windows_missed.{miss.reason.value}", count)
        extra: dict[str, object] = {"windows": count}
        if miss.coverage is not None:
            silent = miss.coverage.silent
            extra["missing"] = round(miss.coverage.missing, 3)
            extra["silent"] = ", ".join(silent[:MAX_LOGGED_NAMES])
            extra["silent_instances"] = len(silent)
        _log.warning(
            "Usage window %d is not reported: %s.",
            miss.last,
            miss.reason.value,
            extra=extra,
        )
