"""Interface by which a request gets an upstream and returns it."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import IntEnum

from gypsummount._edge.backends import Need
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import LoadReport


class ExchangeEnd(IntEnum):
    """How an exchange ended."""

    # Nothing was sent, or nothing is known about the upstream.
    UNKNOWN = 0
    # The upstream stated that it did not run the request.
    REFUSED = 1
    SUCCEEDED = 2
    # The answer was a server error.
    FAILED = 3
    # The exchange broke after the send: the upstream may have restarted.
    BROKEN = 4
    # No connection could be opened, or a due answer did not come.
    UNANSWERED = 5


@dataclass(slots=True, frozen=True)
class ExchangeResult:
    """What an exchange showed about its upstream.

    ``duration_s`` is its duration.  ``load``, ``is_leaving`` and
    ``retry_after_s`` are what the answer stated, if there was one.
    """

    end: ExchangeEnd = ExchangeEnd.UNKNOWN
    duration_s: float = 0.0
    load: LoadReport | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None


class Selector(ABC):
    """Selects the upstream of each send."""

    @abstractmethod
    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Return an upstream with free capacity, or wait for one.

        :raises NoCapacity: when none becomes free in time.
        """

    @abstractmethod
    def check_capacity(self, need: Need, deadline: float) -> None:
        """Check that an upstream is expected to take a request in time.

        :raises NoCapacity: if none is, as far as is known here.
        """

    @abstractmethod
    def finish(self, pick: Pick, result: ExchangeResult) -> None:
        """Return an upstream after the exchange, with what it showed."""
