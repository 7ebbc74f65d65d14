"""A replica before and after the store was restored from a copy."""

from json import dumps

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.positions import combine_position
from gypsummount._core.restores import RESTORE_HOLD_S
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copies import build_copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import encode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.replica import REMOVAL_HOLD_S
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Origin
from gypsummount._edge.store_feed import Record
from gypsummount.platform.documents import decode_record
from tests.platform.doubles import build_config
from tests.platform.doubles import build_server

NOW = 100.0
LATER = NOW + RESTORE_HOLD_S + 0.1
INCARNATION = 7


class DecodingFeed:
    """The method of a feed that the replica calls."""

    def decode(self, record):
        return decode_record(record)


def build_record(kind, name, era, revision, specification, status=None):
    raw = {
        "metadata": {"name": name, "created": revision},
        "specification": specification,
        "status": status,
    }
    position = combine_position(era, revision)
    return Record(kind, name, position, dumps(raw).encode())


def build_catalog(era, revision, version, keys=("k",)):
    body = build_config(version, list(keys))
    return build_record(Kind.CATALOG, "main", era, revision, body)


def build_evacuation(name, era, revision):
    return build_record(Kind.EVACUATION, name, era, revision, {})


def build_order(era, revision, target, state=""):
    body = {"service": "s", "targetVersion": target, "durationS": 16}
    status = {"state": state, "targetVersion": target} if state else None
    return build_record(Kind.ROLLOUT, "s", era, revision, body, status)


def build_upstream(era, revision, state="ready", **fields):
    body = build_server("10.0.0.1:80", state=state, **fields)
    return build_record(Kind.UPSTREAM, "u", era, revision, body)


def list_kind(replica, kind, era, revision, *records, now=NOW):
    position = combine_position(era, revision)
    replica.apply_listing(kind, Listing(records, position), now)


def change(replica, record, now=NOW):
    listing = Listing((record,), record.revision, Origin.WATCH)
    replica.apply_changes(record.kind, listing, now)


def delete(replica, kind, name, era, revision, now=NOW):
    position = combine_position(era, revision)
    change(replica, Record(kind, name, position, b"", True), now)


def copy(source, target, after=NO_CURSOR, now=NOW):
    sent = decode_copy(
        encode_copy(build_copy(source, INCARNATION, after, now))
    )
    apply_copy(target, sent, now)
    return sent


def build_replica(version=7):
    """Return a replica of era 1 at revision 100."""
    replica = Replica(DecodingFeed(), FreshnessProof(4.0))
    list_kind(replica, Kind.CATALOG, 1, 100, build_catalog(1, 90, version))
    for kind in (Kind.UPSTREAM, Kind.EVACUATION, Kind.ROLLOUT, Kind.INSTANCE):
        list_kind(replica, kind, 1, 100)
    replica.proof.record_read(replica.catalog_revision, NOW)
    return replica


@pytest.fixture
def replica():
    return build_replica()


