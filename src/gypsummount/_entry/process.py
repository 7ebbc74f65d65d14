"""Entry process: assembly, reports to the agent and planned stop."""

from asyncio import Event
from asyncio import sleep
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from secrets import token_hex

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.metrics import Metrics
from gypsummount._common.peer_messages import pack_entry
from gypsummount._common.peer_messages import pack_veto
from gypsummount._common.rpc import ChannelPool
from gypsummount._common.rpc import open_server
from gypsummount._common.rpc import start_server
from gypsummount._common.sockets import bind_address
from gypsummount._common.tasks import run_periodically
from gypsummount._common.tasks import start_task
from gypsummount._core.charts import StateMachine
from gypsummount._core.draining import Drain
from gypsummount._core.lookups import CallerLocation
from gypsummount._core.lookups import DRAIN_MARGIN_S
from gypsummount._core.lookups import LOOKUP_TTL_S
from gypsummount._core.membership import EntryInfo
from gypsummount._core.outcomes import OutcomeTable
from gypsummount._core.totals import list_rate_totals
from gypsummount._entry.agent_link import AgentLink
from gypsummount._entry.agent_link import REPORT_PERIOD_S
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.front import Front
from gypsummount._entry.homes import HomeRunner
from gypsummount._entry.lending import Borrower
from gypsummount._entry.peer_client import PeerClient
from gypsummount._entry.peer_service import EntryService
from gypsummount._entry.request_reader import RequestReader
from gypsummount._entry.selection import Selection
from gypsummount._entry.snapshot import Snapshot
from gypsummount._entry.steering import Steering
from gypsummount._entry.upstreams import UpstreamRunner
from gypsummount._entry.versions import VersionSelector
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import add_EntryPeerServicer_to_server

INCARNATION_BYTES = 6
UPKEEP_PERIOD_S = 0.5
FLUSH_PERIOD_S = 1.0
POLL_PERIOD_S = 0.05
# Longer than the time for which a lender keeps a loan open.
LOAN_END_TIMEOUT_S = 6.0
RETIRE_LIMIT_S = 3.0

