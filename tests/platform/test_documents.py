"""Fields of documents that are empty, zero, null, missing or mistyped."""

from copy import deepcopy
from json import dumps

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Record
from gypsummount.errors import RecordInvalid
from gypsummount.platform.documents import decode_record
from gypsummount.platform.store import StoreClient
from tests.platform.doubles import build_config

MISSING = "(missing)"


def decode(config):
    payload = dumps({"metadata": {}, "specification": config}).encode()
    return decode_record(Record(Kind.CATALOG, "main", 7, payload))


def build_changed(part, name, value):
    """Return a configuration with a field of one of its parts changed.

    ``part`` is the tenant, the cluster, the rule or the rule's action.
    """
    config = deepcopy(build_config(3, ["k"]))
    rule = config["listeners"][0]["rules"][0]
    changed = {
        "tenant": config["tenants"][0],
        "cluster": config["clusters"][0],
        "rule": rule,
        "action": rule["action"],
    }[part]
    changed.pop(name, None)
    if value is not MISSING:
        changed[name] = value
    return config


def decode_changed(part, name, value):
    return decode(build_changed(part, name, value))


def find_route(catalog):
    return catalog.find_route("h.example", "/read/x")


def reject(part, name, value, *, match):
    with pytest.raises(RecordInvalid, match=match):
        decode_changed(part, name, value)


class TestTenants:
    @pytest.mark.parametrize("tenants", [[], None])
    def test_keys_are_needed_if_the_field_is_there(self, tenants):
        """Guards against routes without keys once the last one is gone."""
        catalog = decode({**build_config(3, []), "tenants": tenants})
        assert catalog.requires_keys
        assert not catalog.owners

    def test_no_key_is_needed_without_the_field(self):
        config = build_config(3, [])
        del config["tenants"]
        assert not decode(config).requires_keys

    @pytest.mark.parametrize("tenants", ["w", {}, {"w": {}}, 0, False])
    def test_other_types_are_rejected(self, tenants):
        with pytest.raises(RecordInvalid, match="tenants"):
            decode({**build_config(3, []), "tenants": tenants})


class TestNames:
    @pytest.mark.parametrize("name", ["", None, MISSING, 7])
    def test_workspace_needs_a_name(self, name):
        """Guards against requests of a workspace that seem to have none."""
        reject("tenant", "name", name, match="name")


class TestKeys:
    @pytest.mark.parametrize("keys", [[], None, MISSING])
    def test_workspace_without_keys_has_none(self, keys):
        """Guards against withdrawn keys that work on.

        A configuration that can't be decoded leaves the last one in force.
        """
        catalog = decode_changed("tenant", "apiKeys", keys)
        assert catalog.owners == {}
        assert catalog.requires_keys

    @pytest.mark.parametrize("keys", ["secret", {"s": 1}, 0, False])
    def test_characters_of_a_text_are_no_keys(self, keys):
        """Guards against keys of one character."""
        reject("tenant", "apiKeys", keys, match="apiKeys")

    @pytest.mark.parametrize("key", ["", None, 7])
    def test_odd_key_is_rejected(self, key):
        reject("tenant", "apiKeys", ["k", key], match="apiKeys")


class TestPublicRoutes:
    @pytest.mark.parametrize("value", [False, None, MISSING, "false", 1, [1]])
    def test_only_true_opens_a_route(self, value):
        """Guards against routes that a text or a number opens."""
        route = find_route(decode_changed("rule", "public", value))
        assert not route.is_open

    def test_true_opens_a_route(self):
        assert find_route(decode_changed("rule", "public", True)).is_open


class TestRates:
    @pytest.mark.parametrize("rate", [0, 0.0, MISSING])
    def test_zero_and_missing_are_no_limit(self, rate):
        catalog = decode_changed("tenant", "requestsPerS", rate)
        assert catalog.workspaces["w"].rate == 0

    @pytest.mark.parametrize(
        "rate", [None, "", "0", [], {}, False, -1, float("nan"), float("inf")]
    )
    def test_other_values_are_not_taken_for_no_limit(self, rate):
        """Guards against workspaces whose rate is lifted by an odd value."""
        reject("tenant", "requestsPerS", rate, match="requestsPerS")

    @pytest.mark.parametrize("burst", [None, "9", -1, float("nan")])
    def test_odd_burst_is_rejected(self, burst):
        reject("tenant", "burst", burst, match="burst")


