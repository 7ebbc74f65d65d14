"""The task that holds or seeks the lease of each duty of an instance."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._core.duty_leases import LeaseMachine
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.duty_feed import DutyResult
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.store_feed import StoreFeed


@dataclass(slots=True, frozen=True)
class DutyPeer:
    """Name and IP of an instance that has a part in a duty.

    ``token`` is the announced token of a holder, 0 for a candidate.
    """

    name: str
    host: str
    region: str
    token: int = 0


class DutyLease:
    """The lease of one duty, as those that carry out the duty use it.

    ``on_release`` returns the payload that the write of a planned release
    contains; if it is None, the last payload is kept.
    """

    def __init__(
        self, machine: LeaseMachine, store: StoreFeed, feed: DutyFeed
    ) -> None:
        self.duty = machine.duty
        self.on_release: Callable[[], str] | None = None

    def is_held(self, now: float) -> bool:
        """Tell whether this instance holds the lease (boot clock, s)."""
        raise NotImplementedError

    @property
    def token(self) -> int:
        """Return the fencing token, 0 while the lease is not held."""
        raise NotImplementedError

    @property
    def payload(self) -> str:
        """Return the payload of the last acknowledged or read record.

        After a takeover it is what the previous holder wrote last.
        """
        raise NotImplementedError

    async def write_payload(self, payload: str) -> bool:
        """Write a payload at once, in the record of the lease.

        Return whether the write was acknowledged while the lease is held.
        After False the payload may or may not be in the store; a later
        renewal repeats the newest one.
        """
        raise NotImplementedError

    async def call(self, body: bytes) -> DutyResult:
        """Make one call of the duty, if the lease is held.

        Calls are made one at a time.  A fenced call gives up the lease.
        """
        raise NotImplementedError


class Duties:
    """Owns the leases of all configured duties of an instance."""

    leases: dict[str, DutyLease]

    def __init__(
        self, settings: DutySettings, store: StoreFeed, feed: DutyFeed
    ) -> None:
        raise NotImplementedError

    def get_holder(self, duty: str) -> DutyPeer | None:
        """Return the holder of a duty with the highest announced token.

        This instance itself is returned while it holds the lease.
        """
        raise NotImplementedError

    def get_first_candidate(self, duty: str) -> DutyPeer | None:
        """Return who takes over next, in another region if there is one.

        This instance itself is returned if it is the first candidate.
        """
        raise NotImplementedError
