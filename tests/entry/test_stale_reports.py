"""Forwarding to peers whose load reports are out of date.

Reports lag behind the load.  When many requests arrive at once in a
failure domain without usable upstreams, peers that reported free slots
are soon full, and peers that reported none may have some again.
"""

from asyncio import gather
from types import SimpleNamespace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import ServiceLoad
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.steering import Steering
from gypsummount._entry.versions import VersionChoice
from gypsummount.errors import NoCapacity

TIMEOUT_S = 1.0
SLOTS = 4


class _Budgets:
    async def admit(self, budget, amount, deadline):
        pass

    def get_total(self, budget):
        return None


class _Versions:
    def choose(self, route, now):
        return VersionChoice("v1")

    def observe(self, route, choice, *, failed, latency_s):
        pass


class _DrainedSelection:
    """Selection in a failure domain whose upstreams are all drained."""

    def has_free_slot(self, service, version):
        return False

    def owns_version_slots(self, service, version):
        return False


class _PeerClient:
    """Peers with a given number of free slots, whatever they reported."""

    def __init__(self, *addresses):
        self._free_slots = list(addresses)
        self.asked = []

    async def forward_upstream(self, address, request, version):
        self.asked.append(address)
        if address in self._free_slots:
            self._free_slots.remove(address)
        else:
            raise NoCapacity("no slot is free here; try another")
        return SimpleNamespace(status=200)


def create_peer(number, free, region="r1"):
    load = ServiceLoad("rondas", free, SLOTS)
    address = f"p{number}"
    info = EntryInfo(address, "t", "", address, "serving", (load,))
    return Peer(info, f"d{number}", region)


def create_steering(peers, peer_client):
    return Steering(
        SimpleNamespace(peers=peers),
        _Budgets(),
        _DrainedSelection(),
        None,
        _Versions(),
        peer_client,
        "r1",
    )


def create_request():
    return SimpleNamespace(
        workspace="w",
        route=SimpleNamespace(service="rondas"),
        size=10,
        deadline=read_monotonic() + TIMEOUT_S,
    )


class TestStaleReports:
    async def test_peer_that_reported_no_free_slot_is_still_asked(self):
        peer_client = _PeerClient("p2")
        peers = [create_peer(number, 0) for number in range(4)]
        answer = await create_steering(peers, peer_client).steer(
            create_request()
        )
        assert answer.status == 200

    async def test_peers_that_reported_free_slots_are_asked_first(self):
        peer_client = _PeerClient("p3")
        peers = [create_peer(number, int(number == 3)) for number in range(4)]
        await create_steering(peers, peer_client).steer(create_request())
        assert peer_client.asked == ["p3"]

    async def test_one_peer_is_asked_in_each_scan(self):
        peer_client = _PeerClient()
        peers = [create_peer(number, 0) for number in range(4)]
        with pytest.raises(NoCapacity):
            await create_steering(peers, peer_client).steer(create_request())
        assert len(peer_client.asked) <= TIMEOUT_S / 0.05 + 1
        assert set(peer_client.asked) == {"p0", "p1", "p2", "p3"}

    async def test_burst_of_requests_reaches_far_regions(self):
        """Requests reach peers of another region when near peers are full.

        Two peers of the same region report free slots but have none;
        six peers of another region have one slot each.
        """
        far = [create_peer(number, SLOTS, "r2") for number in range(6)]
        near = [create_peer(number, SLOTS) for number in (6, 7)]
        peer_client = _PeerClient(*(peer.entry.peer_address for peer in far))
        steering = create_steering(near + far, peer_client)
        answers = await gather(
            *(steering.steer(create_request()) for _ in far)
        )
        assert [answer.status for answer in answers] == [200] * len(far)