class TestHomeRegions:
    @pytest.mark.parametrize("part", ["tenant", "action"])
    @pytest.mark.parametrize("regions", [[], None, MISSING])
    def test_none_means_any_region(self, part, regions):
        """The operators write an empty list where there are no homes."""
        catalog = decode_changed(part, "homeRegions", regions)
        assert catalog.workspaces["w"].home_regions == frozenset()
        assert find_route(catalog).home_regions == frozenset()

    @pytest.mark.parametrize("part", ["tenant", "action"])
    @pytest.mark.parametrize("regions", ["", "r1", {}, 0, False, [""], [None]])
    def test_odd_regions_are_rejected(self, part, regions):
        """Guards against homes that an odd value lifts.

        Upstreams of domains that the settings do not list have "" as
        their region.
        """
        reject(part, "homeRegions", regions, match="homeRegions")


class TestShares:
    @pytest.mark.parametrize("splits", [[], None, MISSING])
    def test_without_a_split_the_service_gets_all(self, splits):
        catalog = decode_changed("action", "trafficSplit", splits)
        destinations = find_route(catalog).destinations
        assert [destination.service for destination in destinations] == ["s"]

    @pytest.mark.parametrize("splits", ["", {}, 0, False])
    def test_odd_split_is_rejected(self, splits):
        reject("action", "trafficSplit", splits, match="trafficSplit")

    @pytest.mark.parametrize("weight", [None, True, False, "1", MISSING])
    def test_odd_weight_is_rejected(self, weight):
        """Guards against shares that no weight states."""
        part = {"service": "s", "weight": weight}
        if weight is MISSING:
            del part["weight"]
        splits = [part, {"service": "s", "weight": 1}]
        reject("action", "trafficSplit", splits, match="weight")


class TestColdStart:
    def test_rate_of_zero_is_a_limit(self):
        """Guards against floods of cold upstreams that take nothing."""
        catalog = decode_changed("cluster", "coldPerS", 0)
        assert catalog.services["s"].cold_rate == 0

    def test_missing_rate_is_no_limit(self):
        catalog = decode_changed("cluster", "coldPerS", MISSING)
        assert catalog.services["s"].cold_rate is None

    @pytest.mark.parametrize("cold_s", [0, MISSING])
    def test_service_without_a_slow_start_has_no_limit(self, cold_s):
        """Guards against pauses of upstreams that are never cold.

        Any upstream that may have restarted counts as cold for a moment.
        """
        config = build_changed("cluster", "coldStartS", cold_s)
        config["clusters"][0]["coldPerS"] = 0
        assert decode(config).services["s"].cold_rate is None

    @pytest.mark.parametrize("name", ["coldPerS", "coldStartS"])
    @pytest.mark.parametrize("value", [None, "", False, -1, float("nan")])
    def test_odd_values_are_rejected(self, name, value):
        reject("cluster", name, value, match=name)


class TestTimesAndAttempts:
    @pytest.mark.parametrize("value", [None, MISSING])
    def test_null_and_missing_have_a_default(self, value):
        route = find_route(decode_changed("action", "timeoutS", value))
        assert route.timeout_s == 30.0
        route = find_route(decode_changed("action", "attempts", value))
        assert route.attempts == 1

    @pytest.mark.parametrize(
        ("part", "name", "match"),
        [
            ("action", "timeoutS", "time-out"),
            ("action", "attempts", "attempts"),
            ("rule", "targetLatencyS", "objective"),
        ],
    )
    def test_zero_is_not_taken_for_missing(self, part, name, match):
        """Guards against sends that the operator has set to zero."""
        reject(part, name, 0, match=match)


class TestEvacuations:
    @pytest.mark.parametrize(
        "payload", [b"{}", b'{"specification":null}', b"[]", b"", b"\xff"]
    )
    def test_existence_is_enough(self, payload):
        """Guards against domains that stay in use as a field is missing."""
        record = Record(Kind.EVACUATION, "z1", 7, payload)
        assert decode_record(record) is None
        replica = Replica(StoreClient("127.0.0.1:1"), FreshnessProof(4.0))
        replica.apply_listing(Kind.EVACUATION, Listing((record,), 7), 0.0)
        assert replica.evacuated == {"z1"}
