"""Gossip digests and their encoding as UDP datagrams."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from json import loads
from struct import error as StructError
from struct import Struct
from zlib import compress
from zlib import error as ZlibError

from gypsummount._common.addresses import check_ip
from gypsummount._common.compression import decompress_bounded
from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.lease_records import MAX_TOKEN
from gypsummount._core.quotas import QuotaDemand
from gypsummount._core.upstream_load import LoadObservation
from gypsummount.errors import RecordInvalid

COMPRESSION_LEVEL = 1
MAX_TEXT_BYTES = 1 << 20
# The two fields of :class:`Echo`: incarnation and boot clock (s).
ECHO_FORMAT = Struct("!Qd")
STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class RolloutReport:
    """An instance's view of a rollout order.

    ``created`` is the revision that created the order, ``veto`` the
    reason of a veto or empty, and ``old_in_flight`` the number of
    requests in flight to the old version.
    """

    service: str
    created: int
    elapsed_s: float
    veto: str
    has_moved: bool
    old_in_flight: int
    evidence: tuple[Evidence, ...] = ()


@dataclass(slots=True, frozen=True)
class KnownPeer:
    """Name and IP of another instance that the sender knows."""

    name: str
    host: str


@dataclass(slots=True, frozen=True)
class Echo:
    """Identifies the latest digest that came from the receiver.

    ``at`` is the receiver's own boot clock (s) when it sent the digest.
    """

    incarnation: int
    at: float


NO_ECHO = Echo(0, 0.0)


@dataclass(slots=True, frozen=True)
class Digest:
    """State of an instance, as it is sent to peers by gossip.

    ``sent_at`` is the sender's boot clock (s).  Ages are in seconds,
    demands in requests per second.  ``contact`` is a value of
    :class:`gypsummount._core.readers.Contact`: whether the sender
    reaches the store.  ``capacity`` is its share of a processor (cores),
    and ``loads`` are those of upstreams that it saw recently.
    ``old_versions`` are those that serve outside a rollout, by service,
    where upstreams of others exist as well.  ``duties`` are the fencing
    tokens of the duties that the sender holds; the encoded digest has no
    such field while it holds none.
    """

    name: str
    incarnation: int
    host: str
    address: str
    domain: str
    region: str
    phase: str
    sent_at: float
    echo: Echo
    catalog_revision: int
    proof_age_s: float | None
    contact: str
    quotas: dict[str, QuotaDemand] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    rollouts: tuple[RolloutReport, ...] = ()
    known: tuple[KnownPeer, ...] = ()
    capacity: float = 0.0
    loads: dict[str, LoadObservation] = field(default_factory=dict)
    old_versions: dict[str, frozenset[str]] = field(default_factory=dict)
    duties: dict[str, int] = field(default_factory=dict)


def encode_body(digest: Digest) -> bytes:
    """Return the compressed body, the same for all receivers."""
    raw = encode_state(digest)
    raw["known"] = [[peer.name, peer.host] for peer in digest.known]
    return compress_json(raw)


def compress_json(raw: dict) -> bytes:
    """Return a document as compressed JSON."""
    text = dumps(raw, separators=(",", ":"))
    return compress(text.encode(), COMPRESSION_LEVEL)


def encode_state(digest: Digest) -> dict:
    """Return a digest for JSON, without the known peers."""
    raw = {
        "name": digest.name,
        "incarnation": digest.incarnation,
        "host": digest.host,
        "address": digest.address,
        "domain": digest.domain,
        "region": digest.region,
        "phase": digest.phase,
        "sent_at": digest.sent_at,
        "catalog_revision": digest.catalog_revision,
        "proof_age_s": digest.proof_age_s,
        "contact": digest.contact,
        "quotas": [
            [name, quota.demand, quota.share]
            for name, quota in digest.quotas.items()
        ],
        "demand": digest.demand,
        "revisions": digest.revisions,
        "rollouts": [asdict(rollout) for rollout in digest.rollouts],
        "capacity": digest.capacity,
        "loads": [
            [name, round(observation.load, 1), round(observation.age_s, 2)]
            for name, observation in digest.loads.items()
        ],
    }
    if digest.old_versions:
        raw["old_versions"] = {
            service: sorted(versions)
            for service, versions in digest.old_versions.items()
        }
    if digest.duties:
        raw["duties"] = digest.duties
    return raw


def build_datagram(echo: Echo, body: bytes) -> bytes:
    """Return the datagram for one receiver: its echo, then the body."""
    return ECHO_FORMAT.pack(echo.incarnation, echo.at) + body


def decode_digest(datagram: bytes) -> Digest:
    """Return the digest that a datagram encodes.

    :raises RecordInvalid: when the datagram cannot be decoded.
    """
    try:
        echo = Echo(*ECHO_FORMAT.unpack_from(datagram))
        body = datagram[ECHO_FORMAT.size :]
        raw = loads(decompress_bounded(body, MAX_TEXT_BYTES))
        return decode_state(raw, echo)
    except (StructError, ZlibError, *DECODING_ERRORS) as error:
        raise RecordInvalid(
            f"a datagram cannot be decoded as a digest ({error!r}); check "
            "which program sends to the gossip port"
        ) from None


def decode_state(raw: dict, echo: Echo) -> Digest:
    """Return the digest of a decoded document.

    :raises Exception: one of :data:`DECODING_ERRORS` for a malformed one.
    """
    raw["quotas"] = {
        name: QuotaDemand(float(demand), float(share))
        for name, demand, share in raw["quotas"]
    }
    raw["rollouts"] = tuple(
        _decode_rollout(rollout) for rollout in raw["rollouts"]
    )
    raw["loads"] = {
        name: LoadObservation(float(load), float(age_s))
        for name, load, age_s in raw.get("loads", ())
    }
    raw["known"] = tuple(KnownPeer(*peer) for peer in raw.get("known", ()))
    raw["old_versions"] = {
        service: frozenset(str(version) for version in versions)
        for service, versions in raw.get("old_versions", {}).items()
    }
    raw["duties"] = {
        duty: _read_token(token)
        for duty, token in raw.get("duties", {}).items()
    }
    digest = Digest(echo=echo, **raw)
    _check_identity(digest)
    return digest


def _read_token(token: object) -> int:
    if isinstance(token, bool) or not isinstance(token, int):
        raise ValueError("a fencing token is no number")
    if not 0 < token <= MAX_TOKEN:
        raise ValueError("a fencing token is out of range")
    return token


def _check_identity(digest: Digest) -> None:
    """Check what a digest says about who sends it and whom it knows.

    :raises ValueError: when a name is no text or a host no IP address.
    """
    for name in (digest.name, digest.domain, digest.region, digest.phase):
        if not isinstance(name, str):
            raise ValueError("a name is no text")
    for number in (digest.incarnation, digest.sent_at, digest.capacity):
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            raise ValueError("an incarnation or time is no number")
    for host in (digest.host, *(peer.host for peer in digest.known)):
        if not isinstance(host, str):
            raise ValueError("a host is no text")
        check_ip(host)


def _decode_rollout(raw: dict) -> RolloutReport:
    raw["evidence"] = tuple(
        Evidence(**evidence) for evidence in raw["evidence"]
    )
    return RolloutReport(**raw)
