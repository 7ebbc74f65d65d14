"""Complete and incremental copies of records, sent between instances."""

from dataclasses import dataclass
from json import dumps
from json import loads
from zlib import compress
from zlib import error as ZlibError

from gypsummount._common.compression import decompress_bounded
from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._edge.change_log import RecordName
from gypsummount._edge.replica import Replica
from gypsummount._edge.replica import REQUIRED_KINDS
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Origin
from gypsummount._edge.store_feed import Record
from gypsummount.errors import RecordInvalid

COPIED_KINDS = (*REQUIRED_KINDS, Kind.INSTANCE)
COMPRESSION_LEVEL = 1
MAX_COPY_BYTES = 64 << 20


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
    is_complete: bool


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

    @property
    def is_complete(self) -> bool:
        """Tell whether it has all kinds that steering needs."""
        kinds = {copied.kind for copied in self.kinds}
        return kinds.issuperset(REQUIRED_KINDS)


def build_copy(
    replica: Replica, incarnation: int, after: Cursor, requested_at: float
) -> Copy:
    """Return what changed after a cursor.

    All records are returned if the cursor belongs to another
    incarnation or if changes after it were discarded.  ``requested_at``
    is when the request arrived (boot clock, s).
    """
    changed_names = None
    if after.incarnation == incarnation:
        changed_names = replica.list_changed_after(after.sequence)
    kinds = [
        _copy_all(replica, kind)
        if changed_names is None
        else _copy_changes(replica, kind, changed_names)
        for kind in COPIED_KINDS
        if replica.is_known(kind)
    ]
    return Copy(
        Cursor(incarnation, replica.sequence),
        tuple(kinds),
        replica.catalog_revision,
        replica.proof.get_age_at(requested_at),
    )


def _copy_all(replica: Replica, kind: Kind) -> CopiedKind:
    listing = Listing(
        tuple(replica.list_records(kind)), replica.revisions[kind]
    )
    return CopiedKind(kind, listing, replica.changed.get(kind, 0), True)


def _copy_changes(
    replica: Replica, kind: Kind, changed_names: list[RecordName]
) -> CopiedKind:
    revision = replica.revisions[kind]
    records = []
    for name in changed_names:
        if name.kind is kind:
            record = replica.find_record(name)
            if record is None:
                record = Record(kind, name.name, revision, b"", True)
            records.append(record)
    listing = Listing(tuple(records), revision)
    return CopiedKind(kind, listing, replica.changed.get(kind, 0), False)


def apply_copy(replica: Replica, copy: Copy, now: float) -> None:
    """Apply a copy; records that are newer in the replica stay."""
    for copied in copy.kinds:
        if copied.is_complete:
            replica.apply_listing(copied.kind, copied.listing, now)
        elif replica.is_known(copied.kind):
            replica.apply_changes(copied.kind, copied.listing, now)
        replica.record_latest_change(copied.kind, copied.changed)


def encode_copy(copy: Copy) -> bytes:
    """Return a copy encoded as compressed JSON, the body of an answer."""
    text = dumps(
        {
            "incarnation": copy.cursor.incarnation,
            "sequence": copy.cursor.sequence,
            "catalog_revision": copy.catalog_revision,
            "proof_age_s": copy.proof_age_s,
            "kinds": [_encode_kind(copied) for copied in copy.kinds],
        },
        separators=(",", ":"),
    )
    return compress(text.encode(), COMPRESSION_LEVEL)


def _encode_kind(copied: CopiedKind) -> dict:
    return {
        "kind": copied.kind.value,
        "revision": copied.listing.revision,
        "changed": copied.changed,
        "is_whole": copied.is_complete,
        "records": [
            [
                record.name,
                record.revision,
                record.payload.decode(),
                record.is_deleted,
            ]
            for record in copied.listing.records
        ],
    }


def decode_copy(body: bytes) -> Copy:
    """Return the copy that a body encodes.

    :raises RecordInvalid: when the body cannot be decoded.
    """
    try:
        raw = loads(decompress_bounded(body, MAX_COPY_BYTES))
        age_s = raw["proof_age_s"]
        return Copy(
            Cursor(int(raw["incarnation"]), int(raw["sequence"])),
            tuple(_decode_kind(copied) for copied in raw["kinds"]),
            int(raw["catalog_revision"]),
            None if age_s is None else float(age_s),
        )
    except (ZlibError, *DECODING_ERRORS) as error:
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
