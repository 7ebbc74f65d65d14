"""Interface through which the edge calls the endpoint of its duties."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Tells immediately before a send whether the lease is still held.
SendCheck = Callable[[], bool]


class DutyOutcome(Enum):
    """What is known of a duty call once it has ended."""

    # The endpoint executed the call.
    DONE = "done"
    # The endpoint has seen a higher token and did not execute the call.
    FENCED = "fenced"
    # The endpoint refused the call for its rate; it was not executed.
    OVERLOADED = "overloaded"
    # The call may be executed, now or later.
    UNKNOWN = "unknown"
    # The lease is not held any more, so nothing was sent.
    NOT_SENT = "not sent"


@dataclass(slots=True, frozen=True)
class DutyResult:
    """The outcome of a duty call.

    ``retry_after_s`` is the time (s) that the endpoint asked to wait, 0 if
    it did not, and ``reason`` is a short text for logs.
    """

    outcome: DutyOutcome
    reason: str = ""
    retry_after_s: float = 0.0


class DutyFeed(ABC):
    """Calls the endpoint of duties.

    A call ends within a time limit and never raises for a failed exchange.
    """

    @abstractmethod
    async def call(
        self,
        duty: str,
        holder: str,
        token: int,
        body: bytes,
        *,
        may_send: SendCheck,
    ) -> DutyResult:
        """Make one call of a duty as its holder.

        ``may_send`` is called when the connection is open, immediately
        before the request is written; if it returns False, nothing is sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the endpoint."""
