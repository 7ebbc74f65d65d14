"""Messages between instances and their encoding as UDP datagrams."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from json import loads

from gypsummount._core.judgement import Evidence
from gypsummount._core.quotas import QuotaDemand
from gypsummount.errors import RecordInvalid

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class RolloutNews:
    """How an instance sees an order; ``old_in_flight`` are requests."""

    service: str
    created: int
    elapsed_s: float
    veto: str
    has_moved: bool
    old_in_flight: int
    evidence: tuple[Evidence, ...] = ()


@dataclass(slots=True, frozen=True)
class Acquaintance:
    """Another instance that the sender has heard, and its IP."""

    name: str
    host: str


@dataclass(slots=True, frozen=True)
class Echo:
    """The latest digest that the sender got from the receiver.

    ``at`` is the receiver's own boot clock (s) when it sent that.
    """

    incarnation: int
    at: float


NO_ECHO = Echo(0, 0.0)


@dataclass(slots=True, frozen=True)
class Digest:
    """What an instance tells its peers.

    ``sent_at`` is the sender's boot clock (s); ages and demands are in
    seconds and requests a second.  ``contact`` is how the sender stands
    with the store (:class:`gypsummount._core.readers.Contact`).
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
    rollouts: tuple[RolloutNews, ...] = ()
    known: tuple[Acquaintance, ...] = ()


def encode_digest(digest: Digest) -> bytes:
    """Return the datagram of a digest."""
    return dumps(asdict(digest), separators=(",", ":")).encode()


def decode_digest(datagram: bytes) -> Digest:
    """Return the digest of a datagram.

    :raises RecordInvalid: when it is not one.
    """
    try:
        raw = loads(datagram)
        raw["quotas"] = {
            name: QuotaDemand(float(one["demand"]), float(one["share"]))
            for name, one in raw["quotas"].items()
        }
        raw["echo"] = Echo(**raw["echo"])
        raw["rollouts"] = tuple(_decode_news(one) for one in raw["rollouts"])
        raw["known"] = tuple(Acquaintance(**one) for one in raw["known"])
        return Digest(**raw)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordInvalid(
            f"a datagram is no digest ({error!r}); look who sends to the "
            "gossip port"
        ) from None


def _decode_news(raw: dict) -> RolloutNews:
    raw["evidence"] = tuple(Evidence(**one) for one in raw["evidence"])
    return RolloutNews(**raw)
