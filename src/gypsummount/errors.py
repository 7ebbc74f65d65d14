"""Exceptions with stable error codes, shared by all programs."""

from enum import Enum


class Outcome(Enum):
    """Whether a request has run, as far as is known."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"


class GypsummountError(Exception):
    """Base of all errors; the message says how to resolve the error.

    ``code`` identifies the kind of error to callers and operators.
    """

    code = "internal"


class ConfigError(GypsummountError):
    """A rule file or a rule in it is invalid."""

    code = "config_invalid"


class SettingError(GypsummountError):
    """A flag or environment variable has an invalid value."""

    code = "setting_invalid"


class StoreError(GypsummountError):
    """Base of the errors of access to the object store."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """The store did not answer in time; a write may have been done."""

    code = "store_unavailable"


class StoreConflict(StoreError):
    """The stored object has another version than the expected one."""

    code = "store_conflict"


class HistoryDiscarded(StoreError):
    """The store has discarded changes after the requested revision."""

    code = "history_gone"


class RecordInvalid(GypsummountError):
    """A stored object cannot be parsed; it may be another program's."""

    code = "record_invalid"


class CallerDisconnected(GypsummountError):
    """The caller has closed its connection, so no answer is needed."""

    code = "caller_left"


class RequestError(GypsummountError):
    """Base of errors that callers get instead of an upstream's answer.

    Subclasses set the HTTP status, the code and the outcome.
    ``retry_after_s`` is sent as the header ``Retry-After``; None omits
    the header.
    """

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None


class KeyMissing(RequestError):
    """A request to a keyed route has no key."""

    code = "key_missing"
    status = 401


class KeyRefused(RequestError):
    """The key was never granted, has expired or was withdrawn."""

    code = "key_refused"
    status = 403


class KeyStale(RequestError):
    """The instance has been without key updates for too long.

    It may have missed the withdrawal of a key.
    """

    code = "key_stale"
    status = 503
    retry_after_s = 5


class RouteNotFound(RequestError):
    """No route matches the path and method."""

    code = "route_missing"
    status = 404


class RequestInvalid(RequestError):
    """The request is malformed."""

    code = "request_invalid"
    status = 400


class InstanceBusy(RequestError):
    """The instance is overloaded and sheds requests."""

    code = "instance_busy"


class RateExceeded(RequestError):
    """No token of the workspace's rate was available before the deadline."""

    code = "rate_exceeded"
    status = 429
    retry_after_s = 1


class NoCapacity(RequestError):
    """No upstream had a free slot before the deadline."""

    code = "no_capacity"
    status = 503
    retry_after_s = 1


class PeerUnreachable(NoCapacity):
    """A peer could not be reached, so the request was not sent to it."""

    code = "peer_unreachable"


class NotReady(RequestError):
    """The instance has no configuration yet."""

    code = "not_ready"
    status = 503
    retry_after_s = 1


class ConfigurationChanged(RequestError):
    """The request was admitted under a configuration now out of force.

    It belongs to another workspace now, or has fewer home regions.
    """

    code = "configuration_changed"
    retry_after_s = 0.02


class InstanceLeaving(RequestError):
    """The instance stops before the request is sure to have ended."""

    code = "instance_leaving"
    retry_after_s = 0.02


class OutcomeTableFull(RequestError):
    """The table of outcomes is full, so it accepts no new idempotency key."""

    code = "outcome_table_full"
    status = 503
    retry_after_s = 2


class ClaimUnavailable(RequestError):
    """An unbound idempotency key could not be claimed.

    This attempt did not run, but an earlier one with the same key may
    have, so the outcome of the key is unknown.
    """

    code = "claim_unavailable"
    status = 503
    outcome = Outcome.UNKNOWN
    retry_after_s = 2


class IdempotencyKeyReused(RequestError):
    """Two different requests have the same idempotency key."""

    code = "idempotency_key_reused"
    status = 409


class OutcomeUnknown(RequestError):
    """The request may have run, so it is not run again."""

    code = "outcome_unknown"
    status = 504
    outcome = Outcome.UNKNOWN


class UpstreamFailed(RequestError):
    """An upstream failed after the request was sent."""

    code = "upstream_failed"
    status = 502
    outcome = Outcome.UNKNOWN


# Classes by code, which turn the error in a peer's reply into an exception.
REQUEST_ERRORS: dict[str, type[RequestError]] = {
    error_class.code: error_class
    for error_class in (
        KeyMissing,
        KeyRefused,
        KeyStale,
        RouteNotFound,
        RequestInvalid,
        RateExceeded,
        NoCapacity,
        PeerUnreachable,
        NotReady,
        OutcomeTableFull,
        ClaimUnavailable,
        IdempotencyKeyReused,
        OutcomeUnknown,
        UpstreamFailed,
    )
}