class TestConfiguration:
    def test_lost_version_stays_in_force(self, replica):
        """Guards against a withdrawn key that comes back."""
        lost = build_catalog(1, 101, 8, keys=("new",))
        change(replica, lost)
        list_kind(replica, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        assert replica.catalog.version == 8
        assert replica.catalog.find_owner("k") is None
        assert replica.is_catalog_withheld
        assert not replica.has_newest_catalog

    def test_operators_next_write_is_applied(self, replica):
        change(replica, build_catalog(1, 101, 8))
        list_kind(replica, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        change(replica, build_catalog(2, 97, 8))
        assert replica.catalog_revision == combine_position(2, 97)
        assert replica.has_newest_catalog

    def test_known_version_is_confirmed_by_the_copy(self, replica):
        list_kind(replica, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        assert replica.catalog_revision == combine_position(2, 90)
        assert replica.has_newest_catalog

    def test_lower_version_of_the_same_era_is_applied(self, replica):
        change(replica, build_catalog(1, 101, 3))
        assert replica.catalog.version == 3

    def test_lost_version_of_a_peer_is_taken(self, replica):
        """Guards against a process that starts after the restore.

        It knows only the store's older version, in which a withdrawn key
        is still valid.
        """
        change(replica, build_catalog(1, 101, 8, keys=("new",)))
        list_kind(replica, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        started = Replica(DecodingFeed(), FreshnessProof(4.0))
        list_kind(started, Kind.CATALOG, 2, 99, build_catalog(2, 90, 7))
        started.proof.record_read(started.catalog_revision, NOW)
        assert started.proof.is_fresh(NOW)
        copy(replica, started)
        assert started.catalog.version == 8
        assert started.is_catalog_withheld
        assert not started.proof.is_fresh(NOW)

    def test_unreadable_version_of_the_new_era_changes_nothing(self, replica):
        broken = build_record(Kind.CATALOG, "main", 2, 94, {"version": "x"})
        for _ in range(3):
            list_kind(replica, Kind.CATALOG, 2, 95, broken)
        sequence = replica.sequence
        list_kind(replica, Kind.CATALOG, 2, 95, broken)
        assert replica.sequence == sequence
        assert replica.catalog.version == 7
        assert not replica.has_newest_catalog

    def test_follower_is_told_that_no_proof_can_come(self, replica):
        follower = build_replica()
        change(replica, build_catalog(1, 101, 8))
        list_kind(replica, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        copy(replica, follower)
        assert follower.catalog.version == 8
        assert follower.is_catalog_withheld


class TestLostRecords:
    def test_lost_evacuation_stays_for_the_hold(self, replica):
        """Guards against traffic to a domain that is still evacuated."""
        change(replica, build_evacuation("z1", 1, 101))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        list_kind(replica, Kind.EVACUATION, 2, 96)
        replica.remove_expired(LATER - 1.0)
        assert replica.evacuated == {"z1"}
        replica.remove_expired(LATER)
        assert replica.evacuated == frozenset()

    def test_repeated_evacuation_ends_the_hold(self, replica):
        change(replica, build_evacuation("z1", 1, 101))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        change(replica, build_evacuation("z1", 2, 97))
        replica.remove_expired(LATER)
        assert replica.evacuated == {"z1"}

    def test_removal_in_the_new_era_is_applied(self, replica):
        change(replica, build_evacuation("z1", 1, 101))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        delete(replica, Kind.EVACUATION, "z1", 2, 97)
        assert replica.evacuated == frozenset()

    def test_lost_order_and_registration_stay(self, replica):
        change(replica, build_order(1, 101, "v2"))
        change(
            replica,
            build_record(Kind.INSTANCE, "n1", 1, 102, {"host": "10.0.0.1"}),
        )
        list_kind(replica, Kind.ROLLOUT, 2, 95)
        list_kind(replica, Kind.INSTANCE, 2, 95)
        assert replica.rollouts["s"].target == "v2"
        assert "n1" in replica.instances

    def test_lost_upstream_stays_for_its_shorter_hold(self, replica):
        change(replica, build_upstream(1, 101))
        list_kind(replica, Kind.UPSTREAM, 2, 95)
        replica.remove_expired(NOW + REMOVAL_HOLD_S - 0.1)
        assert "u" in replica.upstreams
        replica.remove_expired(NOW + REMOVAL_HOLD_S)
        assert "u" not in replica.upstreams

    @pytest.mark.parametrize("has_listed", [True, False])
    def test_started_instance_learns_what_its_peer_keeps(
        self, replica, has_listed
    ):
        """Guards against instances that start during the hold."""
        change(replica, build_evacuation("z1", 1, 101))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        started = Replica(DecodingFeed(), FreshnessProof(4.0))
        if has_listed:
            list_kind(started, Kind.EVACUATION, 2, 95)
        copy(replica, started)
        assert started.evacuated == {"z1"}
        started.remove_expired(LATER)
        assert started.evacuated == frozenset()


class TestReturnedRecords:
    @pytest.fixture
    def removed(self, replica):
        """Return a replica in which an evacuation and an order ended."""
        change(replica, build_evacuation("z1", 1, 101))
        change(replica, build_order(1, 102, "v2"))
        delete(replica, Kind.EVACUATION, "z1", 1, 103)
        delete(replica, Kind.ROLLOUT, "s", 1, 104)
        return replica

    def test_removed_records_are_ignored_for_the_hold(self, removed):
        list_kind(
            removed, Kind.EVACUATION, 2, 102, build_evacuation("z1", 2, 101)
        )
        list_kind(removed, Kind.ROLLOUT, 2, 102, build_order(2, 102, "v2"))
        removed.remove_expired(LATER - 1.0)
        assert removed.evacuated == frozenset()
        assert removed.rollouts == {}
        removed.remove_expired(LATER)
        assert removed.evacuated == {"z1"}
        assert removed.rollouts["s"].target == "v2"

    def test_new_write_is_accepted_at_once(self, removed):
        list_kind(
            removed, Kind.EVACUATION, 2, 102, build_evacuation("z1", 2, 101)
        )
        change(removed, build_evacuation("z1", 2, 103))
        assert removed.evacuated == {"z1"}

    def test_repeated_removal_is_applied(self, removed):
        list_kind(
            removed, Kind.EVACUATION, 2, 102, build_evacuation("z1", 2, 101)
        )
        delete(removed, Kind.EVACUATION, "z1", 2, 103)
        removed.remove_expired(LATER)
        assert removed.evacuated == frozenset()

    def test_new_evacuation_in_the_first_listing_is_accepted(self, removed):
        list_kind(
            removed, Kind.EVACUATION, 2, 105, build_evacuation("z2", 2, 105)
        )
        assert removed.evacuated == {"z2"}

    def test_second_restore_does_not_bring_it_back(self, removed):
        back = build_evacuation("z1", 2, 101)
        list_kind(removed, Kind.EVACUATION, 2, 102, back)
        back = build_evacuation("z1", 3, 101)
        list_kind(removed, Kind.EVACUATION, 3, 102, back, now=NOW + 5.0)
        removed.remove_expired(LATER)
        assert removed.evacuated == frozenset()

    def test_replaced_order_stays_until_the_hold_ends(self, replica):
        change(replica, build_order(1, 101, "v2"))
        change(replica, build_order(1, 105, "v3"))
        list_kind(replica, Kind.ROLLOUT, 2, 102, build_order(2, 101, "v2"))
        assert replica.rollouts["s"].target == "v3"
        change(replica, build_order(2, 106, "v3"))
        replica.remove_expired(LATER)
        assert replica.rollouts["s"].target == "v3"

    def test_draining_upstream_does_not_become_ready(self, replica):
        """Guards against new work at an upstream that is leaving."""
        change(replica, build_upstream(1, 101, sequence=4))
        change(replica, build_upstream(1, 102, "draining", sequence=4))
        restored = build_upstream(2, 101, sequence=4)
        list_kind(replica, Kind.UPSTREAM, 2, 101, restored)
        replica.remove_expired(LATER)
        assert not replica.upstreams["u"].is_ready
        change(replica, build_upstream(2, 103, sequence=5))
        assert replica.upstreams["u"].is_ready

    def test_upstream_that_has_gone_does_not_return(self, replica):
        change(replica, build_upstream(1, 101, sequence=4, born=5000))
        delete(replica, Kind.UPSTREAM, "u", 1, 102)
        restored = build_upstream(2, 101, sequence=3, born=5000)
        list_kind(replica, Kind.UPSTREAM, 2, 101, restored)
        replica.remove_expired(LATER)
        assert replica.upstreams == {}
        change(replica, build_upstream(2, 103, sequence=4, born=5000))
        assert replica.upstreams == {}
        change(replica, build_upstream(2, 104, sequence=5, born=5000))
        assert replica.upstreams["u"].sequence == 5

    def test_older_heartbeat_does_not_replace_a_later_one(self, replica):
        change(replica, build_upstream(1, 101, sequence=9, born=5000))
        restored = build_upstream(2, 99, sequence=8, born=5000)
        list_kind(replica, Kind.UPSTREAM, 2, 100, restored)
        assert replica.upstreams["u"].sequence == 9


class TestCopies:
    def test_follower_copies_everything_after_a_restore(self, replica):
        """Guards against records that only the follower had known.

        Incremental copies would never tell it that they are lost.
        """
        follower = build_replica()
        sent = copy(replica, follower)
        change(follower, build_upstream(1, 101))
        list_kind(replica, Kind.UPSTREAM, 2, 95)
        cursor = Cursor(INCARNATION, sent.cursor.sequence)
        copy(replica, follower, cursor)
        follower.remove_expired(NOW + REMOVAL_HOLD_S)
        assert follower.upstreams == {}

    def test_peer_of_an_earlier_era_changes_nothing(self, replica):
        """Guards against an older view that spreads as the newer one."""
        behind = build_replica(version=6)
        change(behind, build_evacuation("z1", 1, 120))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        copy(behind, replica)
        assert replica.evacuated == frozenset()

    def test_follower_keeps_what_its_source_removes_late(self, replica):
        follower = build_replica()
        for each in (replica, follower):
            change(each, build_evacuation("z1", 1, 101))
        list_kind(replica, Kind.EVACUATION, 2, 95)
        copy(replica, follower)
        assert follower.evacuated == {"z1"}
        replica.remove_expired(LATER)
        copy(replica, follower, now=LATER)
        follower.remove_expired(LATER)
        assert follower.evacuated == frozenset()


class TestStoreWithoutEras:
    def test_missing_records_go_at_once(self):
        replica = Replica(DecodingFeed(), FreshnessProof(4.0))
        list_kind(
            replica, Kind.EVACUATION, 0, 10, build_evacuation("z1", 0, 9)
        )
        list_kind(replica, Kind.UPSTREAM, 0, 10, build_upstream(0, 9))
        list_kind(replica, Kind.EVACUATION, 0, 11)
        list_kind(replica, Kind.UPSTREAM, 0, 11)
        assert replica.evacuated == frozenset()
        assert replica.upstreams == {}
        assert replica.restores.count == 0
