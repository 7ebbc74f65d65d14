"""Typed errors with stable codes, shared by every program."""

from enum import Enum


class Outcome(Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"


class GypsummountError(Exception):
    """Base of all errors; the message names the remedy."""

    code = "internal"


class ConfigError(GypsummountError):
    """A rule file or a rule in it is not acceptable."""

    code = "config_invalid"


class SettingError(GypsummountError):
    """A flag or environment variable has a bad value."""

    code = "setting_invalid"


class StoreError(GypsummountError):
    """Base of the errors of the object store."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """The store did not answer in time; a write may have happened."""

    code = "store_unavailable"


class StoreConflict(StoreError):
    """The object has another version than the one expected."""

    code = "store_conflict"


class HistoryGone(StoreError):
    """The store no longer has the changes after a revision."""

    code = "history_gone"


class RecordInvalid(GypsummountError):
    """An object of the store cannot be read; another writer's, perhaps."""

    code = "record_invalid"


class CallerLeft(GypsummountError):
    """The caller has closed its connection; nobody awaits an answer."""

    code = "caller_left"


class RequestError(GypsummountError):
    """A request that the system answers itself.

    Every subclass fixes the HTTP status, the code and the outcome.
    """

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None


class KeyMissing(RequestError):
    """No key came with a request to a keyed route."""

    code = "key_missing"
    status = 401


class KeyRefused(RequestError):
    """The key is not granted, has ended or was withdrawn."""

    code = "key_refused"
    status = 403


class KeyStale(RequestError):
    """Key withdrawals may have been missed for too long."""

    code = "key_stale"
    status = 503
    retry_after_s = 5


class RouteMissing(RequestError):
    """No route matches the path and method."""

    code = "route_missing"
    status = 404


class RequestInvalid(RequestError):
    """The request itself is malformed."""

    code = "request_invalid"
    status = 400


class InstanceBusy(RequestError):
    """The instance has more requests than it has time for."""

    code = "instance_busy"


class RateExceeded(RequestError):
    """The workspace has no token left within the deadline."""

    code = "rate_exceeded"
    status = 429
    retry_after_s = 1


class NoCapacity(RequestError):
    """No upstream had a free slot within the deadline."""

    code = "no_capacity"
    status = 503
    retry_after_s = 1


class PeerUnreachable(NoCapacity):
    """A peer could not be reached, so nothing was sent to it."""

    code = "peer_unreachable"


class NotReady(RequestError):
    """The instance has no configuration yet."""

    code = "not_ready"
    status = 503
    retry_after_s = 1


class OutcomeTableFull(RequestError):
    """No idempotency key can be remembered at the moment."""

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


class KeyReuse(RequestError):
    """One idempotency key came with two different requests."""

    code = "idempotency_key_reused"
    status = 409


class OutcomeUnknown(RequestError):
    """The request may have run; it will not be run again."""

    code = "outcome_unknown"
    status = 504
    outcome = Outcome.UNKNOWN


class UpstreamFailed(RequestError):
    """An upstream failed after the request was sent."""

    code = "upstream_failed"
    status = 502
    outcome = Outcome.UNKNOWN


REQUEST_ERRORS: dict[str, type[RequestError]] = {
    kind.code: kind
    for kind in (
        KeyMissing,
        KeyRefused,
        KeyStale,
        RouteMissing,
        RequestInvalid,
        RateExceeded,
        NoCapacity,
        PeerUnreachable,
        NotReady,
        OutcomeTableFull,
        ClaimUnavailable,
        KeyReuse,
        OutcomeUnknown,
        UpstreamFailed,
    )
}
