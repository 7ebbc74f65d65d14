"""Changes by operators: configuration, keys, drains and rollouts."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex

from gypsummount._agent.documents import ConfigDocument
from gypsummount._agent.documents import decode_config
from gypsummount._agent.documents import decode_drains
from gypsummount._agent.documents import decode_keys
from gypsummount._agent.documents import decode_rollouts
from gypsummount._agent.documents import encode_document
from gypsummount._agent.documents import KeysDocument
from gypsummount._agent.rollout_controller import encode_rollout_update
from gypsummount._agent.state import AgentState
from gypsummount._config.checks import check_rules
from gypsummount._core.keys import create_key
from gypsummount._core.keys import GrantedKey
from gypsummount._core.naming import CONFIG_OBJECT
from gypsummount._core.naming import DRAINS_OBJECT
from gypsummount._core.naming import KEYS_OBJECT
from gypsummount._core.naming import ROLLOUTS_OBJECT
from gypsummount._core.rollouts import recall_rollout
from gypsummount._core.rollouts import RolloutState
from gypsummount._core.rollouts import start_rollout
from gypsummount._store.base import MAX_VALUE_BYTES
from gypsummount._store.base import Store
from gypsummount._store.updates import update_object
from gypsummount.errors import ConfigError
from gypsummount.errors import GypsummountError

# Random bytes of a writer; they make each written document unique.
WRITER_ID_BYTES = 8


class NotFound(GypsummountError):
    """The named workspace, upstream or rollout does not exist."""

    code = "not_found"


class SerialConflict(GypsummountError):
    """The configuration in force is not the one that was edited."""

    code = "serial_conflict"


@dataclass(slots=True, frozen=True)
class ApplyRequest:
    """A configuration to apply.

    ``base_serial`` is the serial of the configuration that was edited.
    ``writer`` identifies the request, so that a repetition is recognised.
    """

    text: str
    base_serial: int
    writer: str


class Operations:
    """Checks changes by operators and writes them to the store."""

    def __init__(self, state: AgentState, store: Store) -> None:
        self._state = state
        self._store = store

    async def apply(self, request: ApplyRequest) -> ConfigDocument:
        """Write a configuration and return the document in force.

        A request that the same writer repeats is applied once.

        :raises ConfigError: when it is not valid; nothing is written.
        :raises SerialConflict: when the base serial is not in force.
        :raises StoreError: when the store does not answer.
        """
        _check_config(request.text)

        def change(value: bytes | None) -> bytes | None:
            known = decode_config(value)
            if known.writer == request.writer and known.text == request.text:
                return None
            if known.serial != request.base_serial:
                raise SerialConflict(
                    f"configuration {known.serial} is in force, not "
                    f"{request.base_serial}; run 'gypsummount diff', then "
                    "apply again"
                )
            return encode_document(
                ConfigDocument(known.serial + 1, request.writer, request.text)
            )

        written = await update_object(self._store, CONFIG_OBJECT, change)
        document = decode_config(written.value)
        self._state.record_store_answer()
        self._state.apply_config(document)
        return document

    async def grant_key(
        self, workspace: str, asked_by: str, ends_at: float
    ) -> GrantedKey:
        """Grant a new key to a workspace.

        ``ends_at`` is in seconds since the epoch, zero for no end.

        :raises NotFound: when there is no such workspace.
        :raises StoreError: when the store does not answer.
        """
        if workspace not in self._state.rules.workspaces:
            raise NotFound(
                f"no workspace '{workspace}'; add a workspace rule first"
            )
        pepper = self._state.settings.pepper
        granted = create_key(
            workspace, pepper, asked_by=asked_by, ends_at=ends_at
        )

        def change(value: bytes | None) -> bytes | None:
            document = decode_keys(value)
            document.records.append(granted.record)
            return _encode_keys(document)

        await self._update_keys(change)
        return granted

    async def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key; withdrawing it twice is no error.

        :raises StoreError: when the store does not answer.
        """

        def change(value: bytes | None) -> bytes | None:
            document = decode_keys(value)
            remaining = [
                record
                for record in document.records
                if record.key_id != key_id
            ]
            if len(remaining) == len(document.records):
                return None
            document.records = remaining
            return _encode_keys(document)

        await self._update_keys(change)

    async def drain(self, server: str, *, restore: bool) -> None:
        """Drain an upstream, or let it get requests again.

        :raises NotFound: when no pool has the server.
        :raises StoreError: when the store does not answer.
        """
        pools = self._state.rules.pools.values()
        if not any(server in pool.servers for pool in pools):
            raise NotFound(
                f"no pool has the server '{server}'; see 'gypsummount status'"
            )

        def change(value: bytes | None) -> bytes | None:
            document = decode_drains(value)
            servers = set(document.servers)
            before = set(servers)
            servers.discard(server)
            if not restore:
                servers.add(server)
            if servers == before:
                return None
            document.servers = sorted(servers)
            document.serial += 1
            return encode_document(document)

        written = await update_object(self._store, DRAINS_OBJECT, change)
        self._state.record_store_answer()
        self._state.apply_drains(decode_drains(written.value))

    async def start_rollout(self, name: str) -> RolloutState:
        """Start a new attempt of a rollout.

        :raises NotFound: when there is no such rollout rule.
        :raises ChartError: while an attempt is moving.
        :raises StoreError: when the store does not answer.
        """
        return await self._change_rollout(name, start_rollout)

    async def recall_rollout(self, name: str) -> RolloutState:
        """Roll back a rollout that is moving.

        :raises NotFound: when there is no such rollout rule.
        :raises ChartError: unless an attempt is moving.
        :raises StoreError: when the store does not answer.
        """
        return await self._change_rollout(
            name, lambda state: recall_rollout(state, "by an operator")
        )

    async def _change_rollout(
        self, name: str, transition: Callable[[RolloutState], RolloutState]
    ) -> RolloutState:
        if name not in self._state.rules.rollouts:
            raise NotFound(f"no rollout '{name}'; add a rollout rule first")
        writer = token_hex(WRITER_ID_BYTES)

        def change(value: bytes | None) -> bytes | None:
            document = decode_rollouts(value)
            next_state = transition(document.get_state(name))
            return encode_rollout_update(document, next_state, writer)

        written = await update_object(self._store, ROLLOUTS_OBJECT, change)
        document = decode_rollouts(written.value)
        self._state.record_store_answer()
        self._state.apply_rollouts(document)
        return document.get_state(name)

    async def _update_keys(
        self, change: Callable[[bytes | None], bytes | None]
    ) -> None:
        written = await update_object(self._store, KEYS_OBJECT, change)
        self._state.record_store_answer()
        self._state.apply_keys(decode_keys(written.value))


def _encode_keys(document: KeysDocument) -> bytes:
    document.serial += 1
    document.writer = token_hex(WRITER_ID_BYTES)
    return encode_document(document)


def _check_config(text: str) -> None:
    if len(text.encode()) > MAX_VALUE_BYTES // 2:
        raise ConfigError(
            "the rule file is larger than 500,000 bytes; shorten it"
        )
    faults = check_rules(text).faults
    if faults:
        lines = "; ".join(
            f"line {fault.line}, column {fault.column}: {fault.text}"
            for fault in faults
        )
        raise ConfigError(lines)
