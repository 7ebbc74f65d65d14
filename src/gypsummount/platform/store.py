"""Client of the platform's store of configuration and records.

This is not the store of the agents (:mod:`gypsummount._store`).  An
object here has a kind, a name and a revision, and each write gives the
store a new revision.  Revisions enter the product as positions
(:mod:`gypsummount._core.positions`), which include the store's era.
"""

from dataclasses import dataclass
from json import dumps
from typing import Any
from typing import final
from urllib.parse import quote

from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._common.lenient_json import load_lenient
from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.lease_records import LeaseRecord
from gypsummount._core.positions import combine_position
from gypsummount._core.positions import get_era
from gypsummount._core.sanitizing import Header
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import LeaseReading
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Origin
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import StoreFeed
from gypsummount._edge.store_feed import Value
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import HistoryDiscarded
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.documents import decode_record
from gypsummount.platform.eras import StoreEras
from gypsummount.platform.leases import decode_lease
from gypsummount.platform.leases import encode_lease
from gypsummount.platform.leases import LEASE_KIND

CALL_TIMEOUT_S = 1.0
# Time beyond the requested wait after which a watch counts as failed.
WATCH_MARGIN_S = 0.8
# Longest time since its last answer for which a connection is reused; the
# pool calls this limit ``max_fresh_age_s``.
KEPT_S = 3.0
MS_PER_S = 1000
# The platform's names for the kinds, which are part of request paths.
KIND_PATHS = {
    Kind.CATALOG: "config",
    Kind.UPSTREAM: "servers",
    Kind.EVACUATION: "evacuations",
    Kind.ROLLOUT: "rollouts",
    Kind.INSTANCE: "instances",
}
CONFIG_NAME = "main"
JSON_HEADERS = (Header("Content-Type", "application/json"),)

_log = get_logger("store")


@dataclass(slots=True, frozen=True)
class StoreAnswer:
    """The decoded body of an answer and the store's era in it."""

    raw: dict[str, Any]
    era: int


@final
class StoreClient(StoreFeed):
    """Calls the store over pooled connections, one call at a time on each.

    A call reuses only a connection that has answered within the last
    :data:`KEPT_S` seconds.  One that has been idle for longer may have
    been lost without a reset, and the call would fail only at its time
    limit.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, max_fresh_age_s=KEPT_S)
        self._eras = StoreEras()

    @property
    def era(self) -> int:
        """Return the newest known era of the store."""
        return self._eras.newest

    async def list(self, kind: Kind) -> Listing:
        """Return all records of a kind, read page by page.

        :raises HistoryDiscarded: when the store was restored between two
            pages.
        :raises StoreUnavailable: when a page cannot be read.
        """
        records: list[Record] = []
        after = ""
        position: int | None = None
        while True:
            path = f"/-/objects/{KIND_PATHS[kind]}"
            if after:
                path += f"?after={quote(after, safe='')}"
            answer = await self._call("GET", path)
            raw = answer.raw
            items = _read_list(raw, "items")
            page = [_read_record(kind, answer.era, item) for item in items]
            records.extend(item for item in page if item is not None)
            # ``at`` is the store's revision when it answered.  Records can
            # change while pages are read.  The listing has the revision of
            # the first page, so that a watch from there also returns
            # changes made after that page was read.
            position = position or _read_position(answer)
            if answer.era and get_era(position) != answer.era:
                raise _build_restored()
            if not raw.get("hasMore"):
                return Listing(tuple(records), position)
            after = _find_last_name(items)

    async def watch(self, kind: Kind, revision: int, wait_s: float) -> Listing:
        """Return the changes of a kind after a revision.

        The store answers after at most ``wait_s`` (s), also if there are
        none.  The listing has the store's revision at that time.

        :raises HistoryDiscarded: when the store has discarded these changes.
        :raises StoreUnavailable: when the call fails.
        """
        sent = self._eras.get_sent_revision(revision)
        path = (
            f"/-/objects/{KIND_PATHS[kind]}?watch={sent}"
            f"&waitMs={int(wait_s * MS_PER_S)}"
        )
        answer = await self._call("GET", path, wait_s + WATCH_MARGIN_S)
        # In a later era, the revision stands for another change.
        if answer.era != (get_era(revision) if sent != revision else 0):
            raise _build_restored()
        records = [
            _read_record(
                kind,
                answer.era,
                event.get("object"),
                bool(event.get("deleted")),
            )
            for event in _read_list(answer.raw, "events")
            if isinstance(event, dict)
        ]
        changes = tuple(item for item in records if item is not None)
        return Listing(changes, _read_position(answer), Origin.WATCH)

    async def write_rollout_state(
        self, order: RolloutOrder, state: str
    ) -> None:
        """Write the state of a rollout order, unless the order has changed.

        :raises StoreConflict: when the order has another revision in the
            store, or is of an earlier era.
        :raises StoreUnavailable: when the call fails.
        """
        self._eras.check_condition(order.revision)
        revision = self._eras.get_sent_revision(order.revision)
        body = {
            "metadata": {"name": order.service, "revision": revision},
            "status": {"state": state, "targetVersion": order.target},
        }
        path = f"/-/objects/rollouts/{quote(order.service, safe='')}/status"
        await self._call("PUT", path, body=body)

    async def register(self, record: InstanceRecord) -> None:
        """Create the record of an instance, or replace an existing one.

        :raises StoreUnavailable: when the call fails.
        """
        kind = KIND_PATHS[Kind.INSTANCE]
        body = {
            "metadata": {"name": record.name},
            "specification": {"host": record.host},
        }
        try:
            await self._call("POST", f"/-/objects/{kind}", body=body)
        except StoreConflict:
            name = quote(record.name, safe="")
            await self._call("PUT", f"/-/objects/{kind}/{name}", body=body)

    async def read_lease(self, duty: str) -> LeaseReading:
        """Return the record of a duty, from a list of all leases.

        :raises RecordInvalid: when the record cannot be decoded.
        :raises StoreUnavailable: when the call fails.
        """
        after = ""
        while True:
            path = f"/-/objects/{LEASE_KIND}"
            if after:
                path += f"?after={quote(after, safe='')}"
            answer = await self._call("GET", path)
            raw, era = answer.raw, answer.era
            items = _read_list(raw, "items")
            for item in items:
                if _read_metadata(item).get("name") == duty:
                    return LeaseReading(decode_lease(item, era), era)
            if not raw.get("hasMore"):
                return LeaseReading(None, era)
            after = _find_last_name(items)

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Create a lease record, or replace it at its revision.

        :raises RecordInvalid: when the response cannot be decoded.
        :raises StoreConflict: when the record has another revision, or was
            read in an earlier era.
        :raises StoreUnavailable: when the call fails.
        """
        path = f"/-/objects/{LEASE_KIND}"
        method = "POST"
        if record.revision:
            self._eras.check_era(record.era)
            path += f"/{quote(record.duty, safe='')}"
            method = "PUT"
        answer = await self._call(method, path, body=encode_lease(record))
        return decode_lease(answer.raw, answer.era)

    def decode(self, record: Record) -> Value:
        """Return the decoded value of a record.

        :raises RecordInvalid: when the record cannot be decoded.
        """
        return decode_record(record)

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        body: dict[str, Any] | None = None,
    ) -> StoreAnswer:
        request = UpstreamRequest(
            method,
            path,
            JSON_HEADERS if body is not None else (),
            dumps(body).encode() if body is not None else b"",
            "",
        )
        try:
            # The pool never repeats a request.  As a request that must not
            # be repeated, each call, also a GET, uses fresh connections only.
            answer = await self._pool.send(
                request, timeout_s, repeatable=False
            )
        except ExchangeError as error:
            raise StoreUnavailable(f"{error}") from None
        era = self._eras.accept(answer.headers)
        return StoreAnswer(_read_answer(answer), era)