_log = get_logger("entry")


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry process; fields ending in ``_s`` are seconds."""

    instance: str
    domain: str
    region: str
    listen: str
    peer_listen: str
    agent: str
    pepper: bytes
    statsd: str = ""
    lookup_ttl_s: float = LOOKUP_TTL_S
    drain_s: float = LOOKUP_TTL_S + DRAIN_MARGIN_S
    stop_limit_s: float = 30.0
    peer_advertise: str = ""

    @property
    def peer_address(self) -> str:
        """Return the address that other entries connect to."""
        return self.peer_advertise or self.peer_listen


class EntryProcess:
    """An entry that serves until :meth:`stop` is called."""

    def __init__(
        self, settings: EntrySettings, loop_timer: LoopTimer | None = None
    ) -> None:
        now = read_monotonic()
        self._settings = settings
        self._lifecycle = StateMachine("lifecycle")
        self._stop_requested = Event()
        self._is_retired = False
        self._name = f"{settings.instance}/{settings.listen}"
        self.incarnation = token_hex(INCARNATION_BYTES)
        random = Random(self.incarnation)
        prefix = f"gypsummount.entry.{settings.instance}"
        self.metrics = Metrics(settings.statsd, prefix)
        self.drain = Drain()
        self.snapshot = Snapshot(settings.pepper, self._name, now)
        self._channels = ChannelPool()
        self._peers = PeerClient(self._channels, settings.region)
        self._borrower = Borrower(
            self.snapshot, self._peers, self.metrics, settings.region, random
        )
        self.budgets = EntryBudgets(
            self.incarnation,
            start_borrowing=self._borrower.start_borrowing,
            return_spent=self._borrower.return_spent,
        )
        self._borrower.budgets = self.budgets
        self.selection = Selection(self.snapshot, random)
        self._upstreams = UpstreamRunner(
            self.snapshot, self.selection, self.metrics
        )
        self.versions = VersionSelector(self.snapshot)
        self._steering = Steering(
            self.snapshot,
            self.budgets,
            self.selection,
            self._upstreams,
            self.versions,
            self._peers,
            settings.region,
        )
        self._outcomes = OutcomeTable(self.incarnation, now)
        self._link = AgentLink(
            self._channels,
            settings.agent,
            self.build_report,
            self._apply_update,
        )
        self._homes = HomeRunner(
            self.snapshot,
            self._steering,
            self._peers,
            self._outcomes,
            self._link.claim,
        )
        self.front = Front(
            self.snapshot,
            RequestReader(self.snapshot, self.incarnation),
            self._homes,
            self.metrics,
            CallerLocation(settings.domain, settings.region),
            settings.lookup_ttl_s,
            self.drain,
            loop_timer,
        )

    @property
    def phase(self) -> str:
        """Return the state of the ``lifecycle`` statechart."""
        return self._lifecycle.state

    def stop(self) -> None:
        """Request a planned stop, after which :meth:`run` returns."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then stop as planned.

        A planned stop continues to serve until callers' look-ups have
        expired, waits for requests in flight, and returns all loans.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            await self._stop_requested.wait()
            await self._stop_as_planned()

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        sockets = bind_address("--listen", settings.listen)
        server = open_server("--peer-listen", settings.peer_listen)
        service = EntryService(
            self.snapshot,
            self.budgets,
            self._steering,
            self._homes,
            self._borrower,
        )
        add_EntryPeerServicer_to_server(service, server)
        stack.callback(self.metrics.close)
        stack.push_async_callback(self._channels.close)
        stack.callback(self.selection.close)
        stack.callback(self._borrower.close)
        await start_server(stack, server)
        self.front.listen(sockets)
        stack.push_async_callback(self.front.close)
        start_task(stack, self.front.watch_disconnects(), "callers")
        start_task(stack, self._link.follow(), "link")
        start_task(
            stack,
            run_periodically(self._link.report, REPORT_PERIOD_S, "report"),
            "report",
        )
        start_task(
            stack,
            run_periodically(self._run_upkeep, UPKEEP_PERIOD_S, "upkeep"),
            "upkeep",
        )
        start_task(
            stack,
            run_periodically(self._flush_metrics, FLUSH_PERIOD_S, "flush"),
            "flush",
        )
        _log.info("Listening on %s.", settings.listen)

    async def _stop_as_planned(self) -> None:
        settings = self._settings
        self._lifecycle.fire("stopped")
        self.budgets.stop_lending()
        _log.info("Stopping; continuing to serve for %g s.", settings.drain_s)
        noticed_at = read_monotonic() + settings.drain_s
        ends_at = noticed_at + settings.stop_limit_s
        self.drain.begin(ends_at, noticed_at)
        await self._link.report()
        await sleep(settings.drain_s)
        await self.front.drain(ends_at, lambda: not self._homes.running)
        await self._borrower.return_all()
        await self._wait_until(
            self.budgets.has_lent_nothing, LOAN_END_TIMEOUT_S
        )
        if self.budgets.has_lent_nothing():
            self.budgets.retire()
            self._is_retired = True
            await self._link.report()
        self._lifecycle.fire("drained")
        _log.info("Planned stop finished; closing connections.")

    async def _wait_until(
        self, is_done: Callable[[], bool], limit_s: float
    ) -> None:
        give_up_at = read_monotonic() + limit_s
        while not is_done() and read_monotonic() < give_up_at:
            await sleep(POLL_PERIOD_S)

    def build_report(self) -> peer_pb2.EntryReport:
        """Return the report for the agent: state, confirmations, metrics."""
        return peer_pb2.EntryReport(
            entry=pack_entry(self._build_info()),
            confirmations=self.budgets.list_confirmations(),
            vetoes=[pack_veto(veto) for veto in self.versions.own_vetoes],
            config_serial=self.snapshot.config_serial,
            keys_serial=self.snapshot.keys.serial,
            suspensions=self.budgets.suspensions,
            retired=self._is_retired,
            place=self._name,
            holder=self.incarnation,
            series=[
                peer_pb2.LatencySeries(
                    workspace=row.workspace,
                    route=row.route,
                    count=row.count,
                    p50_ms=row.p50_ms,
                    p99_ms=row.p99_ms,
                    max_ms=row.max_ms,
                )
                for row in self.metrics.summarise(read_monotonic())
            ],
            counts=[
                peer_pb2.Count(name=name, value=value)
                for name, value in self.metrics.read_counts().items()
            ],
        )

    def _build_info(self) -> EntryInfo:
        return EntryInfo(
            self._name,
            str(self._outcomes.issue_token(read_monotonic())),
            self._settings.listen,
            self._settings.peer_address,
            self.phase,
            self.selection.list_loads(),
            self.versions.list_evidence(),
        )

    def _apply_update(self, update: peer_pb2.EntryUpdate) -> None:
        rules_changed = self.snapshot.apply(update, read_monotonic())
        if rules_changed:
            self.budgets.set_totals(list_rate_totals(self.snapshot.rules))
            _log.info("Applied configuration %d.", self.snapshot.config_serial)
        if self.snapshot.is_ready and self._lifecycle.can_fire("configured"):
            self._lifecycle.fire("configured")
        for view in update.ledgers:
            self.budgets.apply_ledger(view)
        self.selection.apply_slots(self.budgets.slots)
        self.versions.discard_ended()

    async def _run_upkeep(self) -> None:
        self.budgets.advance()
        self.selection.apply_slots(self.budgets.slots)
        self._borrower.return_idle()
        addresses = {peer.entry.peer_address for peer in self.snapshot.peers}
        addresses.add(self._settings.agent)
        await self._channels.close_unused(addresses)

    async def _flush_metrics(self) -> None:
        self.metrics.flush()
