"""The gRPC service of an agent for its entries and for other agents."""

from asyncio import wait_for
from collections.abc import AsyncIterator
from hashlib import sha256
from typing import final

from grpc.aio import ServicerContext

from gypsummount._agent.gossip import Gossip
from gypsummount._agent.state import AgentState
from gypsummount._agent.state import LedgerCopy
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.peer_messages import pack_amount
from gypsummount._common.peer_messages import pack_key
from gypsummount._common.peer_messages import pack_member
from gypsummount._common.peer_messages import pack_veto
from gypsummount._core.naming import CLAIM_PREFIX
from gypsummount._core.rollouts import RolloutTracker
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import AgentServicer
from gypsummount._store.base import Store
from gypsummount._store.updates import update_object
from gypsummount.errors import StoreError

# An update is sent after this time even without a change.
UPDATE_PERIOD_S = 0.5

_log = get_logger("agent")


@final
class AgentService(AgentServicer):
    """Accepts reports, streams updates, claims keys and answers gossip."""

    def __init__(
        self, state: AgentState, gossip: Gossip, store: Store
    ) -> None:
        self._state = state
        self._gossip = gossip
        self._store = store

    async def Exchange(
        self, request: peer_pb2.EntryReport, context: ServicerContext
    ) -> AsyncIterator[peer_pb2.EntryUpdate]:
        """Stream updates to an entry, on each change and periodically.

        Configuration and keys are sent only when they are newer than
        those sent before on this stream.
        """
        self._state.accept_report(request)
        sent_config_serial, sent_keys_serial = 0, 0
        while True:
            changed = self._state.changed
            update = self._build_update(
                request, sent_config_serial, sent_keys_serial
            )
            sent_config_serial = max(sent_config_serial, update.config.serial)
            sent_keys_serial = max(sent_keys_serial, update.keys.serial)
            yield update
            try:
                await wait_for(changed.wait(), UPDATE_PERIOD_S)
            except TimeoutError:
                continue

    async def Report(
        self, request: peer_pb2.EntryReport, context: ServicerContext
    ) -> peer_pb2.Empty:
        """Record an entry's report."""
        self._state.accept_report(request)
        return peer_pb2.Empty()

    async def Claim(
        self, request: peer_pb2.ClaimRequest, context: ServicerContext
    ) -> peer_pb2.ClaimReply:
        """Bind an idempotency key to the first token that claims it.

        The reply contains the bound token; ``known`` is false when the
        store did not answer.
        """
        digest = sha256(request.key.encode()).hexdigest()
        name = f"{CLAIM_PREFIX}{request.workspace}/{digest}"
        token = request.token.encode()

        def change(value: bytes | None) -> bytes | None:
            return token if value is None else None

        try:
            written = await update_object(self._store, name, change)
        except StoreError as error:
            _log.warning(
                "An idempotency key could not be claimed, so its request is "
                "refused: %s",
                error,
            )
            return peer_pb2.ClaimReply(known=False)
        self._state.record_store_answer()
        return peer_pb2.ClaimReply(known=True, token=written.value.decode())

    async def Gossip(
        self, request: peer_pb2.Digest, context: ServicerContext
    ) -> peer_pb2.Digest:
        """Exchange member tables with a peer."""
        return self._gossip.answer(request)

    async def Fetch(
        self, request: peer_pb2.FetchRequest, context: ServicerContext
    ) -> peer_pb2.FetchReply:
        """Return the configuration and keys that are newer than the peer's."""
        reply = peer_pb2.FetchReply()
        if self._state.config.serial > request.config_serial:
            reply.config.CopyFrom(self._pack_config())
        if self._state.keys.serial > request.keys_serial:
            reply.keys.CopyFrom(self._pack_keys())
        return reply

    def _build_update(
        self,
        report: peer_pb2.EntryReport,
        sent_config_serial: int,
        sent_keys_serial: int,
    ) -> peer_pb2.EntryUpdate:
        now = read_monotonic()
        state = self._state
        update = peer_pb2.EntryUpdate(
            ledgers=[
                self._pack_ledger(copy, report)
                for copy in state.ledgers.values()
            ],
            rollouts=[
                self._pack_rollout(tracker, now)
                for tracker in state.rollouts.by_name.values()
            ],
            vetoes=[pack_veto(veto) for veto in state.list_vetoes()],
            members=[
                pack_member(member) for member in state.members.list_alive(now)
            ],
            keys_may_be_stale=state.may_keys_be_stale(),
            draining=sorted(state.list_draining()),
        )
        if state.config.serial > sent_config_serial:
            update.config.CopyFrom(self._pack_config())
        if state.keys.serial > sent_keys_serial:
            update.keys.CopyFrom(self._pack_keys())
        return update

    def _pack_config(self) -> peer_pb2.ConfigText:
        config = self._state.config
        return peer_pb2.ConfigText(serial=config.serial, text=config.text)

    def _pack_keys(self) -> peer_pb2.KeySet:
        keys = self._state.keys
        return peer_pb2.KeySet(
            serial=keys.serial,
            records=[pack_key(record) for record in keys.records],
        )

    def _pack_ledger(
        self, copy: LedgerCopy, report: peer_pb2.EntryReport
    ) -> peer_pb2.LedgerView:
        ledger = copy.ledger
        entry = self._state.entries.get(report.entry.name)
        suspensions = 0
        # After a suspension an entry accepts a ledger only if it was read
        # later, so the entry's count is sent only with a ledger that was
        # read after the first report of that count.
        if entry is not None and copy.read_at > entry.suspensions_reported_at:
            suspensions = entry.report.suspensions
        return peer_pb2.LedgerView(
            scope=ledger.scope,
            seq=ledger.seq,
            suspensions=suspensions,
            accounts=[
                peer_pb2.Account(
                    budget=budget.name,
                    granted=pack_amount(account.granted),
                    target=pack_amount(account.target),
                )
                for budget in ledger.budgets.values()
                if (account := budget.accounts.get(report.holder))
            ],
        )

    def _pack_rollout(
        self, tracker: RolloutTracker, now: float
    ) -> peer_pb2.RolloutView:
        plan = self._state.rules.rollouts.get(tracker.state.name)
        remaining_s = tracker.compute_remaining(plan, now) if plan else 0.0
        return peer_pb2.RolloutView(
            name=tracker.state.name,
            serial=tracker.state.serial,
            attempt=tracker.state.attempt,
            phase=tracker.state.phase,
            step=tracker.state.step,
            remaining_s=remaining_s,
        )
