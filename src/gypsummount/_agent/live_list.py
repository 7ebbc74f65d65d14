"""Polls the platform's live list.

The live list names the instances and upstreams that the platform runs,
with their addresses.  It may lag behind by up to ``live_lag_s`` seconds.
"""

from json import JSONDecodeError
from json import loads

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger

POLL_PERIOD_S = 1.0
CALL_TIMEOUT_S = 2.0
# If the list was not read for longer, the absence of an instance is timed
# from the next read.
MAX_READ_GAP_S = 5.0

_log = get_logger("platform")


class LiveListPoller:
    """Polls the platform's live list.

    A read that fails changes nothing: it is no evidence that an
    instance is gone.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._client = SimpleAsyncHTTPClient(force_instance=True)
        self._read_at: float | None = None

    def close(self) -> None:
        """Release the connections."""
        self._client.close()

    async def poll(self) -> None:
        """Read the list once and apply it to the agent's state."""
        address = self._state.settings.live_list
        if not address:
            return
        try:
            response = await self._client.fetch(
                f"http://{address}/live", request_timeout=CALL_TIMEOUT_S
            )
            rows = loads(response.body)
        except (HTTPClientError, OSError, JSONDecodeError):
            return
        self._apply(rows)

    def _apply(self, rows: list[dict[str, str]]) -> None:
        now = read_monotonic()
        state = self._state
        if self._read_at is None or now - self._read_at > MAX_READ_GAP_S:
            # An instance may have been listed since the last read, so its
            # absence counts only while the list is read without gaps.
            state.missing_since.clear()
        self._read_at = now
        instances = {
            row["name"]: row["address"]
            for row in rows
            if row["kind"] == "instance"
        }
        state.leaving_upstreams = frozenset(
            row["address"]
            for row in rows
            if row["kind"] == "upstream" and row["state"] == "leaving"
        )
        state.listed_instances = instances
        self._update_missing(instances, now)

    def _update_missing(self, instances: dict[str, str], now: float) -> None:
        """Record since when each registered instance is missing.

        An instance is registered if a known ledger has a holder on it.
        """
        missing_since = self._state.missing_since
        registered = {
            holder.instance
            for copy in self._state.ledgers.values()
            for holder in copy.ledger.holders.values()
        }
        if not instances:
            # An empty list is treated as a fault of the list, not as the
            # loss of all instances.
            missing_since.clear()
            return
        for name in registered - instances.keys():
            if name not in missing_since:
                missing_since[name] = now
                _log.warning("Instance %s left the platform's list.", name)
        for name in list(missing_since):
            if name in instances or name not in registered:
                del missing_since[name]
