"""Watches on the agent's objects in the store."""

from asyncio import sleep
from collections.abc import Callable
from random import Random

from gypsummount._agent.documents import decode_config
from gypsummount._agent.documents import decode_drains
from gypsummount._agent.documents import decode_keys
from gypsummount._agent.documents import decode_ledger
from gypsummount._agent.documents import decode_rollouts
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

MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 0.9

_log = get_logger("watch")
Handler = Callable[[bytes | None, float], object]


class StoreWatcher:
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
        handler = self._get_handler(name)
        version: str | None = None
        must_read = True
        while True:
            started_at = read_monotonic()
            try:
                if must_read:
                    stored = await self._store.get(name)
                else:
                    stored = await self._store.watch(name, version)
            except StoreError as error:
                self._record_failure(error)
                await sleep(
                    self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )
                must_read = True
                continue
            self._state.record_store_answer()
            if stored is None:
                version = None
                must_read = False
                continue
            if stored.version != version or must_read:
                version = stored.version
                self._apply(name, handler, stored.value, started_at)
            must_read = False

    def _apply(
        self, name: str, handler: Handler, value: bytes, started_at: float
    ) -> None:
        try:
            handler(value, started_at)
        except (GypsummountError, ValueError, KeyError, TypeError) as error:
            _log.error(
                "Ignored object %s, whose content is not valid; the agent "
                "keeps the state it had before: %r.",
                name,
                error,
            )

    def _record_failure(self, error: StoreError) -> None:
        if self._state.record_store_failure():
            _log.warning("Lost the store: %s", error)

    def _get_handler(self, name: str) -> Handler:
        state = self._state
        handlers: dict[str, Handler] = {
            CONFIG_OBJECT: lambda value, _: state.apply_config(
                decode_config(value)
            ),
            KEYS_OBJECT: lambda value, _: state.apply_keys(decode_keys(value)),
            DRAINS_OBJECT: lambda value, _: state.apply_drains(
                decode_drains(value)
            ),
            ROLLOUTS_OBJECT: lambda value, _: state.apply_rollouts(
                decode_rollouts(value)
            ),
        }
        scope = name.removeprefix(LEDGER_PREFIX)
        return handlers.get(name) or (
            lambda value, started_at: state.apply_ledger(
                decode_ledger(scope, value), started_at
            )
        )
