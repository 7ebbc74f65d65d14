"""Read-modify-write of an object; resolves writes with a lost answer."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._store.base import Store
from gypsummount._store.base import StoredObject
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable

MAX_ATTEMPTS = 8


@dataclass(slots=True, frozen=True)
class UpdateResult:
    """The value after an update and whether the update changed it.

    The value is empty if there is no object.
    """

    value: bytes
    changed: bool


async def write_and_confirm(
    store: Store, previous: StoredObject | None, name: str, value: bytes
) -> None:
    """Write an object unless it has changed since it was read.

    If the answer to the write is lost, the object is read back to see
    whether the write took effect.  The value must therefore be unique
    to the writer.

    :raises StoreConflict: when another writer changed the object first.
    :raises StoreUnavailable: when the outcome remains unknown.
    """
    try:
        if previous is None:
            await store.create(name, value)
        else:
            await store.replace(name, value, previous.version)
    except (StoreUnavailable, StoreConflict):
        # A conflict can stem from an earlier attempt of the same write
        # whose answer was lost, so it is confirmed in the same way.
        current = await store.get(name)
        if current is None or current.value != value:
            raise


async def update_object(
    store: Store,
    name: str,
    change: Callable[[bytes | None], bytes | None],
) -> UpdateResult:
    """Change an object; retry when another writer was faster.

    ``change`` gets the current value (None if there is no object) and
    returns the new value, or None if no change is needed.

    :raises StoreConflict: after :data:`MAX_ATTEMPTS` conflicts.
    :raises StoreUnavailable: when the store does not answer.
    """
    for _ in range(MAX_ATTEMPTS):
        previous = await store.get(name)
        old = previous.value if previous else None
        new = change(old)
        if new is None:
            return UpdateResult(old or b"", False)
        try:
            await write_and_confirm(store, previous, name, new)
        except StoreConflict:
            continue
        return UpdateResult(new, True)
    raise StoreConflict(
        f"'{name}' is changed by many writers at once; try again in a moment"
    )
