"""The lease of one duty: the task that holds or seeks it."""

from asyncio import Event
from asyncio import Lock
from asyncio import sleep
from asyncio import timeout
from collections.abc import Callable

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._core.duty_leases import LeaseMachine
from gypsummount._core.lease_actions import ActionKind
from gypsummount._core.lease_actions import LeaseAction
from gypsummount._core.lease_actions import LeaseEvent
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import GypsummountError
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreError

MAX_PAYLOAD_BYTES = 256 * 1024
# Longest wait (s) of a planned release for the call in flight.
RELEASE_WAIT_S = 1.0
FAILED_STEP_PAUSE_S = 0.5
MAX_FAULT_LINES_PER_S = 0.2
EVENT_LINES = {
    LeaseEvent.ACQUIRED: "Holds duty '%s' with token %d.",
    LeaseEvent.LOST: "Lost duty '%s', held with token %d.",
    LeaseEvent.RELEASED: "Releases duty '%s', held with token %d.",
    LeaseEvent.REFUSED: (
        "Gave up duty '%s': the endpoint has seen a higher token than %d."
    ),
    LeaseEvent.EXHAUSTED: (
        "Cannot take duty '%s': no token is left after %d; delete its lease "
        "object."
    ),
}

_log = get_logger("duty")


class CallSlot:
    """The one call to the endpoint that may be in flight, and its rate."""

    def __init__(self, calls_per_s: float) -> None:
        self._interval_s = 1.0 / calls_per_s
        self._next_at = float("-inf")
        self.lock = Lock()

    async def wait_turn(self) -> None:
        """Wait until the next call is allowed; the lock is held."""
        delay_s = self._next_at - read_monotonic()
        if delay_s > 0:
            await sleep(delay_s)
        self._next_at = read_monotonic() + self._interval_s


