"""Complete and incremental copies of records, sent between instances."""

from dataclasses import dataclass
from json import dumps
from json import loads

from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._edge.belief import Belief
from gypsummount._edge.belief import RecordName
from gypsummount._edge.belief import REQUIRED
from gypsummount._edge.feed import Kind
from gypsummount._edge.feed import Listing
from gypsummount._edge.feed import Origin
from gypsummount._edge.feed import Record
from gypsummount.errors import RecordInvalid


@dataclass(slots=True, frozen=True)
class Cursor:
    """The sender's last change that a receiver has applied.

    ``sequence`` is the number of that change in the sender's replica;
    it is valid for one incarnation of the sender only.
    """

    incarnation: int
    sequence: int


NO_CURSOR = Cursor(0, 0)


@dataclass(slots=True, frozen=True)
class CopiedKind:
    """All records of one kind, or those that changed after a cursor.

    ``changed`` is the revision of the latest change to the kind that
    the sender knows of.
    """

    kind: Kind
    listing: Listing
    changed: int
    is_whole: bool


@dataclass(slots=True, frozen=True)
class Copy:
    """A sender's changes after a cursor, or all of its records.

    ``proof_age_s`` is how old the sender's freshness proof was when the
    request arrived (s), or None without a proof.  It is negative for a
    proof that was made while the request waited for changes.
    """

    cursor: Cursor
    kinds: tuple[CopiedKind, ...]
    catalog_revision: int
    proof_age_s: float | None


def build_copy(
    belief: Belief, incarnation: int, after: Cursor, asked_at: float
) -> Copy:
    """Return what changed after a cursor.

    All records are returned if the cursor belongs to another
    incarnation or if changes after it were discarded.  ``asked_at`` is
    when the request arrived (boot clock, s).
    """
    touched = None
    if after.incarnation == incarnation:
        touched = belief.list_touched(after.sequence)
    kinds = [
        _copy_whole(belief, kind)
        if touched is None
        else _copy_changes(belief, kind, touched)
        for kind in REQUIRED
        if belief.is_known(kind)
    ]
    return Copy(
        Cursor(incarnation, belief.sequence),
        tuple(kinds),
        belief.catalog_revision,
        belief.proof.find_lag(asked_at),
    )


def _copy_whole(belief: Belief, kind: Kind) -> CopiedKind:
    listing = Listing(tuple(belief.list_records(kind)), belief.revisions[kind])
    return CopiedKind(kind, listing, belief.changed.get(kind, 0), True)


def _copy_changes(
    belief: Belief, kind: Kind, touched: list[RecordName]
) -> CopiedKind:
    revision = belief.revisions[kind]
    records = []
    for name in touched:
        if name.kind is kind:
            record = belief.find_record(name)
            if record is None:
                record = Record(kind, name.name, revision, b"", True)
            records.append(record)
    listing = Listing(tuple(records), revision)
    return CopiedKind(kind, listing, belief.changed.get(kind, 0), False)


def apply_copy(belief: Belief, copy: Copy, now: float) -> None:
    """Apply a copy, except for records that the replica has newer."""
    for part in copy.kinds:
        if part.is_whole:
            belief.take_listing(part.kind, part.listing, now)
        elif belief.is_known(part.kind):
            belief.take_changes(part.kind, part.listing, now)
        belief.note_changed(part.kind, part.changed)


def encode_copy(copy: Copy) -> bytes:
    """Return a copy encoded as the JSON body of an answer."""
    return dumps(
        {
            "incarnation": copy.cursor.incarnation,
            "sequence": copy.cursor.sequence,
            "catalog_revision": copy.catalog_revision,
            "proof_age_s": copy.proof_age_s,
            "kinds": [_encode_kind(part) for part in copy.kinds],
        },
        separators=(",", ":"),
    ).encode()


def _encode_kind(part: CopiedKind) -> dict:
    return {
        "kind": part.kind.value,
        "revision": part.listing.revision,
        "changed": part.changed,
        "is_whole": part.is_whole,
        "records": [
            [one.name, one.revision, one.payload.decode(), one.is_deleted]
            for one in part.listing.records
        ],
    }


def decode_copy(body: bytes) -> Copy:
    """Return the copy that a body encodes.

    :raises RecordInvalid: when the body cannot be decoded.
    """
    try:
        raw = loads(body)
        age_s = raw["proof_age_s"]
        return Copy(
            Cursor(int(raw["incarnation"]), int(raw["sequence"])),
            tuple(_decode_kind(part) for part in raw["kinds"]),
            int(raw["catalog_revision"]),
            None if age_s is None else float(age_s),
        )
    except DECODING_ERRORS as error:
        raise RecordInvalid(
            f"a copy of records cannot be decoded ({error!r}); check which "
            "program listens on the peer port"
        ) from None


def _decode_kind(raw: dict) -> CopiedKind:
    kind = Kind(raw["kind"])
    records = tuple(
        Record(kind, name, int(revision), payload.encode(), bool(is_deleted))
        for name, revision, payload, is_deleted in raw["records"]
    )
    listing = Listing(records, int(raw["revision"]), Origin.COPY)
    return CopiedKind(
        kind, listing, int(raw["changed"]), bool(raw["is_whole"])
    )
