"""Orders of rollouts with fields that are empty, zero, null or missing."""

from asyncio import sleep
from json import dumps

import pytest

from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Record
from gypsummount.errors import RecordInvalid
from gypsummount.platform.documents import decode_record
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


def decode(order):
    raw = {"metadata": {"created": 5}, "specification": order}
    return decode_record(Record(Kind.ROLLOUT, "s", 7, dumps(raw).encode()))


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
