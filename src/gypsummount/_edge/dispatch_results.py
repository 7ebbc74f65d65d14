"""What the exchanges of other instances tell a dispatcher."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.backends import Need
from gypsummount._edge.selection import Selection
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.waiting import Pick

# An upstream that refused a request gets no other one for this time.
REFUSED_PAUSE_S = 0.1


def record_result(
    selection: Selection,
    need: Need,
    pick: Pick,
    result: ExchangeResult,
) -> None:
    """Record the result of an exchange that another instance has made.

    One instance that cannot connect does not eject the upstream for the
    whole region: several failures in a row do.
    """
    now = read_monotonic()
    backend = pick.backend
    load = backend.load
    if result.end is ExchangeEnd.BROKEN:
        selection.record_broken_exchange(backend, now)
    if result.end in (ExchangeEnd.BROKEN, ExchangeEnd.UNANSWERED):
        load.record_fault(now)
    if result.end not in _ANSWERED:
        return
    load.record_answer(now)
    if result.is_leaving:
        load.hold.record_leaving()
    if result.retry_after_s is not None:
        load.hold.record_retry_after(now, result.retry_after_s)
    _record_load(selection, pick, result, now)
    if result.end is ExchangeEnd.SUCCEEDED:
        load.record_success(result.duration_s, need.object_hash)
        selection.record_latency(need, pick, result.duration_s)
    elif result.end is ExchangeEnd.FAILED:
        load.record_fault(now)


_ANSWERED = (ExchangeEnd.REFUSED, ExchangeEnd.SUCCEEDED, ExchangeEnd.FAILED)


def _record_load(
    selection: Selection,
    pick: Pick,
    result: ExchangeResult,
    now: float,
) -> None:
    backend = pick.backend
    report = result.load
    if report is not None:
        selection.record_load(backend, report, now)
    if result.end is not ExchangeEnd.REFUSED:
        return
    # One that refuses although it has free slots may take the next one.
    if report is None or (
        report.running + report.waiting >= backend.record.slots
    ):
        backend.load.record_refusal(now, REFUSED_PAUSE_S)
