"""Advances rollouts; any agent may write the next state."""

from dataclasses import dataclass
from secrets import token_hex

from gypsummount._agent.documents import decode_rollouts
from gypsummount._agent.documents import encode_document
from gypsummount._agent.documents import RolloutsDocument
from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.canary_analysis import find_veto_for_attempt
from gypsummount._core.canary_analysis import FleetAnalyser
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.naming import ROLLOUTS_OBJECT
from gypsummount._core.rollouts import RolloutState
from gypsummount._store.base import Store
from gypsummount._store.updates import update_object
from gypsummount.errors import StoreError

# Random bytes of a writer; they make each written document unique.
WRITER_ID_BYTES = 8

_log = get_logger("rollouts")


@dataclass(slots=True, frozen=True)
class _AttemptKey:
    rollout: str
    attempt: int


class RolloutController:
    """Computes and writes the next state of each moving rollout."""

    def __init__(self, state: AgentState, store: Store) -> None:
        self._state = state
        self._store = store
        self._analysers: dict[_AttemptKey, FleetAnalyser] = {}

    async def advance(self) -> None:
        """Write the next state of each rollout for which one is due."""
        now = read_monotonic()
        for name, tracker in list(self._state.rollouts.by_name.items()):
            plan = self._state.rules.rollouts.get(name)
            if plan is None:
                continue
            analyser = self._analyse(tracker.state)
            next_state = tracker.propose(
                plan, self._state.list_vetoes(), analyser.answers, now
            )
            if next_state is None:
                continue
            try:
                await self._write(tracker.state, next_state)
            except StoreError as error:
                if self._state.record_store_failure():
                    _log.warning("Lost the store: %s", error)

    def _analyse(self, state: RolloutState) -> FleetAnalyser:
        """Analyse an attempt by the evidence of all known entries.

        A veto that results from it is added to the state.
        """
        key = _AttemptKey(state.name, state.attempt)
        analyser = self._analysers.get(key)
        if analyser is None:
            analyser = FleetAnalyser(state.name, state.attempt)
            self._analysers[key] = analyser
        members = self._state.members
        for member in (members.own, *members.list_known()):
            for entry in member.entries:
                for evidence in entry.evidence:
                    veto = analyser.observe(entry.incarnation, evidence)
                    if veto is not None:
                        self._add_veto(veto)
        return analyser

    def _add_veto(self, veto: Veto) -> None:
        if find_veto_for_attempt(self._state.list_vetoes(), veto) is None:
            _log.warning(
                "Vetoed rollout %s: %s; this attempt is rolled back unless "
                "it has finished.",
                veto.rollout,
                veto.reason,
            )
            self._state.add_veto(veto)

    async def _write(
        self, known_state: RolloutState, next_state: RolloutState
    ) -> None:
        writer = token_hex(WRITER_ID_BYTES)

        def change(value: bytes | None) -> bytes | None:
            document = decode_rollouts(value)
            if document.get_state(known_state.name) != known_state:
                return None
            return encode_rollout_update(document, next_state, writer)

        written = await update_object(self._store, ROLLOUTS_OBJECT, change)
        self._state.record_store_answer()
        self._state.apply_rollouts(decode_rollouts(written.value))
        if written.changed:
            _log.info(
                "Rollout %s is %s at step %d. %s",
                next_state.name,
                next_state.phase,
                next_state.step,
                next_state.reason,
            )


def encode_rollout_update(
    document: RolloutsDocument, state: RolloutState, writer: str
) -> bytes:
    """Replace a rollout's state and return the document's JSON bytes."""
    document.set_state(state)
    document.serial += 1
    document.writer = writer
    return encode_document(document)
