"""In-memory store for tests and for the stand-in store of the demo."""

from asyncio import Event
from asyncio import wait_for
from typing import final

from gypsummount._store.base import Store
from gypsummount._store.base import StoredObject
from gypsummount.errors import StoreConflict

WATCH_WAIT_S = 5.0


@final
class MemoryStore(Store):
    """Store within one process; a version is the number of its write."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._changed = Event()
        self._write_count = 0

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        return self._objects.get(name)

    async def create(self, name: str, value: bytes) -> str:
        """Create an object if it is absent and return its version.

        :raises StoreConflict: when the object exists.
        """
        if name in self._objects:
            raise _build_conflict(name)
        return self._put(name, value)

    async def replace(self, name: str, value: bytes, version: str) -> str:
        """Write if the version matches; return the new version.

        :raises StoreConflict: when the object has another version.
        """
        self._check_version(name, version)
        return self._put(name, value)

    async def delete(self, name: str, version: str) -> None:
        """Delete an object if the version matches.

        :raises StoreConflict: when the object has another version.
        """
        self._check_version(name, version)
        del self._objects[name]
        self._notify_watches()

    async def watch(
        self,
        name: str,
        version: str | None,
        wait_s: float = WATCH_WAIT_S,
    ) -> StoredObject | None:
        """Wait until an object differs from a version and return it.

        After ``wait_s`` seconds without a change, the unchanged object is
        returned, or None if it is still absent.
        """
        try:
            await wait_for(self._wait_for_change(name, version), wait_s)
        except TimeoutError:
            pass
        return self._objects.get(name)

    async def list_names(self, prefix: str) -> list[str]:
        """Return the names of all objects with a prefix, sorted."""
        return sorted(
            name for name in self._objects if name.startswith(prefix)
        )

    async def close(self) -> None:
        """Do nothing, since there are no connections to release."""

    async def _wait_for_change(self, name: str, version: str | None) -> None:
        while True:
            stored = self._objects.get(name)
            if (stored.version if stored else None) != version:
                return
            await self._changed.wait()

    def _put(self, name: str, value: bytes) -> str:
        self._write_count += 1
        version = f'"{self._write_count}"'
        self._objects[name] = StoredObject(name, version, value)
        self._notify_watches()
        return version

    def _check_version(self, name: str, version: str) -> None:
        stored = self._objects.get(name)
        if stored is None or stored.version != version:
            raise _build_conflict(name)

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = Event()


def _build_conflict(name: str) -> StoreConflict:
    return StoreConflict(
        f"'{name}' was changed by another writer; read it again"
    )
