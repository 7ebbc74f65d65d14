"""Watches on the agent's objects in the store."""

from asyncio import sleep
from collections.abc import Callable
from random import Random

from gypsummount._agent.documents import read_config
from gypsummount._agent.documents import read_drains
from gypsummount._agent.documents import read_keys
from gypsummount._agent.documents import read_ledger
from gypsummount._agent.documents import read_rollouts
from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.naming import CONFIG_OBJECT
from gypsummount._core.naming import DRAINS_OBJECT
from gypsummount._core.naming import KEYS_OBJECT
from gypsummount._core.naming import LEDGER_PREFIX
from gypsummount._core.naming import name_ledger_object
from gypsummount._core.naming import ROLLOUTS_OBJECT
from gypsummount._store.base import Store
from gypsummount.errors import GypsummountError
from gypsummount.errors import StoreError

RETRY_LOW_S = 0.3
RETRY_HIGH_S = 0.9

_log = get_logger("watch")
Take = Callable[[bytes | None, float], object]


class Watches:
    """Watches an agent's objects and applies their changes to its state."""

    def __init__(
        self, state: AgentState, store: Store, random: Random
    ) -> None:
        self._state = state
        self._store = store
        self._random = random

    def list_names(self, scopes: list[str]) -> list[str]:
        """Return the names of the objects to watch: documents and ledgers."""
        ledgers = [name_ledger_object(scope) for scope in scopes]
        return [
            CONFIG_OBJECT,
            KEYS_OBJECT,
            DRAINS_OBJECT,
            ROLLOUTS_OBJECT,
            *ledgers,
        ]

    async def follow(self, name: str) -> None:
        """Apply every change of one object; returns only when cancelled.

        After a failed call the object is read again after a random
        delay.
        """
        take = self._find_take(name)
        version: str | None = None
        is_first = True
        while True:
            began = read_monotonic()
            try:
                if is_first:
                    found = await self._store.get(name)
                else:
                    found = await self._store.watch(name, version)
            except StoreError as error:
                self._note_failure(error)
                await sleep(self._random.uniform(RETRY_LOW_S, RETRY_HIGH_S))
                is_first = True
                continue
            self._state.note_contact()
            if found is None:
                version = None
                is_first = False
                continue
            if found.version != version or is_first:
                version = found.version
                self._take(name, take, found.value, began)
            is_first = False

    def _take(self, name: str, take: Take, value: bytes, began: float) -> None:
        try:
            take(value, began)
        except (GypsummountError, ValueError, KeyError, TypeError) as error:
            _log.error(
                "Ignored object %s, whose content is not valid: %r.",
                name,
                error,
            )

    def _note_failure(self, error: StoreError) -> None:
        if self._state.note_no_contact():
            _log.warning("Lost the store: %s", error)

    def _find_take(self, name: str) -> Take:
        state = self._state
        takes: dict[str, Take] = {
            CONFIG_OBJECT: lambda value, _: state.take_config(
                read_config(value)
            ),
            KEYS_OBJECT: lambda value, _: state.take_keys(read_keys(value)),
            DRAINS_OBJECT: lambda value, _: state.take_drains(
                read_drains(value)
            ),
            ROLLOUTS_OBJECT: lambda value, _: state.take_rollouts(
                read_rollouts(value)
            ),
        }
        scope = name.removeprefix(LEDGER_PREFIX)
        return takes.get(name) or (
            lambda value, began: state.take_ledger(
                read_ledger(scope, value), began
            )
        )
