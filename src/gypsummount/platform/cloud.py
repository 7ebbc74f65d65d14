"""Client of the platform's endpoint for duties."""

from typing import final
from urllib.parse import quote

from gypsummount._core.sanitizing import Header
from gypsummount._core.send_holds import parse_retry_after
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.duty_feed import SendCheck
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import GypsummountError

CALL_TIMEOUT_S = 2.0
HOLDER_HEADER = "Gypsummount-Duty-Holder"
TOKEN_HEADER = "Gypsummount-Fencing-Token"
RETRY_HEADER = "retry-after"
DONE_STATUSES = (200, 201, 202, 204)


class _SendRefused(GypsummountError):
    """The check before the send has failed."""

    code = "send_refused"


@final
class CloudClient(DutyFeed):
    """Calls the endpoint over one pooled connection.

    A call is never repeated here, as it may be executed although no
    response came.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address)

    async def call(
        self,
        duty: str,
        holder: str,
        token: int,
        body: bytes,
        *,
        may_send: SendCheck,
    ) -> DutyResult:
        """Post the body to the path of the duty."""
        request = UpstreamRequest(
            "POST",
            f"/{quote(duty, safe='')}",
            (
                Header("Content-Type", "application/json"),
                Header(HOLDER_HEADER, holder),
                Header(TOKEN_HEADER, str(token)),
            ),
            body,
            "",
        )

        def build(_: float) -> UpstreamRequest:
            if not may_send():
                raise _SendRefused("the lease is not held any more")
            return request

        try:
            answer = await self._pool.build_and_send(
                build, CALL_TIMEOUT_S, repeatable=False
            )
        except _SendRefused as error:
            return DutyResult(DutyOutcome.NOT_SENT, f"{error}")
        except ExchangeError as error:
            return DutyResult(DutyOutcome.UNKNOWN, f"{error}")
        return _read_result(answer)

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        self._pool.close()


def _read_result(answer: UpstreamAnswer) -> DutyResult:
    status = answer.status
    reason = f"the endpoint answered with status {status}"
    if status in DONE_STATUSES:
        return DutyResult(DutyOutcome.DONE, reason)
    if status == 409:
        return DutyResult(DutyOutcome.FENCED, reason)
    if status == 429:
        return DutyResult(
            DutyOutcome.OVERLOADED, reason, _read_retry_after(answer)
        )
    return DutyResult(DutyOutcome.UNKNOWN, reason)


def _read_retry_after(answer: UpstreamAnswer) -> float:
    for header in answer.headers:
        if header.name.lower() == RETRY_HEADER:
            return parse_retry_after(header.value) or 0.0
    return 0.0
