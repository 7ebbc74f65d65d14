"""The object store as the system uses it."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class StoredObject:
    """A value with the version that the store gave it."""

    name: str
    version: str
    value: bytes


class Store(ABC):
    """Versioned objects with conditional writes and watches.

    Each call ends within a time limit.  Every method raises
    :class:`gypsummount.errors.StoreUnavailable` when no answer came in
    time; a write may then have taken effect.
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
        """Write if the version still matches; return the new version.

        :raises StoreConflict: when the object has another version.
        """

    @abstractmethod
    async def delete(self, name: str, version: str) -> None:
        """Delete an object if the version still matches.

        :raises StoreConflict: when the object has another version.
        """

    @abstractmethod
    async def watch(
        self, name: str, version: str | None
    ) -> StoredObject | None:
        """Wait until an object differs from a version and return it.

        When the wait ends without a change, the result has the version
        that was given and its value may be left empty.  So a caller
        never waits on a silent connection longer than the watch limit.
        """

    @abstractmethod
    async def list_names(self, prefix: str) -> list[str]:
        """Return the names of all objects with a prefix, sorted."""

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""
