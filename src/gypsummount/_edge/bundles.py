"""Bundles: the state of a whole failure domain in a few datagrams.

The members' loads of upstreams are merged, so that a receiver decodes one
load for each upstream instead of one for each member and upstream.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from json import loads
from zlib import error as ZlibError

from gypsummount._common.compression import decompress_bounded
from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.digests import compress_json
from gypsummount._edge.digests import decode_loads
from gypsummount._edge.digests import decode_state
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import encode_loads
from gypsummount._edge.digests import encode_state
from gypsummount._edge.digests import NO_ECHO
from gypsummount.errors import RecordInvalid

# The first bytes of a digest are those of an incarnation (Unix time in ms),
# which never begins so.
MARK = b"\xffB"
TO_RELAY = b"\x00"
TO_MEMBER = b"\x01"
HEAD_BYTES = len(MARK) + 1
MAX_TEXT_BYTES = 1 << 20
# Members in one datagram, so that it fits into one packet.
MEMBERS_PER_DATAGRAM = 8


@dataclass(slots=True, frozen=True)
class RelayedDigest:
    """A member's digest and its age (s) when the bundle was sent."""

    digest: Digest
    age_s: float


@dataclass(slots=True, frozen=True)
class Bundle:
    """A part of what a relay knows of its domain.

    A part holds some of the members.  ``loads`` holds the newest load of
    each upstream that its members saw; their digests hold none.
    """

    domain: str
    members: tuple[RelayedDigest, ...] = ()
    loads: dict[str, LoadObservation] = field(default_factory=dict)


# Tells by name, incarnation and time whether a digest is newer.
DigestFilter = Callable[[str, int, float], bool]


def is_any(name: str, incarnation: int, sent_at: float) -> bool:
    """Accept every digest."""
    return True


def is_bundle(datagram: bytes) -> bool:
    """Tell whether a datagram holds a bundle."""
    return datagram.startswith(MARK)


def is_forwarded(datagram: bytes) -> bool:
    """Tell whether a relay of the receiver's domain sent the bundle on."""
    return datagram[len(MARK) : HEAD_BYTES] == TO_MEMBER


def forward_bundle(datagram: bytes) -> bytes:
    """Return the datagram that passes a bundle on to members."""
    return MARK + TO_MEMBER + datagram[HEAD_BYTES:]


def merge_loads(
    members: tuple[RelayedDigest, ...],
) -> dict[str, LoadObservation]:
    """Return the newest load of each upstream that some members saw."""
    merged: dict[str, LoadObservation] = {}
    for member in members:
        for name, observation in member.digest.loads.items():
            age_s = member.age_s + observation.age_s
            known = merged.get(name)
            if known is None or age_s < known.age_s:
                merged[name] = LoadObservation(observation.load, age_s)
    return merged


def split_members(
    members: list[RelayedDigest],
) -> list[tuple[RelayedDigest, ...]]:
    """Return the members in parts that each fit into one datagram."""
    return [
        tuple(members[start : start + MEMBERS_PER_DATAGRAM])
        for start in range(0, len(members), MEMBERS_PER_DATAGRAM)
    ]


def encode_bundle(bundle: Bundle) -> bytes:
    """Return a bundle as a datagram to another domain's relay."""
    raw = {
        "domain": bundle.domain,
        "members": [
            [round(member.age_s, 3), encode_state(member.digest, {})]
            for member in bundle.members
        ],
        "loads": encode_loads(merge_loads(bundle.members)),
    }
    return MARK + TO_RELAY + compress_json(raw)


def decode_bundle(datagram: bytes, is_newer: DigestFilter = is_any) -> Bundle:
    """Return the bundle that a datagram encodes.

    Members of which ``is_newer`` knows a newer digest are left out: two
    relays send them.

    :raises RecordInvalid: when the datagram cannot be decoded.
    """
    try:
        body = datagram[HEAD_BYTES:]
        raw = loads(decompress_bounded(body, MAX_TEXT_BYTES))
        return Bundle(
            _read_text(raw["domain"]),
            tuple(
                RelayedDigest(decode_state(state, NO_ECHO), float(age_s))
                for age_s, state in raw["members"]
                if is_newer(
                    state["name"], state["incarnation"], state["sent_at"]
                )
            ),
            decode_loads(raw.get("loads", ())),
        )
    except (ZlibError, *DECODING_ERRORS) as error:
        raise RecordInvalid(
            f"a datagram cannot be decoded as a bundle ({error!r}); check "
            "which program sends to the gossip port"
        ) from None


def _read_text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("a name is no text")
    return value