class DutyLease:
    """The lease of one duty, as those that carry out the duty use it.

    ``on_release`` returns the payload that the write of a planned release
    contains; if it is None, the last payload is kept.  ``rank`` is this
    instance's rank as a candidate, None if it is none.
    """

    def __init__(
        self,
        machine: LeaseMachine,
        name: str,
        store: StoreFeed,
        feed: DutyFeed,
        slot: CallSlot,
        metrics: Metrics,
    ) -> None:
        self.duty = machine.duty
        self.on_release: Callable[[], str] | None = None
        self.rank: int | None = None
        self._machine = machine
        self._name = name
        self._store = store
        self._feed = feed
        self._slot = slot
        self._metrics = metrics
        self._payload_lock = Lock()
        self._wake = Event()
        self._progress = Event()
        self._is_stopping = False
        self._fault_lines = LineLimiter(
            MAX_FAULT_LINES_PER_S, read_monotonic()
        )

    def is_held(self, now: float) -> bool:
        """Tell whether this instance holds the lease (boot clock, s)."""
        return not self._is_stopping and self._machine.is_held(now)

    @property
    def token(self) -> int:
        """Return the fencing token, 0 while the lease is not held."""
        is_held = self.is_held(read_monotonic())
        return self._machine.token if is_held else 0

    @property
    def payload(self) -> str:
        """Return the payload of the last acknowledged or read record.

        After a takeover it is what the previous holder wrote last.
        """
        return self._machine.payload

    async def write_payload(self, payload: str) -> bool:
        """Write a payload at once, in the record of the lease.

        Return whether the write was acknowledged while the lease is held.
        After False the payload may or may not be in the store.  Payloads
        are written one at a time.
        """
        if len(payload.encode()) > MAX_PAYLOAD_BYTES:
            _log.error(
                "Payload of duty '%s' not written: more than %d bytes.",
                self.duty,
                MAX_PAYLOAD_BYTES,
            )
            return False
        async with self._payload_lock:
            if not self.is_held(read_monotonic()):
                return False
            serial = self._machine.set_payload(payload)
            self._wake.set()
            while self._machine.written_serial < serial:
                if not self.is_held(read_monotonic()):
                    return False
                await self._progress.wait()
            return self.is_held(read_monotonic())

    async def call(self, body: bytes) -> DutyResult:
        """Make one call of the duty, if the lease is held.

        Calls are made one at a time.  A fenced call gives up the lease.
        """
        async with self._slot.lock:
            await self._slot.wait_turn()
            token = self.token
            if not token:
                return DutyResult(DutyOutcome.NOT_SENT, "not held")
            result = await self._feed.call(
                self.duty,
                self._name,
                token,
                body,
                may_send=lambda: self.token == token,
            )
        self._metrics.count(f"duty.calls.{result.outcome.name.lower()}")
        if result.outcome is DutyOutcome.FENCED:
            self._machine.record_refusal(token, read_monotonic())
            self._wake.set()
        elif result.outcome is DutyOutcome.DONE:
            self._machine.record_execution(token)
        return result

    def set_rank(self, rank: int | None) -> None:
        """Set the rank as a candidate: 0, 1 or None for no candidate."""
        if rank != self.rank:
            self.rank = rank
            self._machine.set_rank(rank)
            self._wake.set()

    def poll_early(self) -> None:
        """Read the record soon, as its holder was seen to leave."""
        self._machine.poll_early(read_monotonic())
        self._wake.set()

    def stop(self) -> None:
        """Stop to hold the lease, and release it if it is held."""
        self._is_stopping = True
        self._wake.set()

    async def run(self) -> None:
        """Hold or seek the lease until it is released after a stop."""
        try:
            await self._advance()
        finally:
            self._progress.set()

    async def _advance(self) -> None:
        while True:
            now = read_monotonic()
            self._machine.observe_era(self._store.era, now)
            if self._is_stopping and not self._machine.is_releasing:
                if not self._machine.is_held(now):
                    return
                await self._begin_release()
            action = self._machine.decide(read_monotonic())
            self._report_events()
            self._progress.set()
            self._progress = Event()
            if action.kind is ActionKind.WAIT:
                await self._wait(action.until)
            else:
                await self._perform(action)

    async def _wait(self, until: float) -> None:
        """Wait for a time of the boot clock, or until woken."""
        delay_s = until - read_monotonic()
        limit_s = max(0.0, delay_s) if delay_s < float("inf") else None
        try:
            # asyncio.wait_for of Python 3.11 loses a cancellation that
            # coincides with the event.
            async with timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _begin_release(self) -> None:
        """Begin the release, once no call is in flight any more."""
        try:
            async with timeout(RELEASE_WAIT_S), self._slot.lock:
                pass
        except TimeoutError:
            _log.warning("Releases duty '%s' during a call.", self.duty)
        payload = self.on_release() if self.on_release is not None else None
        self._machine.begin_release(read_monotonic(), payload)

    async def _perform(self, action: LeaseAction) -> None:
        is_write = action.kind is ActionKind.WRITE
        try:
            if is_write:
                await self._write(action)
            else:
                await self._read()
        except StoreConflict:
            self._machine.observe_era(self._store.era, read_monotonic())
            self._machine.record_conflict(read_monotonic())
        except Exception as error:
            self._machine.record_unknown(read_monotonic(), is_write=is_write)
            self._log_fault(error)
            if not isinstance(error, StoreError):
                await sleep(FAILED_STEP_PAUSE_S)

    async def _write(self, action: LeaseAction) -> None:
        if action.record is None:
            return
        stored = await self._store.write_lease(action.record)
        self._machine.record_written(stored, read_monotonic())

    async def _read(self) -> None:
        reading = await self._store.read_lease(self.duty)
        self._machine.record_reading(
            reading.record, reading.era, read_monotonic()
        )

    def _log_fault(self, error: Exception) -> None:
        self._metrics.count("duty.store_failures")
        if not self._fault_lines.try_take(read_monotonic()):
            return
        is_expected = isinstance(error, GypsummountError)
        _log.warning(
            "The lease of duty '%s' was not read or written: %s",
            self.duty,
            error,
            exc_info=None if is_expected else error,
        )

    def _report_events(self) -> None:
        for event in self._machine.take_events():
            self._metrics.count(f"duty.{event.value}")
            is_normal = event in (LeaseEvent.ACQUIRED, LeaseEvent.RELEASED)
            log = _log.info if is_normal else _log.warning
            log(EVENT_LINES[event], self.duty, self._machine.token)
