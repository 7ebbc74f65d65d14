"""Metrics of an edge process and warnings about its delays."""

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.metrics import Metrics
from gypsummount._core.positions import get_revision
from gypsummount._edge.dispatch import Dispatch
from gypsummount._edge.duties import Duties
from gypsummount._edge.exposition import write_exposition
from gypsummount._edge.front import EdgeFront
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.peers import Peers
from gypsummount._edge.replica import Replica
from gypsummount._edge.selection import Selection
from gypsummount._edge.store_reader import StoreReader
from gypsummount._edge.tokens import Tokens
from gypsummount._edge.usage_duty import UsageDuty

# Periodic steps that start later than this (s) are logged.
MIN_LOGGED_DELAY_S = 0.3
MS_PER_S = 1000

_log = get_logger("process")


class EdgeStatus:
    """Collects the gauges of a process and logs late periodic steps."""

    def __init__(
        self,
        metrics: Metrics,
        loop_timer: LoopTimer,
        front: EdgeFront,
        peers: Peers,
        replica: Replica,
        store_reader: StoreReader,
        gossip: Gossip,
        tokens: Tokens,
        clients: ClientAccount,
        duties: Duties,
        usage: UsageDuty,
        dispatch: Dispatch,
        selection: Selection,
    ) -> None:
        self._usage = usage
        self._clients = clients
        self._dispatch = dispatch
        self._selection = selection
        self._duties = duties
        self._metrics = metrics
        self._loop_timer = loop_timer
        self._front = front
        self._peers = peers
        self._replica = replica
        self._store_reader = store_reader
        self._gossip = gossip
        self._tokens = tokens

    def write_metrics(self) -> str:
        """Return all metrics in the Prometheus text format."""
        now = read_monotonic()
        front = self._front
        replica = self._replica
        age_s = replica.proof.get_age(now)
        gauges = {
            "in_flight": float(front.in_flight),
            "callers_left_unread": float(front.disconnected_unread),
            "connections_ended_idle": float(front.idle_closed),
            "connections_open": float(front.connections),
            "body_bytes_held": float(self._clients.held_bytes),
            "answers_dropped": float(self._clients.dropped),
            "round_seconds": self._loop_timer.span_s,
            "peers_live": float(len(self._peers.list_live(now))),
            "store_connected": float(self._store_reader.contact.is_connected),
            "configuration_revision": float(
                get_revision(replica.catalog_revision)
            ),
            "proof_age_seconds": -1.0 if age_s is None else age_s,
            "configuration_unreadable": float(not replica.has_newest_catalog),
            "configuration_withheld": float(replica.is_catalog_withheld),
            "store_era": float(replica.era),
            "store_restores": float(replica.restores.count),
            "restore_records_kept": float(replica.restores.count_kept()),
            "restore_records_ignored": float(
                replica.restores.count_withheld()
            ),
            "upstreams_known": float(len(replica.upstreams)),
            "fleet_grouped": float(self._peers.is_grouped),
            "is_relay": float(self._gossip.is_relay),
            "workspaces_owned": float(self._tokens.count_owned()),
            "token_requests_unanswered": float(self._tokens.unanswered),
            **self._duties.list_gauges(),
            **self._usage.list_gauges(),
            **self._dispatch.list_gauges(),
        }
        gauges["head_bytes_held"] = float(self._clients.head_bytes)
        for reason, count in sorted(self._clients.closed.items()):
            gauges[f"clients_closed_{reason}"] = float(count)
        gauges.update(self._list_queue_gauges())
        return write_exposition(self._metrics, gauges, now)

    def _list_queue_gauges(self) -> dict[str, float]:
        """Return the figures of the services' queues, if any are kept."""
        gauges = {}
        for service, report in self._selection.list_queues().items():
            label = f'{{service="{service}"}}'
            gauges |= {
                f"queue_waiting{label}": float(report.waiting),
                f"queue_wait_seconds{label}": report.expected_wait_s,
                f"queue_refused_early{label}": float(report.refused_early),
                f"queue_refused_late{label}": float(report.refused_late),
            }
        return gauges

    def log_delay(self, delay_s: float) -> None:
        """Log how late (s) a step ran, as in a busy or suspended process."""
        if delay_s <= MIN_LOGGED_DELAY_S:
            return
        _log.warning(
            "A periodic step ran %.2f s late: busy or suspended process.",
            delay_s,
            extra={
                "in_flight": self._front.in_flight,
                "connections": self._front.connections,
                "round_ms": round(self._loop_timer.span_s * MS_PER_S, 1),
            },
        )
