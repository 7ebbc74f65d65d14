"""Interface through which the edge uses the platform's store."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import Enum

from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.lease_records import LeaseRecord
from gypsummount.errors import StoreUnavailable

NO_LEASES = "this store keeps no leases; configure no duties"


class Kind(Enum):
    """The kinds of store objects that an edge replicates."""

    CATALOG = "catalog"
    UPSTREAM = "upstream"
    EVACUATION = "evacuation"
    ROLLOUT = "rollout"
    INSTANCE = "instance"


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """Registration of an instance: its name and its IP for gossip."""

    name: str
    host: str


Value = Catalog | UpstreamRecord | RolloutOrder | InstanceRecord | None


@dataclass(slots=True, frozen=True)
class Record:
    """An object of the store; ``payload`` is its encoded value."""

    kind: Kind
    name: str
    revision: int
    payload: bytes
    is_deleted: bool = False


class Origin(Enum):
    """How records were received: by a list, a watch or a peer's copy."""

    LIST = "list"
    WATCH = "watch"
    COPY = "copy"


@dataclass(slots=True, frozen=True)
class Listing:
    """Records of a kind and the store revision that they reflect.

    The records are all records of the kind, or only those that changed
    after an earlier revision; whoever passes a listing states which.
    """

    records: tuple[Record, ...]
    revision: int
    origin: Origin = Origin.LIST


@dataclass(slots=True, frozen=True)
class LeaseReading:
    """The answer to a read of a lease; without a record there is none."""

    record: LeaseRecord | None
    era: int = 0


class StoreFeed(ABC):
    """Reads, watches and writes the store.

    Every call ends within a time limit.  A failed call raises
    :class:`gypsummount.errors.StoreUnavailable`.  ``era`` is that of the
    store's last response, 0 while the store sends none.
    """

    era: int = 0

    @abstractmethod
    async def list(self, kind: Kind) -> Listing:
        """Return all records of a kind, by a linearizable read."""

    @abstractmethod
    async def watch(self, kind: Kind, revision: int, wait_s: float) -> Listing:
        """Return changes after a revision, waiting up to ``wait_s``.

        The listing is empty if there were none in that time.

        :raises HistoryDiscarded: when the store has discarded changes after
            the revision.
        """

    @abstractmethod
    async def write_rollout_state(
        self, order: RolloutOrder, state: str
    ) -> None:
        """Write the state of an order, unless the order has changed.

        :raises StoreConflict: when another writer has changed it.
        """

    @abstractmethod
    async def register(self, record: InstanceRecord) -> None:
        """Create or replace the record of an instance."""

    async def read_lease(self, duty: str) -> LeaseReading:
        """Return the lease record of a duty, by a linearizable read.

        :raises RecordInvalid: when the record cannot be decoded.
        """
        raise StoreUnavailable(NO_LEASES)

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Write a lease record; return it with its new revision.

        A record with revision 0 is created; any other replaces the one with
        that revision.

        :raises StoreConflict: when the record exists or has been changed.
        """
        raise StoreUnavailable(NO_LEASES)

    @abstractmethod
    def decode(self, record: Record) -> Value:
        """Return the decoded value of a record.

        :raises RecordInvalid: when its payload cannot be decoded.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the store."""
