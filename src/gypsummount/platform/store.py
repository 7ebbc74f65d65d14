"""Client of the platform's metadata store."""

from json import dumps
from json import loads
from typing import Any
from typing import final
from urllib.parse import quote

from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.sanitizing import Header
from gypsummount._edge.feed import Feed
from gypsummount._edge.feed import InstanceRecord
from gypsummount._edge.feed import Kind
from gypsummount._edge.feed import Listing
from gypsummount._edge.feed import Origin
from gypsummount._edge.feed import Record
from gypsummount._edge.feed import Value
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import HistoryGone
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.documents import decode_record

CALL_LIMIT_S = 1.0
WATCH_MARGIN_S = 0.8
# A connection that was idle for longer may have gone silent.
KEPT_S = 3.0
MS_PER_S = 1000
PATHS = {
    Kind.CATALOG: "config",
    Kind.UPSTREAM: "servers",
    Kind.EVACUATION: "evacuations",
    Kind.ROLLOUT: "rollouts",
    Kind.INSTANCE: "instances",
}
CONFIG_NAME = "main"
JSON_HEADERS = (Header("Content-Type", "application/json"),)

_log = get_logger("store")


@final
class StoreClient(Feed):
    """Calls the store over kept connections, one call on each.

    A call goes only over a connection that has answered lately: one that
    was idle may have gone silent, and a whole time limit would be lost.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, fresh_s=KEPT_S)

    async def list(self, kind: Kind) -> Listing:
        """Return all records of a kind, page by page."""
        records: list[Record] = []
        after = ""
        revision = 0
        while True:
            path = f"/-/objects/{PATHS[kind]}"
            if after:
                path += f"?after={quote(after, safe='')}"
            raw = await self._call("GET", path)
            page = [_read_record(kind, item) for item in raw["items"]]
            records.extend(one for one in page if one is not None)
            # Pages are read one after the other: changes after the first
            # page are taken from the watch that starts at its revision.
            revision = revision or int(raw["at"])
            if not raw.get("hasMore") or not raw["items"]:
                return Listing(tuple(records), revision)
            after = raw["items"][-1]["metadata"]["name"]

    async def watch(self, kind: Kind, revision: int, wait_s: float) -> Listing:
        """Return the changes of a kind after a revision."""
        path = (
            f"/-/objects/{PATHS[kind]}?watch={revision}"
            f"&waitMs={int(wait_s * MS_PER_S)}"
        )
        raw = await self._call("GET", path, wait_s + WATCH_MARGIN_S)
        records = [
            _read_record(kind, event["object"], bool(event.get("deleted")))
            for event in raw.get("events") or ()
        ]
        kept = tuple(one for one in records if one is not None)
        return Listing(kept, int(raw["at"]), Origin.WATCH)

    async def write_rollout_state(
        self, order: RolloutOrder, state: str
    ) -> None:
        """Write the status of an order at the revision that was read."""
        body = {
            "metadata": {"name": order.service, "revision": order.revision},
            "status": {"state": state, "targetVersion": order.target},
        }
        path = f"/-/objects/rollouts/{quote(order.service, safe='')}/status"
        await self._call("PUT", path, body=body)

    async def register(self, record: InstanceRecord) -> None:
        """Create the record of an instance, or replace an older one."""
        kind = PATHS[Kind.INSTANCE]
        body = {
            "metadata": {"name": record.name},
            "specification": {"host": record.host},
        }
        try:
            await self._call("POST", f"/-/objects/{kind}", body=body)
        except StoreConflict:
            name = quote(record.name, safe="")
            await self._call("PUT", f"/-/objects/{kind}/{name}", body=body)

    def decode(self, record: Record) -> Value:
        """Return the value of a record."""
        return decode_record(record)

    async def close(self) -> None:
        """Release the connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        limit_s: float = CALL_LIMIT_S,
        *,
        body: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        request = UpstreamRequest(
            method,
            path,
            JSON_HEADERS if body is not None else (),
            dumps(body).encode() if body is not None else b"",
            "",
        )
        try:
            answer = await self._pool.send(request, limit_s, repeatable=False)
        except ExchangeError as error:
            raise StoreUnavailable(f"{error}") from None
        return _read_answer(answer)


def _read_answer(answer: UpstreamAnswer) -> dict[str, Any]:
    if answer.status == 410:
        raise HistoryGone("the history is gone; list the kind again")
    if answer.status == 409:
        raise StoreConflict("the object has changed; read it again")
    if answer.status not in (200, 201):
        raise StoreUnavailable(
            f"the store answered {answer.status}; look at its state"
        )
    try:
        return loads(answer.body)
    except (ValueError, RecursionError):
        raise StoreUnavailable(
            "the store's answer cannot be read; look at its state"
        ) from None


def _read_record(
    kind: Kind, raw: object, is_deleted: bool = False
) -> Record | None:
    """Return the record of an object, or None for one to leave out.

    Those are objects without a name, and objects beside the one that
    holds the configuration.
    """
    if not isinstance(raw, dict):
        return None
    metadata = raw.get("metadata")
    if not isinstance(metadata, dict):
        return None
    name = metadata.get("name")
    revision = metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    if kind is Kind.CATALOG and name != CONFIG_NAME:
        _log.info("Left out configuration '%s'; it is not in use.", name)
        return None
    payload = dumps(raw, separators=(",", ":")).encode()
    return Record(kind, name, revision, payload, is_deleted)
