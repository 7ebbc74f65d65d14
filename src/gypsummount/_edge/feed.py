"""What the edge needs of the platform's store."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import Enum

from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.catalog import UpstreamRecord


class Kind(Enum):
    """The kinds of objects that an edge follows."""

    CATALOG = "catalog"
    UPSTREAM = "upstream"
    EVACUATION = "evacuation"
    ROLLOUT = "rollout"
    INSTANCE = "instance"


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """Where an instance's gossip is received (IP)."""

    name: str
    host: str


Value = Catalog | UpstreamRecord | RolloutOrder | InstanceRecord | None


@dataclass(slots=True, frozen=True)
class Record:
    """An object of the store; ``payload`` is its encoded form."""

    kind: Kind
    name: str
    revision: int
    payload: bytes
    is_deleted: bool = False


class Origin(Enum):
    """By which way records came."""

    LIST = "list"
    WATCH = "watch"
    COPY = "copy"


@dataclass(slots=True, frozen=True)
class Listing:
    """Records of a kind and the store's revision they stand for."""

    records: tuple[Record, ...]
    revision: int
    origin: Origin = Origin.LIST


class Feed(ABC):
    """Reads and follows the store.

    Every call ends within a time limit and raises
    :class:`gypsummount.errors.StoreUnavailable` when it failed.
    """

    @abstractmethod
    async def list(self, kind: Kind) -> Listing:
        """Return all records of a kind, by a linearizable read."""

    @abstractmethod
    async def watch(self, kind: Kind, revision: int, wait_s: float) -> Listing:
        """Return changes after a revision, or none after ``wait_s``.

        :raises HistoryGone: when the revision is too old to follow.
        """

    @abstractmethod
    async def write_rollout_state(
        self, order: RolloutOrder, state: str
    ) -> None:
        """Write the state of an order, unless the order has changed.

        :raises StoreConflict: when another writer came first.
        """

    @abstractmethod
    async def register(self, record: InstanceRecord) -> None:
        """Create or renew the record of an instance."""

    @abstractmethod
    def decode(self, record: Record) -> Value:
        """Return the value of a record.

        :raises RecordInvalid: when it cannot be read.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""
