"""The edge process: construction, periodic tasks, start and shutdown."""

from contextlib import AsyncExitStack
from dataclasses import replace
from random import Random
from time import time

from gypsummount._common.client_account import CHECK_PERIOD_S
from gypsummount._common.client_account import ClientAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.metrics import Metrics
from gypsummount._common.sockets import bind_address
from gypsummount._common.tasks import run_periodically
from gypsummount._common.tasks import start_task
from gypsummount._core.charts import StateMachine
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.groups import Member
from gypsummount._core.quotas import QuotaShares
from gypsummount._core.readers import Contact
from gypsummount._edge.admission import Admission
from gypsummount._edge.decisions import DecisionLog
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import KnownPeer
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING
from gypsummount._edge.digests import STARTING
from gypsummount._edge.dispatch import Dispatch
from gypsummount._edge.duties import Duties
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.fleet_state import FleetState
from gypsummount._edge.follower import Follower
from gypsummount._edge.front import EdgeFront
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.isolation import Isolation
from gypsummount._edge.lag_repair import LagRepair
from gypsummount._edge.peers import GOSSIP_INTERVAL_S
from gypsummount._edge.peers import Peers
from gypsummount._edge.probing import Prober
from gypsummount._edge.proxy import Proxy
from gypsummount._edge.record_server import RecordServer
from gypsummount._edge.registration import Registration
from gypsummount._edge.replica import Replica
from gypsummount._edge.retry_budgets import RetryBudgets
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.selection import Selection
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.settings import REQUEST_BODY_FRACTION
from gypsummount._edge.shutdown import Shutdown
from gypsummount._edge.sources import Sources
from gypsummount._edge.status import EdgeStatus
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import StoreFeed
from gypsummount._edge.store_reader import StoreReader
from gypsummount._edge.store_reader import WATCH_WAIT_S
from gypsummount._edge.tokens import Tokens
from gypsummount._edge.usage_duty import UsageDuty
from gypsummount._edge.usage_reporter import ReportEncoder
from gypsummount._edge.wire import Wire

REFRESH_INTERVAL_S = 0.1
ROLLOUT_INTERVAL_S = 0.3
PROOF_INTERVAL_S = 0.2
INITIAL_RATE_SHARE = 0.1
MS_PER_S = 1000

_log = get_logger("process")


