"""Read-change-write of one object, with lost answers resolved."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._store.base import Store
from gypsummount._store.base import StoredObject
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable

MAX_TRIES = 8


@dataclass(slots=True, frozen=True)
class Written:
    """The value in force after an update and whether it was changed."""

    value: bytes
    changed: bool


async def write_once(
    store: Store, known: StoredObject | None, name: str, value: bytes
) -> None:
    """Write against the version read before; resolve a lost answer.

    The value must be unique to the writer, so that reading it back
    proves that the write took effect.

    :raises StoreConflict: when another writer was first.
    :raises StoreUnavailable: when the outcome cannot be found out.
    """
    try:
        if known is None:
            await store.create(name, value)
        else:
            await store.replace(name, value, known.version)
    except (StoreUnavailable, StoreConflict):
        # A repeated call may meet the effect of an earlier one whose
        # answer was lost, so a conflict is checked in the same way.
        current = await store.get(name)
        if current is None or current.value != value:
            raise


async def update_object(
    store: Store,
    name: str,
    change: Callable[[bytes | None], bytes | None],
) -> Written:
    """Apply a change until it is written or turns out not to be needed.

    ``change`` gets the present value and returns the new one, or None
    to leave it.

    :raises StoreConflict: after :data:`MAX_TRIES` lost races.
    :raises StoreUnavailable: when the store does not answer.
    """
    for _ in range(MAX_TRIES):
        known = await store.get(name)
        old = known.value if known else None
        new = change(old)
        if new is None:
            return Written(old or b"", False)
        try:
            await write_once(store, known, name, new)
        except StoreConflict:
            continue
        return Written(new, True)
    raise StoreConflict(
        f"'{name}' is written by many at once; try again in a moment"
    )
