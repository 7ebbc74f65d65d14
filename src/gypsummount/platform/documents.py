"""Decoding of the store's JSON documents into the product's types.

Where the platform's documents and the types differ in their terms:

========================  ==========================================
field of a document       attribute
========================  ==========================================
``clusters``              ``Catalog.services``
``tenants``               ``Catalog.workspaces``
``coldStartS``            ``EdgeService.cold_s``
``coldPerS``              ``EdgeService.cold_rate``
``requestsPerS``          ``EdgeWorkspace.rate``
``kind`` (``safe``)       ``EdgeRoute.repeatable``
``public``                ``EdgeRoute.is_open``
``targetLatencyS``        ``EdgeRoute.objective_s``
``trafficSplit``          ``EdgeRoute.destinations``
``zone``                  ``UpstreamRecord.domain``
``state`` (``ready``)     ``UpstreamRecord.is_ready``
``coldRemainingS``        ``UpstreamRecord.cold_s``
``born``                  ``UpstreamRecord.started_ms``
``targetVersion``         ``RolloutOrder.target``
``status``                ``RolloutOrder.state``, ``state_version``
========================  ==========================================

A ``ValueError`` whose text is one word names the invalid field.
"""

from json import loads
from math import isfinite
import re

from gypsummount._common.addresses import check_ip
from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import Destination
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeService
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.positions import combine_position
from gypsummount._core.positions import get_era
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import Value
from gypsummount.errors import ConfigError
from gypsummount.errors import RecordInvalid
from gypsummount.platform.fields import Document
from gypsummount.platform.fields import read_amount
from gypsummount.platform.fields import read_flag
from gypsummount.platform.fields import read_int
from gypsummount.platform.fields import read_limit
from gypsummount.platform.fields import read_list
from gypsummount.platform.fields import read_number
from gypsummount.platform.fields import read_text
from gypsummount.platform.fields import read_texts

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_ATTEMPTS = 1
UPSTREAM_STATES = ("ready", "draining")
MAX_PORT = 65_535
# No real upstream is larger, colder or older than these.
MAX_SLOTS = 1_000_000
MAX_COLD_S = 86_400.0
MAX_SEQUENCE = 1 << 53
MAX_STARTED_MS = 1 << 53
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


def decode_record(record: Record) -> Value:
    """Return the decoded value of a record.

    It is None for an evacuation, which has no value: the record's
    existence is enough, whatever it holds.

    :raises RecordInvalid: when the record cannot be decoded.
    """
    if record.kind is Kind.EVACUATION:
        return None
    try:
        raw = loads(record.payload)
        spec = raw["specification"]
        if record.kind is Kind.CATALOG:
            return _decode_catalog(spec)
        if record.kind is Kind.UPSTREAM:
            return _decode_upstream(record.name, spec)
        if record.kind is Kind.ROLLOUT:
            return _decode_rollout(record, raw)
        return InstanceRecord(record.name, _read_host(spec["host"]))
    except ConfigError as error:
        raise RecordInvalid(
            f"{error}; look at the program that writes the record"
        ) from None
    except DECODING_ERRORS as error:
        raise RecordInvalid(
            f"the record is incomplete or malformed ({error!r}); look at the "
            "program that writes it"
        ) from None


def _decode_catalog(spec: Document) -> Catalog:
    limits = spec["limits"]
    catalog = Catalog(
        int(spec["version"]),
        CallerLimits(float(limits["idleTimeoutS"]), int(limits["bodyBytes"])),
        # Without the field no route needs a key; an empty list of tenants
        # leaves no key that is in force.
        requires_keys="tenants" in spec,
    )
    for raw in spec["clusters"]:
        service = _decode_service(raw)
        catalog.services[service.name] = service
    for raw in read_list(spec, "tenants"):
        workspace = _decode_workspace(raw)
        catalog.workspaces[workspace.name] = workspace
        for key in read_texts(raw, "apiKeys"):
            catalog.add_key(key, workspace.name)
    for listener in spec["listeners"]:
        for rule in listener["rules"]:
            catalog.add_route(_decode_route(listener["host"], rule))
    catalog.check()
    return catalog