def _read_answer(answer: UpstreamAnswer) -> dict[str, Any]:
    if answer.status == 410:
        raise HistoryDiscarded(
            "the store has discarded these changes; list the kind again"
        )
    if answer.status == 409:
        raise StoreConflict("the object has changed; read it again")
    if answer.status not in (200, 201):
        raise StoreUnavailable(
            f"the store answered with status {answer.status}; check the store"
        )
    try:
        raw = load_lenient(answer.body)
    except DECODING_ERRORS:
        raw = None
    if not isinstance(raw, dict):
        raise _build_unreadable()
    return raw


def _build_unreadable() -> StoreUnavailable:
    return StoreUnavailable(
        "the store's answer cannot be decoded; check the store"
    )


def _build_restored() -> HistoryDiscarded:
    return HistoryDiscarded("the store was restored; list the kind again")


def _read_list(raw: dict[str, Any], name: str) -> list[Any]:
    """Return a list of an answer.

    An empty list removes all known records of a kind, so one that is
    missing or null is not taken for it.
    """
    value = raw.get(name)
    if not isinstance(value, list):
        raise _build_unreadable()
    return value


def _read_position(answer: StoreAnswer) -> int:
    revision = answer.raw.get("at")
    if isinstance(revision, bool) or not isinstance(revision, int):
        raise _build_unreadable()
    try:
        return combine_position(answer.era, revision)
    except ValueError:
        raise _build_unreadable() from None


def _find_last_name(items: list[Any]) -> str:
    """Return the name after which the next page begins.

    A page without any can't be the last but one: the rest is missing.
    """
    for item in reversed(items):
        name = _read_metadata(item).get("name")
        if isinstance(name, str):
            return name
    raise _build_unreadable()


def _read_metadata(raw: object) -> dict[str, Any]:
    metadata = raw.get("metadata") if isinstance(raw, dict) else None
    return metadata if isinstance(metadata, dict) else {}


def _read_record(
    kind: Kind, era: int, raw: object, is_deleted: bool = False
) -> Record | None:
    """Return the record of an object, or None if the object is ignored.

    Objects without a name or a valid revision are ignored, and so are
    configuration objects other than :data:`CONFIG_NAME`.
    """
    metadata = _read_metadata(raw)
    name = metadata.get("name")
    revision = metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    if kind is Kind.CATALOG and name != CONFIG_NAME:
        _log.info(
            "Ignored configuration object '%s': only 'main' is used.", name
        )
        return None
    try:
        position = combine_position(era, revision)
    except ValueError:
        return None
    return Record(kind, name, position, _encode(raw), is_deleted)


def _encode(raw: object) -> bytes:
    """Return the payload of a record.

    It is empty, and so cannot be decoded, for an object that is nested too
    deeply or holds a text that is no Unicode.
    """
    try:
        return dumps(raw, separators=(",", ":")).encode()
    except (RecursionError, ValueError):
        return b""
