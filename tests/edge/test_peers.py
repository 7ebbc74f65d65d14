"""Large fleets, in which a gossip round reaches only some peers."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.groups import MIN_FLEET
from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.quotas import QuotaDemand
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.bundles import Bundle
from gypsummount._edge.bundles import decode_bundle
from gypsummount._edge.bundles import encode_bundle
from gypsummount._edge.bundles import forward_bundle
from gypsummount._edge.bundles import is_bundle
from gypsummount._edge.bundles import is_forwarded
from gypsummount._edge.bundles import MARK
from gypsummount._edge.bundles import RelayedDigest
from gypsummount._edge.bundles import split_members
from gypsummount._edge.bundles import TO_RELAY
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import compress_json
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING
from gypsummount._edge.peers import MIN_DISCOVERY_S
from gypsummount._edge.peers import MIN_LIVE_S
from gypsummount._edge.peers import Peers
from gypsummount._edge.peers import RELAYED_LIVE_S
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

    def test_no_peer_expires_between_its_digests(self):
        peers = build_fleet(MIN_FLEET - 2)
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
        for size in (MIN_FLEET - 2, 74):
            fleet = build_fleet(size)
            assert fleet.compute_discovery_time() > fleet.compute_max_interval(
                is_other_region=True
            )

    def test_datagrams_a_second_do_not_grow_with_the_fleet(self):
        small = build_fleet(20).get_fanout()
        large = build_fleet(2000).get_fanout()
        assert (
            large.same_region + large.other_regions
            <= small.same_region + small.other_regions + 2
        )


class TestGroups:
    @pytest.fixture
    def peers(self):
        """Peers of three domains, 24 in each; this instance is in r1-a."""
        created = Peers("r1", "r1-a")
        for number in range(72):
            digest = build_digest(number, REGIONS[number % 3])
            created.accept(digest, 0.0)
        return created

    def build_bundle(self, *members):
        return Bundle("r2-a", members)

    def test_relayed_member_counts_as_live_by_its_own_age(self, peers):
        """Guards against a killed instance that relays keep alive."""
        digest = replace(build_digest(1, "r2"), sent_at=2.0)
        member = RelayedDigest(digest, 3.0)
        assert peers.accept_bundle(self.build_bundle(member), 10.0) == [member]
        live_until = 7.0 + RELAYED_LIVE_S
        assert digest in peers.list_live(live_until)
        assert digest not in peers.list_live(live_until + 0.1)

    def test_older_digest_from_another_relay_is_ignored(self, peers):
        digest = replace(build_digest(1, "r2"), sent_at=2.0)
        older = replace(digest, sent_at=1.5)
        first = self.build_bundle(RelayedDigest(digest, 0.0))
        second = self.build_bundle(RelayedDigest(older, 0.5))
        assert len(peers.accept_bundle(first, 10.0)) == 1
        assert peers.accept_bundle(second, 10.1) == []

    def test_relays_do_not_speak_for_another_domain(self, peers):
        """Guards against a bundle that ages the state of own members."""
        own = replace(build_digest(0, "r1"), sent_at=9.0)
        bundle = self.build_bundle(RelayedDigest(own, 0.0))
        assert peers.accept_bundle(bundle, 10.0) == []

    def test_regions_are_summed_up(self, peers):
        for number in (1, 4):
            digest = replace(
                build_digest(number, "r2"),
                sent_at=2.0,
                quotas={"w": QuotaDemand(2.0, 0.25)},
            )
            peers.accept(digest, 10.0)
        live, silent = peers.list_region_quotas(10.5)
        assert live == PeerQuotas(True, {"w": QuotaDemand(4.0, 0.5)})
        assert not silent.is_live

    def test_silent_region_keeps_what_it_announced(self, peers):
        digest = replace(
            build_digest(1, "r2"),
            sent_at=2.0,
            quotas={"w": QuotaDemand(2.0, 0.25)},
        )
        peers.accept(digest, 10.0)
        silent = PeerQuotas(False, {"w": QuotaDemand(2.0, 0.25)})
        assert silent in peers.list_region_quotas(10.1 + RELAYED_LIVE_S)

    def test_relays_are_the_ablest_members(self, peers):
        for number in (7, 10):
            able = replace(
                build_digest(number, "r2"), capacity=2.0, sent_at=2.0
            )
            peers.accept(able, 0.5)
        relays = peers.rank_relays(1.0)
        assert relays.keys() == {"r2-a", "r3-a"}
        assert [relay.name for relay in relays["r2-a"]] == [
            "front-r2-10",
            "front-r2-7",
        ]


class TestBundles:
    def test_bundle_is_decoded_as_it_was(self):
        members = (RelayedDigest(build_digest(1, "r2"), 0.25),)
        bundle = Bundle("r2-a", members)
        datagram = encode_bundle(bundle)
        assert is_bundle(datagram)
        assert not is_forwarded(datagram)
        assert decode_bundle(datagram) == bundle
        forwarded = forward_bundle(datagram)
        assert is_forwarded(forwarded)
        assert decode_bundle(forwarded) == bundle

    def test_members_loads_are_merged_to_the_newest_of_each_upstream(self):
        """Guards against decoding each member's loads of all upstreams."""
        older = replace(
            build_digest(1, "r2"),
            loads={
                "u1": LoadObservation(4.0, 0.1),
                "u2": LoadObservation(1.0, 0.2),
            },
        )
        newer = replace(
            build_digest(2, "r2"), loads={"u1": LoadObservation(7.0, 0.3)}
        )
        members = (RelayedDigest(older, 0.5), RelayedDigest(newer, 0.25))
        decoded = decode_bundle(encode_bundle(Bundle("r2-a", members)))
        assert decoded.loads == {
            "u1": LoadObservation(7.0, 0.55),
            "u2": LoadObservation(1.0, 0.7),
        }
        assert not any(member.digest.loads for member in decoded.members)

    def test_part_of_a_domain_fits_one_packet(self):
        members = [
            RelayedDigest(
                replace(
                    build_digest(number, "r2"),
                    demand={"lookups": 2.31, "bookings": 0.72},
                    revisions={"upstream": 812, "catalog": 99},
                ),
                0.123 * number,
            )
            for number in range(24)
        ]
        for part in split_members(members):
            bundle = Bundle("r2-a", part)
            assert len(encode_bundle(bundle)) <= MAX_DATAGRAM_BYTES

    @given(st.binary(max_size=80))
    def test_any_bytes_give_a_bundle_or_a_typed_error(self, data):
        for body in (data, compress_json({"domain": data.hex()})):
            with pytest.raises(RecordInvalid):
                decode_bundle(MARK + TO_RELAY + body)


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
