"""Peers that keep a configuration which a restored store has lost."""

from dataclasses import replace

import pytest

from gypsummount._core.positions import combine_position
from gypsummount._edge.restored_catalogs import FOLLOWER_DELAY_S
from gypsummount._edge.restored_catalogs import KeeperSearch
from gypsummount._edge.restored_catalogs import RETRY_DELAY_S
from gypsummount._edge.store_feed import Kind
from tests.edge.test_peers import build_digest
from tests.edge.test_restores import build_catalog
from tests.edge.test_restores import build_replica
from tests.edge.test_restores import change
from tests.edge.test_restores import list_kind
from tests.edge.test_restores import NOW


def build_peer(catalog_position, known_position, number=2):
    return replace(
        build_digest(number, "r1"),
        catalog_revision=catalog_position,
        revisions={"catalog": known_position},
    )


LOST = combine_position(1, 101)
COPIED = combine_position(2, 90)
KEEPER = build_peer(LOST, COPIED)


@pytest.fixture
def replica():
    """Return a replica that has applied the store's older version."""
    created = build_replica()
    list_kind(created, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
    return created


class TestSearch:
    def test_reader_asks_at_once(self, replica):
        """Guards against keys that only the store's old copy still has."""
        search = KeeperSearch(replica)
        assert search.find([KEEPER], NOW, is_reading=True) is KEEPER
        assert search.is_pending

    def test_followers_wait_for_their_source(self, replica):
        """Guards against hundreds of copies at the one peer."""
        search = KeeperSearch(replica)
        assert search.find([KEEPER], NOW, is_reading=False) is None
        later = NOW + FOLLOWER_DELAY_S
        assert search.find([KEEPER], later, is_reading=False) is KEEPER

    def test_peer_is_not_asked_over_and_over(self, replica):
        search = KeeperSearch(replica)
        assert search.find([KEEPER], NOW, is_reading=True) is KEEPER
        assert search.find([KEEPER], NOW + 0.1, is_reading=True) is None
        later = NOW + RETRY_DELAY_S
        assert search.find([KEEPER], later, is_reading=True) is KEEPER

    @pytest.mark.parametrize(
        "peer",
        [
            build_peer(LOST, LOST),
            build_peer(COPIED, COPIED),
            build_peer(0, COPIED),
        ],
        ids=["behind", "equal", "starting"],
    )
    def test_other_peers_are_not_asked(self, replica, peer):
        search = KeeperSearch(replica)
        assert search.find([peer], NOW, is_reading=True) is None

    def test_peer_that_is_behind_may_still_keep_a_later_one(self, replica):
        """Guards against a first proof before the peers know the restore."""
        search = KeeperSearch(replica)
        search.find([build_peer(LOST, LOST)], NOW, is_reading=True)
        assert search.is_pending
        search.find([build_peer(COPIED, COPIED)], NOW, is_reading=True)
        assert not search.is_pending

    def test_keeper_asks_only_peers_with_a_later_one(self, replica):
        keeper = build_replica()
        change(keeper, build_catalog(1, 101, 8))
        list_kind(keeper, Kind.CATALOG, 2, 95, build_catalog(2, 90, 7))
        search = KeeperSearch(keeper)
        assert search.find([KEEPER], NOW, is_reading=True) is None
        later = build_peer(combine_position(1, 102), COPIED, number=3)
        assert search.find([KEEPER, later], NOW, is_reading=True) is later

    def test_store_without_eras_is_never_searched(self):
        replica = build_replica()
        replica.changed[Kind.CATALOG] = 90
        search = KeeperSearch(replica)
        peer = build_peer(80, 95)
        assert search.find([peer], NOW, is_reading=True) is None
