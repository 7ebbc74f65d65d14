"""Odd values in any field of a configuration lift none of its limits."""

from copy import deepcopy

import pytest

from gypsummount.errors import RecordInvalid
from tests.platform.doubles import build_config
from tests.platform.test_decoders import list_paths
from tests.platform.test_documents import decode
from tests.platform.test_documents import MISSING

SHARES = [("s", 90.0), ("t", 10.0)]
ODD_VALUES = [None, 0, False, True, "", "x", [], {}, -1, [""], [None], [[]]]
# The values that the pages let lift a limit, by the name of their field.
MEANT = {
    "tenants": [MISSING],
    "homeRegions": [[], None, MISSING],
    "requestsPerS": [0, MISSING],
    "public": [True],
    "weight": [0],
    "apiKeys": ["x"],
}


def build_complete():
    """Return a configuration in which each kind of limit is set."""
    config = build_config(3, ["k"])
    config["tenants"][0]["homeRegions"] = ["r1"]
    for rule in config["listeners"][0]["rules"]:
        del rule["action"]["service"]
        rule["action"]["homeRegions"] = ["r1"]
        rule["action"]["trafficSplit"] = [
            {"service": name, "weight": weight} for name, weight in SHARES
        ]
    config["clusters"].append({**config["clusters"][0], "name": "t"})
    return config


def is_meant(path, value):
    """Tell whether the pages let this value lift a limit."""
    if value is MISSING and isinstance(path[-1], int):
        return True
    name = [part for part in path if isinstance(part, str)][-1]
    return any(
        value == given and type(value) is type(given)
        for given in MEANT.get(name, [])
    )


def change_at(config, path, value):
    """Return a configuration with a value replaced, or left out."""
    changed = deepcopy(config)
    part = changed
    for name in path[:-1]:
        part = part[name]
    if value is MISSING:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return changed


def list_lifted(catalog):
    """Return which limits of the complete configuration are lifted."""
    lifted = []
    if not catalog.requires_keys or catalog.owners.keys() - {"k"}:
        lifted.append("keys")
    for workspace in catalog.workspaces.values():
        if not workspace.home_regions or "" in workspace.home_regions:
            lifted.append("homes of workspaces")
        if workspace.rate <= 0:
            lifted.append("rates")
    for by_prefix in catalog.hosts.values():
        for route in by_prefix.values():
            if route.is_open:
                lifted.append("routes")
            if not route.home_regions or "" in route.home_regions:
                lifted.append("homes of routes")
            shares = [(to.service, to.weight) for to in route.destinations]
            if shares != SHARES:
                lifted.append("shares")
    return lifted


class TestOddValues:
    def test_complete_configuration_lifts_nothing(self):
        assert list_lifted(decode(build_complete())) == []

    @pytest.mark.parametrize(
        "value",
        [MISSING, *ODD_VALUES],
        ids=["missing", *map(repr, ODD_VALUES)],
    )
    def test_value_in_any_field_lifts_no_limit(self, value):
        """Guards against values that are taken for another one.

        The configuration is rejected, or all of its limits hold.
        """
        config = build_complete()
        for path in list_paths(config):
            if not path or is_meant(path, value):
                continue
            try:
                catalog = decode(change_at(config, path, value))
            except RecordInvalid:
                continue
            assert list_lifted(catalog) == [], path
