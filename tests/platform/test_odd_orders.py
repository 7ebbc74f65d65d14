"""Orders of rollouts with fields that are empty, zero, null or missing."""

from asyncio import sleep
from json import dumps

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.replica import Replica
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Record
from gypsummount.errors import RecordInvalid
from gypsummount.platform.documents import decode_record
from gypsummount.platform.store import StoreClient
from tests.platform.test_documents import MISSING

COMPLETE = {"service": "s", "targetVersion": "v2", "durationS": 16.0}
START_S = 2.0
CALLS = 60
ODD_TEXTS = [None, "", 0, False, [], {}, MISSING]


def build_order(**fields):
    """Return an order with fields changed, or left out."""
    order = {**COMPLETE, **fields}
    return {
        name: value for name, value in order.items() if value is not MISSING
    }


def build_record(order, revision):
    raw = {"metadata": {"created": 5}, "specification": order}
    return Record(Kind.ROLLOUT, "s", revision, dumps(raw).encode())


def list_order(order, revision):
    return Listing((build_record(order, revision),), revision)


def decode(order):
    return decode_record(build_record(order, 7))


class TestFields:
    @pytest.mark.parametrize("name", ["service", "targetVersion"])
    @pytest.mark.parametrize("value", ODD_TEXTS)
    def test_order_names_a_service_and_a_version(self, name, value):
        """Guards against orders whose version no upstream can have."""
        with pytest.raises(RecordInvalid, match=name):
            decode(build_order(**{name: value}))

    @pytest.mark.parametrize(
        "value",
        [None, "", "9", True, [], -1, float("nan"), float("inf"), MISSING],
    )
    def test_order_states_its_time(self, value):
        """Guards against orders that never end."""
        with pytest.raises(RecordInvalid, match="durationS"):
            decode(build_order(durationS=value))

    def test_order_without_any_time_is_one(self):
        """It is rolled back at once, and its operator told so."""
        assert decode(build_order(durationS=0)).duration_s == 0


def introduce_version(deployment):
    """Make the server that gets the requests one of a later version.

    No order has introduced the version.
    """
    for name, version, born in (("i-1", "v2", 2000), ("i-2", "v1", 1000)):
        record = deployment.store.objects["servers"][name]["specification"]
        changed = {**record, "version": version, "born": born}
        deployment.store.put("servers", name, changed)


class TestOtherServices:
    @pytest.mark.parametrize("name", ["service", "targetVersion"])
    async def test_their_orders_are_carried_out(self, instance, name):
        """Guards against one odd order that stops all rollouts."""
        odd = build_order(**{"service": "t", name: {}})
        instance.store.put("rollouts", "t", odd)
        instance.store.put("rollouts", "s", build_order())
        await sleep(START_S)
        order = instance.store.objects["rollouts"]["s"]
        assert order["status"]["state"] == "running"

    async def test_they_send_nothing_to_an_unproved_version(self, deployment):
        """Guards against instances that start and know no old versions."""
        introduce_version(deployment)
        odd = build_order(service="t", targetVersion=[])
        deployment.store.put("rollouts", "t", odd)
        deployment.start(1)
        await deployment.wait_ready(1)
        statuses = [
            (
                await deployment.call(
                    1, "GET", "/read/x", request_id=f"{call}"
                )
            ).status
            for call in range(CALLS)
        ]
        assert statuses == [200] * CALLS
        assert deployment.servers["i-1"].runs == []


class TestReplacedOrders:
    def test_unreadable_order_ends_the_one_before(self):
        """Guards against moves to a version that nobody asks for now."""
        replica = Replica(StoreClient("127.0.0.1:1"), FreshnessProof(4.0))
        rollouts = Rollouts("n1", replica, None)
        replica.apply_changes(Kind.ROLLOUT, list_order(build_order(), 7), 0.0)
        assert rollouts.get_canary("s").order.target == "v2"
        odd = build_order(targetVersion=None)
        replica.apply_changes(Kind.ROLLOUT, list_order(odd, 8), 0.0)
        assert rollouts.get_canary("s") is None
        replica.apply_changes(Kind.ROLLOUT, list_order(build_order(), 9), 0.0)
        assert rollouts.get_canary("s").order.target == "v2"
