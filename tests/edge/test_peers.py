"""Large fleets, in which a gossip round reaches only some peers."""

from dataclasses import replace

import pytest

from gypsummount._core.quotas import QuotaDemand
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import join_echo
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING
from gypsummount._edge.peers import HEARING_S
from gypsummount._edge.peers import LIVE_S
from gypsummount._edge.peers import Peers
from gypsummount.errors import RecordInvalid

MAX_DATAGRAM_BYTES = 1400
REGIONS = ("r1", "r2", "r3")


def build_digest(number, region):
    return Digest(
        f"front-{region}-{number}",
        1,
        f"10.0.{number}.1",
        f"10.0.{number}.1:80",
        f"{region}-a",
        region,
        SERVING,
        1.0,
        NO_ECHO,
        5,
        0.5,
        "idle",
    )


def build_fleet(size):
    peers = Peers("r1")
    for number in range(size):
        peers.take(build_digest(number, REGIONS[number % 3]), 0.0)
    return peers


class TestLiveness:
    def test_small_fleet_is_told_each_round(self):
        peers = build_fleet(13)
        turns = peers.find_turns()
        assert turns.near >= 4
        assert turns.far >= 8
        assert len(peers.list_live(LIVE_S)) == 13
        assert peers.list_live(LIVE_S + 0.1) == []

    def test_no_peer_of_a_large_fleet_is_lost_between_its_turns(self):
        peers = build_fleet(74)
        for is_far in (False, True):
            gap_s = peers.find_gap(is_far=is_far)
            live = peers.list_live(2 * gap_s + 0.1)
            regions = {one.region for one in live}
            assert regions >= ({"r2", "r3"} if is_far else {"r1"})

    def test_all_of_a_large_fleet_have_had_a_turn_until_they_are_counted(self):
        """Guards against rate shares computed before all peers are known.

        They would leave out the peers that have sent no digest yet, so
        the instances together would exceed the rate.
        """
        assert build_fleet(8).find_hearing() == HEARING_S
        large = build_fleet(74)
        assert large.find_hearing() > large.find_gap(is_far=True)

    def test_datagrams_a_second_do_not_grow_with_the_fleet(self):
        small = build_fleet(20).find_turns()
        large = build_fleet(2000).find_turns()
        assert large.near + large.far <= small.near + small.far + 2


class TestDatagrams:
    def test_digest_comes_back_with_the_receivers_echo(self):
        digest = replace(
            build_digest(3, "r2"), quotas={"w": QuotaDemand(1.5, 0.25)}
        )
        datagram = join_echo(Echo(77, 1.25), encode_body(digest))
        assert decode_digest(datagram) == replace(digest, echo=Echo(77, 1.25))

    def test_digest_of_eighty_workspaces_fits_one_packet(self):
        quotas = {
            f"workspace-{number}": QuotaDemand(number * 0.37 % 9, 0.0133)
            for number in range(80)
        }
        digest = replace(build_digest(3, "r2"), quotas=quotas)
        datagram = join_echo(NO_ECHO, encode_body(digest))
        assert len(datagram) <= MAX_DATAGRAM_BYTES

    def test_other_bytes_are_no_digest(self):
        whole = join_echo(NO_ECHO, encode_body(build_digest(3, "r2")))
        for datagram in (b"", b"x", whole[:-3], whole[:20], bytes(60)):
            with pytest.raises(RecordInvalid):
                decode_digest(datagram)
