"""Copies of records: complete, incremental and out of order."""

from json import dumps

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.change_log import MAX_RECENT_CHANGES
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copies import build_copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import encode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.replica import Replica
from gypsummount._edge.replica import REQUIRED_KINDS
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Record
from gypsummount.errors import RecordInvalid
from gypsummount.platform.documents import decode_record

INCARNATION = 7
NOW = 100.0


class DecodingFeed:
    """The method of a feed that the replica calls."""

    def decode(self, record):
        return decode_record(record)


def build_replica():
    replica = Replica(DecodingFeed(), FreshnessProof(4.0))
    for kind in REQUIRED_KINDS:
        replica.apply_listing(kind, Listing((), 5), NOW)
    return replica


def build_upstream(name, revision, state="ready", *, is_deleted=False):
    body = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 2,
        "state": state,
        "sequence": 1,
        "coldRemainingS": 0,
    }
    payload = dumps({"specification": body}).encode()
    return Record(Kind.UPSTREAM, name, revision, payload, is_deleted)


def change(replica, *records):
    revision = max(record.revision for record in records)
    replica.apply_changes(Kind.UPSTREAM, Listing(records, revision), NOW)


def send(source, target, after=NO_CURSOR):
    """Copy changes to the target, encoded as between instances."""
    copy = decode_copy(
        encode_copy(build_copy(source, INCARNATION, after, NOW))
    )
    apply_copy(target, copy, NOW)
    return copy


@pytest.fixture
def reader():
    return build_replica()


@pytest.fixture
def follower():
    return build_replica()


class TestCopies:
    def test_first_copy_is_complete(self, reader, follower):
        change(reader, build_upstream("i-1", 6), build_upstream("i-2", 7))
        copy = send(reader, follower)
        assert all(copied.is_complete for copied in copy.kinds)
        assert set(follower.upstreams) == {"i-1", "i-2"}

    def test_next_copy_holds_only_what_changed(self, reader, follower):
        change(reader, build_upstream("i-1", 6), build_upstream("i-2", 7))
        first = send(reader, follower)
        change(reader, build_upstream("i-2", 8, "draining"))
        copy = send(reader, follower, first.cursor)
        sent = [
            record.name
            for copied in copy.kinds
            for record in copied.listing.records
        ]
        assert sent == ["i-2"]
        assert not follower.upstreams["i-2"].is_ready
        assert follower.upstreams["i-1"].is_ready

    def test_removal_is_copied(self, reader, follower):
        change(reader, build_upstream("i-1", 6))
        first = send(reader, follower)
        change(reader, build_upstream("i-1", 9, is_deleted=True))
        send(reader, follower, first.cursor)
        assert follower.upstreams == {}

    def test_older_copy_reverts_nothing(self, reader, follower):
        change(reader, build_upstream("i-1", 6))
        change(follower, build_upstream("i-1", 8, "draining"))
        send(reader, follower)
        assert not follower.upstreams["i-1"].is_ready

    def test_copy_of_a_lagging_peer_restores_no_removed_upstream(
        self, reader, follower
    ):
        """Guards against removed upstreams that a lagging peer restores.

        The peer's copy still holds the record, as the peer has not seen
        the removal yet.
        """
        first = send(reader, follower)
        change(follower, build_upstream("i-1", 6))
        change(follower, build_upstream("i-1", 9, is_deleted=True))
        change(reader, build_upstream("i-1", 6))
        send(reader, follower, first.cursor)
        assert follower.upstreams == {}

    def test_cursor_of_another_incarnation_gets_a_complete_copy(
        self, reader, follower
    ):
        change(reader, build_upstream("i-1", 6))
        before = Cursor(INCARNATION - 1, reader.sequence)
        copy = send(reader, follower, before)
        assert set(follower.upstreams) == {"i-1"}
        assert all(copied.is_complete for copied in copy.kinds)

    def test_discarded_changes_lead_to_a_complete_copy(self, reader, follower):
        first = send(reader, follower)
        for number in range(MAX_RECENT_CHANGES + 10):
            change(reader, build_upstream(f"i-{number}", 10 + number))
        copy = send(reader, follower, first.cursor)
        assert all(copied.is_complete for copied in copy.kinds)
        assert len(follower.upstreams) == MAX_RECENT_CHANGES + 10

    def test_invalid_bodies_are_rejected(self):
        for body in (b"", b"[]", b'{"kinds": 1}', b"\xff"):
            with pytest.raises(RecordInvalid):
                decode_copy(body)


class TestProof:
    def test_proof_made_while_the_request_waited_keeps_its_own_age(
        self, reader
    ):
        """Guards against proofs that seem too old after a long poll.

        The time for which a request waits for changes must not count as
        age of a proof that was made meanwhile.
        """
        requested_at = NOW
        reader.catalog_revision = 5
        reader.proof.record_read(5, requested_at + 0.5)
        copy = build_copy(reader, INCARNATION, NO_CURSOR, requested_at)
        proof = FreshnessProof(4.0)
        proof.record_peer_proof(
            copy.catalog_revision, requested_at - 0.01, copy.proof_age_s
        )
        assert proof.get_age(requested_at + 0.6) == pytest.approx(0.11)

    def test_copy_without_a_proof_has_no_proof_age(self, reader):
        copy = build_copy(reader, INCARNATION, NO_CURSOR, NOW)
        assert copy.proof_age_s is None
