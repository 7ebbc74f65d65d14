"""Large fleets, in which a gossip round reaches only some peers."""

from dataclasses import replace

import pytest

from gypsummount._core.quotas import QuotaDemand
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING
from gypsummount._edge.peers import MIN_DISCOVERY_S
from gypsummount._edge.peers import MIN_LIVE_S
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
        peers.accept(build_digest(number, REGIONS[number % 3]), 0.0)
    return peers


class TestLiveness:
    def test_small_fleet_gets_a_digest_each_round(self):
        peers = build_fleet(13)
        fanout = peers.get_fanout()
        assert fanout.same_region >= 4
        assert fanout.other_regions >= 8
        assert len(peers.list_live(MIN_LIVE_S)) == 13
        assert peers.list_live(MIN_LIVE_S + 0.1) == []

    def test_no_peer_of_a_large_fleet_expires_between_its_digests(self):
        peers = build_fleet(74)
        for is_other_region in (False, True):
            interval_s = peers.compute_max_interval(
                is_other_region=is_other_region
            )
            live = peers.list_live(2 * interval_s + 0.1)
            regions = {digest.region for digest in live}
            assert regions >= ({"r2", "r3"} if is_other_region else {"r1"})

    def test_discovery_lasts_until_each_peer_has_sent_a_digest(self):
        """Guards against rate shares computed before all peers are known.

        They would leave out the peers that have sent no digest yet, so
        the instances together would exceed the rate.
        """
        assert build_fleet(8).compute_discovery_time() == MIN_DISCOVERY_S
        large = build_fleet(74)
        assert large.compute_discovery_time() > large.compute_max_interval(
            is_other_region=True
        )

    def test_datagrams_a_second_do_not_grow_with_the_fleet(self):
        small = build_fleet(20).get_fanout()
        large = build_fleet(2000).get_fanout()
        assert (
            large.same_region + large.other_regions
            <= small.same_region + small.other_regions + 2
        )


class TestDatagrams:
    def test_digest_is_decoded_with_the_receivers_echo(self):
        digest = replace(
            build_digest(3, "r2"), quotas={"w": QuotaDemand(1.5, 0.25)}
        )
        datagram = build_datagram(Echo(77, 1.25), encode_body(digest))
        assert decode_digest(datagram) == replace(digest, echo=Echo(77, 1.25))

    def test_digest_of_eighty_workspaces_fits_one_packet(self):
        quotas = {
            f"workspace-{number}": QuotaDemand(number * 0.37 % 9, 0.0133)
            for number in range(80)
        }
        digest = replace(build_digest(3, "r2"), quotas=quotas)
        datagram = build_datagram(NO_ECHO, encode_body(digest))
        assert len(datagram) <= MAX_DATAGRAM_BYTES

    def test_invalid_datagrams_are_rejected(self):
        complete = build_datagram(NO_ECHO, encode_body(build_digest(3, "r2")))
        for datagram in (b"", b"x", complete[:-3], complete[:20], bytes(60)):
            with pytest.raises(RecordInvalid):
                decode_digest(datagram)
