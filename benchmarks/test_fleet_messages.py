"""Work that the state messages of a fleet cause at one instance."""

from dataclasses import replace

from gypsummount._core.quotas import QuotaDemand
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.bundles import Bundle
from gypsummount._edge.bundles import decode_bundle
from gypsummount._edge.bundles import encode_bundle
from gypsummount._edge.bundles import RelayedDigest
from gypsummount._edge.bundles import split_members
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import NO_ECHO
from tests.edge.test_peers import build_digest

# A fleet of 91 instances in six domains, with 132 upstreams, in which each
# instance sees the load of some ten upstreams a second.
DOMAINS = 6
MEMBERS = 15
UPSTREAMS = 132
OWN_LOADS = 10
WORKSPACES = 25
# Each domain's relays send a bundle a second and one every two seconds.
BUNDLES_PER_S = (DOMAINS - 1) * 1.5
# Digests of the own domain that reach a member in a second.
DIGESTS_PER_S = 20
MAX_LOADS_PER_S = 1_500
MAX_BYTES_PER_S = 40_000


def build_member(number):
    loads = {
        f"i-{(number * 7 + index) % UPSTREAMS:08x}": LoadObservation(3.0, 0.2)
        for index in range(OWN_LOADS)
    }
    quotas = {
        f"workspace-{(number + index) % 88}": QuotaDemand(0.75, 0.0123)
        for index in range(WORKSPACES)
    }
    return replace(
        build_digest(number, "r2"),
        loads=loads,
        quotas=quotas,
        demand={"lookups": 5.61, "bookings": 2.32, "photos": 0.5},
        revisions={"upstream": 812, "catalog": 99},
    )


class TestStateMessages:
    def test_loads_and_bytes_of_a_second_in_a_fleet_of_91(self):
        members = [
            RelayedDigest(build_member(number), 0.1)
            for number in range(MEMBERS)
        ]
        parts = [
            encode_bundle(Bundle("r2-a", part))
            for part in split_members(members)
        ]
        digest = build_datagram(NO_ECHO, encode_body(members[0].digest))
        loads = BUNDLES_PER_S * sum(
            len(decode_bundle(part).loads) for part in parts
        )
        loads += DIGESTS_PER_S * len(decode_digest(digest).loads)
        size = BUNDLES_PER_S * sum(len(part) for part in parts)
        size += DIGESTS_PER_S * len(digest)
        print(
            f"loads {loads:.0f}/s, at most {MAX_LOADS_PER_S}; "
            f"bytes {size:.0f}/s, at most {MAX_BYTES_PER_S}"
        )
        assert loads <= MAX_LOADS_PER_S
        assert size <= MAX_BYTES_PER_S
