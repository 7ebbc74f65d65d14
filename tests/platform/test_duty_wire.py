"""Duties on the wire: settings, lease objects and calls."""

from asyncio import sleep
from contextlib import AsyncExitStack
from dataclasses import replace
from json import dumps
from json import loads

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._core.lease_records import LeaseRecord
from gypsummount._edge.duty_feed import DutyOutcome
from gypsummount._edge.settings import DutySettings
from gypsummount.errors import RecordInvalid
from gypsummount.errors import SettingError
from gypsummount.errors import StoreConflict
from gypsummount.platform import cloud
from gypsummount.platform.cloud import CloudClient
from gypsummount.platform.leases import decode_lease
from gypsummount.platform.leases import encode_lease
from gypsummount.platform.settings import read_settings
from gypsummount.platform.store import StoreClient
from tests.platform.conftest import find_free_ports
from tests.platform.conftest import ZONES
from tests.platform.doubles import write_settings
from tests.platform.duty_double import DutyDouble
from tests.platform.duty_double import serve_duties
from tests.platform.store_double import serve_store
from tests.platform.store_double import StoreDouble
from tests.platform.test_decoders import list_paths
from tests.platform.test_decoders import replace_value
from tests.platform.test_decoders import VALUES

RECORD = LeaseRecord("usage", "n1", 1_700_000_000_000, 6, 2, False, "{}")
CLOUD = {"address": "127.0.0.1:9000", "duties": ["usage"]}


class TestSettings:
    def read(self, tmp_path, duties, *bounds):
        path = tmp_path / "settings.json"
        write_settings(
            path, "n1", "127.0.0.2", "", find_free_ports(), ZONES, "z1"
        )
        raw = loads(path.read_text())
        raw["bounds"].extend(bounds)
        if duties is not None:
            raw["cloud"] = duties
        path.write_text(dumps(raw))
        return read_settings(path).edge.duties

    @pytest.mark.parametrize("duties", [None, {**CLOUD, "duties": []}])
    def test_without_a_duty_there_are_no_settings(self, tmp_path, duties):
        assert self.read(tmp_path, duties) is None

    def test_missing_values_are_defaults(self, tmp_path):
        assert self.read(tmp_path, CLOUD) == DutySettings(
            "127.0.0.1:9000", ("usage",)
        )

    def test_values_are_read_from_the_cloud_and_the_bounds(self, tmp_path):
        assert self.read(
            tmp_path,
            {**CLOUD, "requestsPerS": 40.0, "dutyPerS": 20.0},
            "requireFencing=false",
            "leaseS=4",
            "thawS=0.2",
            "reportWindowS=6",
            "usageOff=0.1",
            "usageDelayS=12",
        ) == DutySettings(
            "127.0.0.1:9000",
            ("usage",),
            20.0,
            40.0,
            False,
            4.0,
            0.2,
            6.0,
            0.1,
            12.0,
        )

    @pytest.mark.parametrize(
        ("duties", "bounds"),
        [
            ({**CLOUD, "address": "9000"}, ()),
            ({**CLOUD, "duties": [7]}, ()),
            ({**CLOUD, "dutyPerS": 0.0}, ()),
            (CLOUD, ("leaseS=0.1",)),
            (CLOUD, ("leaseS=nan",)),
            (CLOUD, ("usageDelayS=-1",)),
        ],
    )
    def test_invalid_values_are_rejected(self, tmp_path, duties, bounds):
        with pytest.raises(SettingError):
            self.read(tmp_path, duties, *bounds)


class TestLeaseObjects:
    @pytest.fixture
    async def store(self):
        async with AsyncExitStack() as stack:
            self.double = StoreDouble()
            client = StoreClient(serve_store(stack, self.double))
            stack.push_async_callback(client.close)
            yield client

    async def test_record_is_created_once(self, store):
        assert (await store.read_lease("usage")).record is None
        created = await store.write_lease(RECORD)
        assert created == replace(RECORD, revision=self.double.revision)
        with pytest.raises(StoreConflict):
            await store.write_lease(RECORD)
        assert (await store.read_lease("usage")).record == created

    async def test_record_is_replaced_at_its_revision_only(self, store):
        """Guards against a write that replaces another holder's."""
        created = await store.write_lease(RECORD)
        renewed = await store.write_lease(replace(created, renewals=3))
        assert renewed.revision > created.revision
        with pytest.raises(StoreConflict):
            await store.write_lease(replace(created, renewals=4))
        assert (await store.read_lease("usage")).record == renewed

    async def test_unreadable_record_raises_a_typed_error(self, store):
        self.double.put("leases", "usage", {"holder": 7})
        with pytest.raises(RecordInvalid):
            await store.read_lease("usage")

    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_altered_object_gives_a_record_or_a_typed_error(self, data):
        complete = encode_lease(replace(RECORD, revision=4))
        path = data.draw(st.sampled_from(list_paths(complete)))
        altered = replace_value(complete, path, data.draw(VALUES))
        try:
            decoded = decode_lease(altered, 0)
        except RecordInvalid:
            return
        assert decoded.token >= 0


class TestCalls:
    @pytest.fixture
    async def client(self, monkeypatch):
        monkeypatch.setattr(cloud, "CALL_TIMEOUT_S", 0.3)
        async with AsyncExitStack() as stack:
            self.double = DutyDouble()
            client = CloudClient(serve_duties(stack, self.double))
            stack.push_async_callback(client.close)
            yield client

    async def call(self, client, token=5, *, may_send=True):
        return await client.call(
            "usage", "n1", token, b"{}", may_send=lambda: may_send
        )

    async def test_call_has_holder_token_and_body(self, client):
        assert (await self.call(client)).outcome is DutyOutcome.DONE
        call = self.double.executed[0]
        assert (call.holder, call.token, call.body) == ("n1", 5, b"{}")

    async def test_lower_token_is_fenced(self, client):
        await self.call(client, 6)
        assert (await self.call(client, 5)).outcome is DutyOutcome.FENCED

    async def test_rate_refusal_has_its_time(self, client):
        self.double.behaviour = "overloaded"
        result = await self.call(client)
        assert result.outcome is DutyOutcome.OVERLOADED
        assert result.retry_after_s == 0.5

    @pytest.mark.parametrize("behaviour", ["down", "lost", "late", "slow"])
    async def test_outcome_without_a_response_is_unknown(
        self, client, behaviour
    ):
        self.double.behaviour = behaviour
        self.double.delay_s = 1.0
        assert (await self.call(client)).outcome is DutyOutcome.UNKNOWN

    async def test_refused_connection_is_an_unknown_outcome(self):
        client = CloudClient("127.0.0.1:1")
        assert (await self.call(client)).outcome is DutyOutcome.UNKNOWN

    async def test_nothing_is_sent_after_the_lease_was_lost(self, client):
        """Guards against a call that leaves after its lease expired."""
        result = await self.call(client, may_send=False)
        assert result.outcome is DutyOutcome.NOT_SENT
        assert (await self.call(client)).outcome is DutyOutcome.DONE
        assert len(self.double.executed) == 1

    async def test_late_call_does_not_run_after_a_newer_holder(self, client):
        """Guards against a double that would hide a missing token."""
        self.double.behaviour = "late"
        self.double.delay_s = 0.2
        await self.call(client, 5)
        self.double.behaviour = "good"
        self.double.delay_s = 0.0
        await self.call(client, 6)
        await sleep(0.3)
        assert [call.token for call in self.double.executed] == [6]
        assert [call.token for call in self.double.refused] == [5]