def _decode_service(raw: Document) -> EdgeService:
    cold_s = read_limit(raw, "coldStartS") or 0.0
    # Requests per second that a cold upstream may get, fleet-wide.
    cold_rate = read_limit(raw, "coldPerS")
    if not cold_s and not cold_rate:
        # The upstreams have no slow start.
        cold_rate = None
    return EdgeService(
        raw["name"], cold_s, cold_rate, str(raw.get("healthPath") or "")
    )


def _decode_workspace(raw: Document) -> EdgeWorkspace:
    return EdgeWorkspace(
        read_text(raw, "name"),
        read_limit(raw, "requestsPerS") or 0.0,
        read_limit(raw, "burst") or 0.0,
        int(read_number(raw, "priority", 0)),
        frozenset(read_texts(raw, "homeRegions")),
    )


def _decode_route(host: str, raw: Document) -> EdgeRoute:
    action = raw["action"]
    timeout_s = read_number(action, "timeoutS", DEFAULT_TIMEOUT_S)
    return EdgeRoute(
        name=raw["name"],
        host=host,
        prefix=raw["match"]["pathPrefix"],
        destinations=_decode_destinations(action),
        repeatable=raw["kind"] == "safe",
        is_open=read_flag(raw, "public"),
        is_sticky=read_flag(raw, "sticky"),
        timeout_s=timeout_s,
        # The latency objective; without one, it is the timeout.
        objective_s=read_number(raw, "targetLatencyS", timeout_s),
        attempts=int(read_number(action, "attempts", DEFAULT_ATTEMPTS)),
        priority=int(read_number(raw, "priority", 0)),
        home_regions=frozenset(read_texts(action, "homeRegions")),
    )


def _decode_destinations(action: Document) -> tuple[Destination, ...]:
    """Return the services of a route, without those of zero weight."""
    splits = read_list(action, "trafficSplit")
    if not splits:
        return (Destination(action["service"], 1.0),)
    destinations = [_decode_destination(split) for split in splits]
    return tuple(
        destination for destination in destinations if destination.weight != 0
    )


def _decode_destination(split: Document) -> Destination:
    return Destination(split["service"], read_amount(split, "weight"))


def _decode_upstream(name: str, spec: Document) -> UpstreamRecord:
    state = read_text(spec, "state")
    if state not in UPSTREAM_STATES:
        raise ValueError(f"unknown state '{state}'")
    address = _read_address(spec)
    slots = read_int(spec, "slots", lowest=1, highest=MAX_SLOTS)
    # Number of the upstream's heartbeats since its start.
    sequence = read_int(spec, "sequence", lowest=0, highest=MAX_SEQUENCE)
    cold_s = spec["coldRemainingS"]
    if isinstance(cold_s, bool) or not isinstance(cold_s, (int, float)):
        raise ValueError("coldRemainingS")
    if not isfinite(cold_s) or cold_s > MAX_COLD_S:
        raise ValueError(f"coldRemainingS is over {MAX_COLD_S:g} s")
    # Unix time (ms) of the upstream's start, or 0 if unknown.
    started_ms = 0
    if "born" in spec:
        started_ms = read_int(spec, "born", lowest=0, highest=MAX_STARTED_MS)
    return UpstreamRecord(
        name,
        read_text(spec, "service"),
        address,
        read_text(spec, "zone"),
        read_text(spec, "version"),
        slots,
        state == "ready",
        float(cold_s),
        started_ms,
        sequence,
    )


def _decode_rollout(record: Record, raw: Document) -> RolloutOrder:
    spec = raw["specification"]
    status = raw.get("status") or {}
    return RolloutOrder(
        read_text(spec, "service"),
        read_text(spec, "targetVersion"),
        read_amount(spec, "durationS"),
        record.revision,
        combine_position(
            get_era(record.revision), int(raw["metadata"]["created"])
        ),
        str(status.get("state") or ""),
        str(status.get("targetVersion") or ""),
    )


def _read_address(spec: Document) -> str:
    address = read_text(spec, "address")
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f"address '{address:.40}' has no port; register it as IP:port"
        )
    _read_host(host.strip("[]"))
    return address


def _read_host(value: object) -> str:
    """Return an IP address; a name would need a lookup, which blocks."""
    if not isinstance(value, str):
        raise ValueError("host")
    return check_ip(value)