class EdgeProcess:
    """The edge process of one instance; serves until :meth:`stop`."""

    def __init__(
        self,
        settings: EdgeSettings,
        feed: StoreFeed,
        wire: Wire,
        loop_timer: LoopTimer | None = None,
        duty_feed: DutyFeed | None = None,
        encode_usage: ReportEncoder | None = None,
    ) -> None:
        self._loop_timer = loop_timer or LoopTimer()
        self._settings = settings
        self._feed = feed
        self._lifecycle = StateMachine("lifecycle")
        self._shutdown = Shutdown(self._loop_timer)
        self._incarnation = int(time() * MS_PER_S)
        random = Random(self._incarnation)
        limit_s = settings.bounds.max_proof_age_s
        self.metrics = Metrics(None, "")
        self._refreshed_at = read_monotonic()
        self._fleet_due_at = self._refreshed_at
        self._live: list[Digest] = []
        self.replica = Replica(feed, FreshnessProof(limit_s))
        self.peers = Peers(settings.region, settings.domain)
        self._isolation = Isolation(self.replica, self.peers)
        self._fleet_state = FleetState(settings, self.replica, self.peers)
        self._prober = Prober(self.replica, wire, settings.region)
        self.clients = ClientAccount(
            settings.max_body_bytes,
            REQUEST_BODY_FRACTION,
            settings.client_limits,
        )
        self._selection = Selection(
            self.replica,
            settings.region,
            settings.regions,
            self._prober,
            self.clients,
        )
        self._quotas = QuotaShares(INITIAL_RATE_SHARE)
        self._retry_budgets = RetryBudgets()
        self._rollouts = Rollouts(settings.instance, self.replica, feed)
        self._store_reader = StoreReader(feed, self.replica, random)
        self._registration = Registration(
            feed,
            self.replica,
            InstanceRecord(settings.instance, settings.host),
            random,
        )
        self._records = RecordServer(
            self.replica, self._incarnation, self.clients
        )
        self._sources = Sources(settings)
        self._follower = Follower(
            settings, self.replica, self._store_reader, self._sources
        )
        self._lag_repair = LagRepair(
            settings, self.replica, self._store_reader, self._sources
        )
        self._gossip = Gossip(
            settings.instance,
            settings.host,
            settings.peer_port,
            self.peers,
            self._build_digest,
            self._handle_digest,
            self._selection.apply_loads,
        )
        self._tokens = Tokens(
            settings.instance,
            self._quotas,
            self.replica,
            self.peers,
            self._gossip.send,
        )
        self._tokens.add_handlers(self._gossip)
        self.duties = Duties(
            settings, self._incarnation, feed, duty_feed, self.metrics
        )
        self._usage = UsageDuty(
            settings,
            self._incarnation,
            self.duties,
            self.peers,
            self._gossip,
            encode_usage,
            self.metrics,
        )
        self._dispatch = Dispatch(
            Member(settings.instance, settings.capacity),
            settings.region,
            self._selection,
            self._gossip.send,
            is_enabled=settings.uses_dispatchers,
        )
        self._gossip.add_handlers(self._dispatch.list_handlers())
        self.front = EdgeFront(
            Proxy(
                self.replica,
                self._selection,
                Admission(
                    self.replica,
                    self._tokens,
                    self._rollouts,
                    Random(f"{settings.instance} {self._incarnation}"),
                    self._shutdown.drain,
                ),
                self._retry_budgets,
                wire,
                settings.region,
                self._usage.counter,
                selector=self._dispatch,
            ),
            wire,
            self.metrics,
            DecisionLog(self.replica, self.metrics),
            self._loop_timer,
            settings.max_connections,
            self.clients,
        )
        self._status = EdgeStatus(
            self.metrics,
            self._loop_timer,
            self.front,
            self.peers,
            self.replica,
            self._store_reader,
            self._gossip,
            self._tokens,
            self.clients,
            self.duties,
            self._usage,
            self._dispatch,
            self._selection,
        )

    @property
    def phase(self) -> str:
        """Return the lifecycle phase, as announced in digests."""
        if self._shutdown.is_requested:
            return LEAVING
        return SERVING if self.replica.is_ready else STARTING

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply changed bounds; other settings need a restart."""
        if settings == self._settings:
            return
        kept = replace(self._settings, bounds=settings.bounds)
        if kept != settings:
            _log.warning(
                "Settings other than bounds have changed; restart to apply "
                "them."
            )
        self._settings = kept
        self.replica.proof.limit_s = settings.bounds.max_proof_age_s
        _log.info("Settings are reloaded.")

    def stop(self) -> None:
        """Begin the shutdown, in which requests in flight may complete."""
        if self._shutdown.is_requested:
            return
        _log.info("Stopping.")
        self._shutdown.request(self._settings.bounds)
        self.front.is_closing = True
        self.duties.stop()
        self._dispatch.stop()
        self._gossip.send_to_all()

    def list_advertised(self) -> list[Digest]:
        """Return the digests of instances that callers may connect to."""
        digests = self.peers.list_advertised(read_monotonic())
        if self.phase == SERVING:
            digests.append(self._build_digest(()))
        return digests

    def write_metrics(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return self._status.write_metrics()

    async def run(self) -> None:
        """Serve until stopped, then drain and close all sockets."""
        settings = self._settings
        _log.info("Starting as %s in %s.", settings.instance, settings.domain)
        async with AsyncExitStack() as stack:
            await self._open(stack)
            self._start_tasks(stack)
            await self._shutdown.wait()
            await self._shutdown.finish_requests(self.front)
            await self._usage.finish()
        _log.info("Stopped.")

    async def _open(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        stack.push_async_callback(self._feed.close)
        stack.push_async_callback(self.duties.close)
        stack.callback(self._selection.close)
        stack.callback(self._dispatch.stop)
        await self._gossip.open()
        stack.callback(self._gossip.close)
        for host in settings.seeds:
            self._gossip.add_host("", host)
        peer_address = f"{settings.host}:{settings.peer_port}"
        self._records.listen(bind_address("peer port", peer_address))
        stack.push_async_callback(self._records.close)
        stack.callback(self._follower.close)
        self.front.listen(bind_address("listen", settings.listen))
        stack.push_async_callback(self.front.close)

    def _start_tasks(self, stack: AsyncExitStack) -> None:
        for kind in WATCH_WAIT_S:
            start_task(
                stack,
                self._store_reader.replicate(kind),
                f"mirror.{kind.value}",
            )
        start_task(stack, self._follower.run(), "following")
        self.duties.start(stack)
        self._usage.start(stack)
        start_task(stack, self._prober.run(), "probing")
        steps = (
            (self._send_digests, GOSSIP_INTERVAL_S, "gossip"),
            (self._refresh, REFRESH_INTERVAL_S, "plan"),
            (self._follower.check_proof, REFRESH_INTERVAL_S, "proof age"),
            (self._lag_repair.catch_up, REFRESH_INTERVAL_S, "catching up"),
            (self._drive_rollouts, ROLLOUT_INTERVAL_S, "rollouts"),
            (self._renew_proof, PROOF_INTERVAL_S, "proof"),
            (self.clients.check, CHECK_PERIOD_S, "clients"),
        )
        for step, period_s, name in steps:
            start_task(stack, run_periodically(step, period_s, name), name)
        start_task(stack, self._registration.run(), "register")
        start_task(stack, self.front.watch_disconnects(), "callers")

    async def _send_digests(self) -> None:
        now = read_monotonic()
        self.peers.remove_expired(now)
        self._fleet_state.update_quotas(self._quotas, self._tokens, now)
        self._gossip.send_to_next()

    async def _refresh(self) -> None:
        now = read_monotonic()
        self._status.log_delay(now - self._refreshed_at - REFRESH_INTERVAL_S)
        self.replica.remove_expired(now)
        # In a large fleet, digests come no more often than that.
        if not self.peers.is_grouped or now >= self._fleet_due_at:
            self._fleet_due_at = now + GOSSIP_INTERVAL_S
            self._update_fleet(now)
        if self._isolation.update(self._live, now):
            self._selection.mark_isolated(now)
        self._dispatch.update(now)
        self._selection.update()
        self._refreshed_at = read_monotonic()

    def _update_fleet(self, now: float) -> None:
        """Apply what the peers have announced."""
        self._live = self.peers.list_live(now)
        for instance in self.replica.instances.values():
            self._gossip.add_host(instance.name, instance.host)
        self._fleet_state.update_selection(self._selection, self._live, now)
        self._fleet_state.update_sizes(self._retry_budgets, self._prober)
        contact = self._store_reader.get_contact()
        self.duties.update(self._live, self.phase, contact, now)
        self._sources.set_live_peers(
            self._live, is_grouped=self.peers.is_grouped
        )
        self._dispatch.apply_fleet(
            self._live,
            self.replica.catalog,
            is_grouped=self.peers.is_grouped,
            is_serving=self.phase == SERVING,
        )

    async def _drive_rollouts(self) -> None:
        if not self._rollouts.is_active:
            return
        live = self.peers.list_live(read_monotonic())
        await self._rollouts.advance(live, is_first=self._get_index(live) == 0)

    async def _renew_proof(self) -> None:
        if not self._store_reader.is_reading:
            return
        live = self.peers.list_live(read_monotonic())
        readers = [
            peer for peer in live if peer.contact == Contact.CONNECTED.value
        ]
        await self._store_reader.renew_proof(self._get_index(readers))

    def _get_index(self, live: list[Digest]) -> int:
        """Return how many of the instances precede this one by name."""
        name = self._settings.instance
        return sum(1 for digest in live if digest.name < name)

    def _build_digest(self, known: tuple[KnownPeer, ...]) -> Digest:
        settings = self._settings
        now = read_monotonic()
        return Digest(
            settings.instance,
            self._incarnation,
            settings.host,
            settings.listen,
            settings.domain,
            settings.region,
            self.phase,
            now,
            NO_ECHO,
            self.replica.catalog_revision,
            self.replica.proof.get_age(now),
            self._store_reader.get_contact().value,
            self._quotas.list_demands(),
            self._selection.list_demand(),
            {kind.value: rev for kind, rev in self.replica.changed.items()},
            self._rollouts.list_reports(),
            known,
            settings.capacity,
            self._selection.list_loads() if self.peers.is_grouped else {},
            self._rollouts.list_old_versions(),
            self.duties.list_held(),
        )

    def _handle_digest(self, digest: Digest, sent_at: float) -> None:
        if digest.catalog_revision == self.replica.catalog_revision:
            if digest.echo.incarnation == self._incarnation:
                self.replica.proof.record_peer_proof(
                    digest.catalog_revision,
                    digest.echo.at,
                    digest.proof_age_s,
                )
        self._rollouts.apply_reports(digest)
        self._rollouts.apply_old_versions(digest)
        self.duties.observe(digest)
        self._selection.apply_loads(digest.loads, sent_at)
