"""Leases of duties: which instance holds a duty, and with which token.

The store keeps one record for each duty, which is written by conditional
writes only.  The holder counts its lease from the time at which it sent
the acknowledged write; any other instance counts from the time at which
it received the last change that it saw.  A margin for clock drift lies
between them, so two instances never hold a lease at once, although their
clocks are not synchronised.

A restored store may show an older record while a newer holder still acts.
Therefore a record is taken only after this instance has known the era of
the store for the duration of a lease.
"""

from dataclasses import replace
from math import inf

from gypsummount._core.lease_actions import ActionKind
from gypsummount._core.lease_actions import LeaseAction
from gypsummount._core.lease_actions import LeaseEvent
from gypsummount._core.lease_attempts import LeaseAttempt
from gypsummount._core.lease_attempts import LeaseAttempts
from gypsummount._core.lease_records import LeaseRecord
from gypsummount._core.lease_timing import LeaseTiming
from gypsummount._core.lease_views import LeaseView


class LeaseMachine:
    """The lease of one duty, as one instance sees it; has no I/O.

    The owner performs what :meth:`decide` returns at once, one call at a
    time, and reports how each call ended by one of the ``record`` methods.
    """

    __slots__ = (
        "_attempts",
        "_barred_until",
        "_call_at",
        "_events",
        "_held_era",
        "_held_until",
        "_incarnation",
        "_name",
        "_payload",
        "_polled_at",
        "_rank",
        "_refusals",
        "_refused_token",
        "_release_until",
        "_sent_at",
        "_serial",
        "_timing",
        "_token",
        "_unknown_writes",
        "_view",
        "_wanted",
        "_was_held",
        "_was_holder",
        "duty",
        "written_serial",
    )

    def __init__(
        self,
        duty: str,
        name: str,
        incarnation: int,
        lease_s: float,
        now: float,
    ) -> None:
        self.duty = duty
        self._name = name
        self._incarnation = incarnation
        self._timing = LeaseTiming(lease_s)
        self._view = LeaseView(now)
        self._attempts = LeaseAttempts(name, incarnation)
        # The own lease, and what is written to its record.
        self._token = 0
        self._held_until = -inf
        self._held_era = 0
        self._was_held = False
        self._sent_at = -inf
        self._unknown_writes = 0
        self._payload = ""
        self._wanted: str | None = None
        self._serial = 0
        self.written_serial = 0
        self._refusals = 0
        self._refused_token = 0
        self._release_until = -inf
        # The part as a candidate.
        self._rank: int | None = None
        self._was_holder = False
        self._barred_until = -inf
        self._call_at = -inf
        self._polled_at = -inf
        self._events: list[LeaseEvent] = []

    @property
    def token(self) -> int:
        """Return the token of the lease that was held last, or 0."""
        return self._token

    @property
    def payload(self) -> str:
        """Return the payload that was written or read last."""
        return self._payload

    @property
    def is_releasing(self) -> bool:
        """Tell whether a release is still to be written."""
        return self._release_until > -inf

    def is_held(self, now: float) -> bool:
        """Tell whether this instance holds the lease."""
        return now < self._held_until

    def take_events(self) -> list[LeaseEvent]:
        """Return and forget the changes since the last call."""
        events = self._events
        self._events = []
        return events

    def set_rank(self, rank: int | None) -> None:
        """Set the rank as a candidate: 0, 1 or None for no candidate."""
        self._rank = rank

    def set_payload(self, payload: str) -> int:
        """Set the payload of the next write.

        The payload is in the store when ``written_serial`` has reached the
        returned number.
        """
        self._serial += 1
        self._wanted = payload
        return self._serial

    def begin_release(self, now: float, payload: str | None = None) -> None:
        """Stop to hold the lease, and have the release written."""
        if self.is_held(now):
            if payload is not None:
                self.set_payload(payload)
            self._release_until = self._held_until
            self._end_hold(now, LeaseEvent.RELEASED)

    def record_refusal(self, token: int, now: float) -> None:
        """Give up a lease for whose token a call was refused."""
        if token != self._token or token == self._refused_token:
            return
        self._refused_token = token
        self._refusals += 1
        if self.is_held(now):
            self._release_until = self._held_until
        self._end_hold(now, LeaseEvent.REFUSED)

    def record_execution(self, token: int) -> None:
        """Record that the endpoint executed a call with a token."""
        if token == self._token:
            self._refusals = 0

    def observe_era(self, era: int, now: float) -> None:
        """Record the era of a response of the store.

        Writes of an earlier era do not count any more: they may be executed
        in the new one, in which others may hold the lease.
        """
        if self._view.observe_era(era, now):
            self._attempts.clear()

    def poll_early(self, now: float) -> None:
        """Read soon, as the holder has announced that it leaves."""
        if self._rank == 0:
            early_s = self._timing.get_poll_period(0) - self._timing.retry_s
            self._polled_at = min(self._polled_at, now - early_s)

    def decide(self, now: float) -> LeaseAction:
        """Return what to do now."""
        if self._was_held and not self.is_held(now):
            self._end_hold(now, LeaseEvent.LOST)
        if self.is_releasing:
            return self._decide_release(now)
        if self.is_held(now):
            return self._decide_renewal(now)
        if self._rank is None and not self._may_resume():
            return LeaseAction(ActionKind.WAIT)
        return self._decide_takeover(now)

    def record_reading(
        self, record: LeaseRecord | None, era: int, now: float
    ) -> None:
        """Record a read of the record, which may not exist."""
        if era < self._view.era:
            self._delay_call(now)
            return
        self.observe_era(era, now)
        self._unknown_writes = 0
        attempt = self._attempts.find(record) if record is not None else None
        if attempt is not None:
            self._accept(attempt, record, now)
            return
        is_changed = self._view.observe_read(record, now)
        if is_changed and record is not None:
            self._observe_other(record, now)

    def record_written(self, record: LeaseRecord, now: float) -> None:
        """Record that a write was acknowledged, with its new revision."""
        attempt = self._attempts.find(record)
        self.observe_era(record.era, now)
        if attempt is None or record.era != attempt.record.era:
            self._view.is_outdated = True
            return
        self._accept(attempt, record, now)

    def record_conflict(self, now: float) -> None:
        """Record that a write was refused for its revision."""
        self._view.is_outdated = True
        self._call_at = now

    def record_unknown(self, now: float, *, is_write: bool) -> None:
        """Record a call without a usable answer.

        A renewal is repeated once at the known revision before the record
        is read, in case the record does not exist any more.
        """
        self._delay_call(now)
        if is_write:
            self._unknown_writes += 1
            if self._unknown_writes > 1 or not self.is_held(now):
                self._view.is_outdated = True

    def _delay_call(self, now: float) -> None:
        delay_s = self._timing.retry_s
        if not self.is_held(now) and not self.is_releasing:
            delay_s = self._timing.get_poll_period(self._rank)
        self._call_at = now + delay_s

    def _decide_release(self, now: float) -> LeaseAction:
        is_over = not self._view.is_outdated and not self._owns_record()
        if now >= self._release_until or is_over:
            self._release_until = -inf
            self._wanted = None
            return LeaseAction(ActionKind.WAIT, now)
        if now < self._call_at:
            return LeaseAction(ActionKind.WAIT, self._call_at)
        if self._view.is_outdated:
            return LeaseAction(ActionKind.READ)
        return self._write(replace(self._view.record, is_released=True), now)

    def _decide_renewal(self, now: float) -> LeaseAction:
        is_pending = self._unknown_writes > 0 or self._wanted is not None
        is_urgent = is_pending or self._view.is_outdated
        due_at = self._call_at
        if not is_urgent and self._owns_record():
            due_at = max(due_at, self._sent_at + self._timing.renewal_s)
        if now < due_at:
            return LeaseAction(ActionKind.WAIT, min(due_at, self._held_until))
        if self._view.is_outdated:
            return LeaseAction(ActionKind.READ)
        if self._owns_record():
            return self._write(self._view.record, now)
        # The store was restored.  Nobody else can hold the lease in its new
        # era before the own lease has expired.
        return self._take(now)

    def _decide_takeover(self, now: float) -> LeaseAction:
        if now < self._call_at:
            return LeaseAction(ActionKind.WAIT, self._call_at)
        take_at = inf if self._view.is_outdated else self._find_take_time()
        if now >= take_at:
            return self._take(now)
        poll_at = -inf
        if not self._view.is_outdated:
            period_s = self._timing.get_poll_period(self._rank)
            poll_at = self._polled_at + period_s
        if now >= poll_at:
            self._polled_at = now
            return LeaseAction(ActionKind.READ)
        return LeaseAction(ActionKind.WAIT, min(take_at, poll_at))

    def _find_take_time(self) -> float:
        """Return from when on this candidate may take the lease."""
        if self._may_resume():
            return -inf
        view = self._view
        wait_s = self._timing.wait_s
        start_at = view.changed_at + self._timing.get_stagger(self._rank)
        if view.record is None or not view.record.is_released:
            start_at += wait_s
        return max(start_at, self._barred_until, view.era_since + wait_s)

    def _may_resume(self) -> bool:
        """Tell whether nobody else has held it since the lease expired.

        A former holder then needs no rank to take it again.
        """
        return self._owns_record() and self._token != self._refused_token

    def _owns_record(self) -> bool:
        """Tell whether the record is that of the own last lease."""
        record = self._view.record
        return (
            record is not None
            and self._attempts.is_own(record)
            and record.token == self._token
            and record.era == self._held_era
            and not record.is_released
        )

    def _take(self, now: float) -> LeaseAction:
        view = self._view
        record = view.record
        if record is not None:
            self._refusals = max(self._refusals, record.refusals)
        token = view.choose_token(self._refusals)
        if token is None:
            self._events.append(LeaseEvent.EXHAUSTED)
            self._call_at = now + self._timing.lease_s
            return LeaseAction(ActionKind.WAIT, self._call_at)
        taken = LeaseRecord(
            self.duty,
            self._name,
            self._incarnation,
            token,
            0,
            False,
            self._payload,
            view.revision,
            view.era,
        )
        return self._write(taken, now)

    def _write(self, record: LeaseRecord, now: float) -> LeaseAction:
        payload = self._payload if self._wanted is None else self._wanted
        record = replace(record, payload=payload, refusals=self._refusals)
        self._sent_at = now
        return LeaseAction(
            ActionKind.WRITE,
            now,
            self._attempts.add(record, now, self._serial),
        )

    def _accept(
        self, attempt: LeaseAttempt, record: LeaseRecord, now: float
    ) -> None:
        """Apply an own write that is known to be executed.

        The other attempts depend on the revision that this one replaced.
        """
        self._attempts.clear()
        self._unknown_writes = 0
        self._view.observe_written(record, now)
        self._payload = record.payload
        self.written_serial = attempt.serial
        if self._serial == attempt.serial:
            self._wanted = None
        if record.is_released or record.token == self._refused_token:
            return
        is_new = record.token != self._token
        self._token = record.token
        self._held_era = record.era
        if self.is_releasing:
            return
        expires_at = attempt.sent_at + self._timing.held_s
        self._held_until = max(self._held_until, expires_at)
        if not self.is_held(now):
            return
        if is_new or not self._was_held:
            self._events.append(LeaseEvent.ACQUIRED)
        self._was_held = True
        self._was_holder = True

    def _observe_other(self, record: LeaseRecord, now: float) -> None:
        """Apply a changed record that no known own write explains.

        One with a lower token than that of the held lease was written
        without knowledge of it, so its writer does not hold the lease.  A
        former holder is barred for a lease from when it sees another
        one, so that the duty does not alternate between two instances.
        """
        if not self.is_held(now):
            self._payload = record.payload
        if record.holder == self._name:
            self._was_holder = True
            return
        is_newer = record.token > self._token
        if self.is_held(now) and record.era == self._held_era and is_newer:
            self._end_hold(now, LeaseEvent.LOST)
        if self._was_holder and not self.is_held(now):
            self._was_holder = False
            barred_until = now + self._timing.wait_s
            self._barred_until = max(self._barred_until, barred_until)

    def _end_hold(self, now: float, event: LeaseEvent) -> None:
        self._events.append(event)
        self._held_until = -inf
        self._was_held = False
        self._barred_until = now + self._timing.wait_s
        if not self.is_releasing:
            self._wanted = None
