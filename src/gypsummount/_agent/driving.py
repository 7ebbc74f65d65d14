"""Advances rollouts; any agent may write the next state."""

from dataclasses import dataclass
from secrets import token_hex

from gypsummount._agent.documents import read_rollouts
from gypsummount._agent.documents import RolloutsDocument
from gypsummount._agent.documents import write_document
from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.judgement import find_veto_of
from gypsummount._core.judgement import FleetJudge
from gypsummount._core.judgement import Veto
from gypsummount._core.naming import ROLLOUTS_OBJECT
from gypsummount._core.rollouts import RolloutState
from gypsummount._store.base import Store
from gypsummount._store.updates import update_object
from gypsummount.errors import StoreError

# Random bytes of a writer; they make each written document unique.
WRITER_BYTES = 8

_log = get_logger("rollouts")


@dataclass(slots=True, frozen=True)
class _Attempt:
    rollout: str
    attempt: int


class RolloutDriver:
    """Computes and writes the next state of each moving rollout."""

    def __init__(self, state: AgentState, store: Store) -> None:
        self._state = state
        self._store = store
        self._judges: dict[_Attempt, FleetJudge] = {}

    async def drive(self) -> None:
        """Write the next state of each rollout for which one is due."""
        now = read_monotonic()
        for name, watch in list(self._state.rollouts.by_name.items()):
            plan = self._state.rules.rollouts.get(name)
            if plan is None:
                continue
            judge = self._judge(watch.state)
            following = watch.propose(
                plan, self._state.list_vetoes(), judge.answers, now
            )
            if following is None:
                continue
            try:
                await self._write(watch.state, following)
            except StoreError as error:
                if self._state.note_no_contact():
                    _log.warning("Lost the store: %s", error)

    def _judge(self, state: RolloutState) -> FleetJudge:
        """Analyse an attempt by the evidence of all known entries.

        A veto that results from it is added to the state.
        """
        name = _Attempt(state.name, state.attempt)
        judge = self._judges.get(name)
        if judge is None:
            judge = FleetJudge(state.name, state.attempt)
            self._judges[name] = judge
        members = self._state.members
        for member in (members.own, *members.list_known()):
            for entry in member.entries:
                for evidence in entry.evidence:
                    veto = judge.observe(entry.incarnation, evidence)
                    if veto is not None:
                        self._add_veto(veto)
        return judge

    def _add_veto(self, veto: Veto) -> None:
        if find_veto_of(self._state.list_vetoes(), veto) is None:
            _log.warning("Vetoed rollout %s: %s.", veto.rollout, veto.reason)
            self._state.add_veto(veto)

    async def _write(
        self, seen: RolloutState, following: RolloutState
    ) -> None:
        writer = token_hex(WRITER_BYTES)

        def change(value: bytes | None) -> bytes | None:
            document = read_rollouts(value)
            if document.find(seen.name) != seen:
                return None
            return write_rollout(document, following, writer)

        written = await update_object(self._store, ROLLOUTS_OBJECT, change)
        self._state.note_contact()
        self._state.take_rollouts(read_rollouts(written.value))
        if written.changed:
            _log.info(
                "Rollout %s is %s at step %d. %s",
                following.name,
                following.phase,
                following.step,
                following.reason,
            )


def write_rollout(
    document: RolloutsDocument, state: RolloutState, writer: str
) -> bytes:
    """Replace a rollout's state and return the document's JSON bytes."""
    document.put(state)
    document.serial += 1
    document.writer = writer
    return write_document(document)
