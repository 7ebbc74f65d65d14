"""The agent process: its components, tasks and planned stop."""

from asyncio import Event
from asyncio import sleep
from contextlib import AsyncExitStack
from random import Random
from secrets import token_hex

from gypsummount._agent.admin import start_admin_server
from gypsummount._agent.gossip import Gossip
from gypsummount._agent.gossip import GOSSIP_PERIOD_S
from gypsummount._agent.ledger_reconciler import LedgerReconciler
from gypsummount._agent.live_list import LiveListPoller
from gypsummount._agent.live_list import POLL_PERIOD_S
from gypsummount._agent.operations import Operations
from gypsummount._agent.rollout_controller import RolloutController
from gypsummount._agent.service import AgentService
from gypsummount._agent.state import AgentSettings
from gypsummount._agent.state import AgentState
from gypsummount._agent.store_watcher import StoreWatcher
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.rpc import ChannelPool
from gypsummount._common.rpc import open_server
from gypsummount._common.rpc import start_server
from gypsummount._common.sockets import bind_address
from gypsummount._common.tasks import run_periodically
from gypsummount._common.tasks import start_task
from gypsummount._proto.peer_pb2_grpc import add_AgentServicer_to_server
from gypsummount._store.http import HttpStore

INCARNATION_BYTES = 6
LEDGER_PERIOD_S = 0.5
ROLLOUT_PERIOD_S = 0.25
LEAVING_POLL_PERIOD_S = 0.1
# Wait after a stop request, in which entries that are stopped together
# with the agent report that they are leaving.
LEAVING_NOTICE_S = 1.0

_log = get_logger("agent")


class AgentProcess:
    """An agent that runs until :meth:`stop` is called."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._stopping = Event()
        incarnation = token_hex(INCARNATION_BYTES)
        self._random = Random(incarnation)
        self.state = AgentState(settings, incarnation)
        self._channels = ChannelPool()
        self._store = HttpStore(settings.store)
        self._gossip = Gossip(self.state, self._channels, self._random)
        self._reconciler = LedgerReconciler(self.state, self._store)
        self._rollout_controller = RolloutController(self.state, self._store)
        self._watcher = StoreWatcher(self.state, self._store, self._random)
        self._live_list = LiveListPoller(self.state)
        self.operations = Operations(self.state, self._store)

    def stop(self) -> None:
        """Request a planned stop, after which :meth:`run` returns."""
        self._stopping.set()

    async def run(self) -> None:
        """Run until a stop is requested and the leaving entries have retired.

        The wait for them lasts at most ``stop_limit_s`` seconds.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            await self._stopping.wait()
            await self._wait_for_entries()

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        sockets = bind_address("--admin-listen", settings.admin_listen)
        server = open_server("--listen", settings.listen)
        service = AgentService(self.state, self._gossip, self._store)
        add_AgentServicer_to_server(service, server)
        stack.push_async_callback(self._store.close)
        stack.push_async_callback(self._channels.close)
        stack.callback(self._live_list.close)
        await start_server(stack, server)
        admin = start_admin_server(self.state, self.operations, sockets)
        stack.push_async_callback(admin.close_all_connections)
        stack.callback(admin.stop)
        self._start_tasks(stack)
        _log.info("Listening on %s.", settings.listen)

    def _start_tasks(self, stack: AsyncExitStack) -> None:
        scopes = self._reconciler.list_scopes()
        for name in self._watcher.list_names(scopes):
            start_task(stack, self._watcher.follow(name), f"watch {name}")
        steps = (
            (self._gossip.run_round, GOSSIP_PERIOD_S, "gossip"),
            (self._live_list.poll, POLL_PERIOD_S, "live list"),
            (self._reconciler.reconcile, LEDGER_PERIOD_S, "ledgers"),
            (self._rollout_controller.advance, ROLLOUT_PERIOD_S, "rollouts"),
        )
        for step, period_s, name in steps:
            start_task(stack, run_periodically(step, period_s, name), name)

    async def _wait_for_entries(self) -> None:
        """Wait until the leaving entries have retired; release their shares.

        Returns also when the time limit has passed.
        """
        deadline = read_monotonic() + self._settings.stop_limit_s
        _log.info("Stopping once the leaving entries have retired.")
        # An entry that is stopped together with its agent may not have
        # reported its phase "leaving" yet.
        await sleep(LEAVING_NOTICE_S)
        while self._has_leaving_entry() and read_monotonic() < deadline:
            await sleep(LEAVING_POLL_PERIOD_S)
        await self._reconciler.reconcile()
        _log.info("Left.")

    def _has_leaving_entry(self) -> bool:
        return any(
            entry.report.entry.phase == "leaving"
            for entry in self.state.list_fresh_entries()
        )
