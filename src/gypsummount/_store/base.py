"""Abstract interface to the versioned object store."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object's value and the version that the store assigned to it."""

    name: str
    version: str
    value: bytes


class Store(ABC):
    """Versioned objects with conditional writes and watches.

    Each call ends within a time limit.  Every method raises
    :class:`gypsummount.errors.StoreUnavailable` when the store does not
    answer in time.  A write may have taken effect even so.
    """

    @abstractmethod
    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    @abstractmethod
    async def create(self, name: str, value: bytes) -> str:
        """Create an object if it is absent and return its version.

        :raises StoreConflict: when the object exists.
        """

    @abstractmethod
    async def replace(self, name: str, value: bytes, version: str) -> str:
        """Write if the version matches; return the new version.

        :raises StoreConflict: when the object has another version.
        """

    @abstractmethod
    async def delete(self, name: str, version: str) -> None:
        """Delete an object if the version matches.

        :raises StoreConflict: when the object has another version.
        """

    @abstractmethod
    async def watch(
        self, name: str, version: str | None
    ) -> StoredObject | None:
        """Wait until an object differs from a version and return it.

        The version None means that the object was absent.  If the wait
        times out without a change, the result is None for an object that
        is still absent; otherwise it has the given version, and its value
        may be empty.  The time-out bounds how long a caller waits on a
        connection that has gone silent.
        """

    @abstractmethod
    async def list_names(self, prefix: str) -> list[str]:
        """Return the names of all objects with a prefix, sorted."""

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""
