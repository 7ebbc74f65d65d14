"""Routes, keys and home regions in the configuration in force."""

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.authorization import Authorization
from gypsummount._edge.authorization import find_home_regions
from gypsummount._edge.authorization import MAX_CATALOG_AGE_S
from gypsummount._edge.replica import Replica
from gypsummount.errors import KeyRefused
from gypsummount.errors import KeyStale
from gypsummount.errors import NotReady
from gypsummount.errors import RequestError
from gypsummount.errors import RouteNotFound
from tests.edge.catalogs import create_arrival
from tests.edge.catalogs import create_catalog
from tests.edge.catalogs import create_keyed_catalog
from tests.edge.catalogs import create_route
from tests.edge.catalogs import create_workspace

PROOF_LIMIT_S = 4.0
MARGIN_S = 0.5


def create_authorization(age_s):
    """Return an authorization whose proof has an age (s, None: no proof)."""
    proof = FreshnessProof(PROOF_LIMIT_S)
    if age_s is not None:
        proof.record_read(1, read_monotonic() - age_s)
    return Authorization(Replica(None, proof))


class TestProofs:
    """401 and 404 need a recent proof, as an update may be missing."""

    RECENT_S = (0.0, MAX_CATALOG_AGE_S - MARGIN_S)
    OLD_S = (MAX_CATALOG_AGE_S + MARGIN_S, PROOF_LIMIT_S + MARGIN_S, None)

    @pytest.mark.parametrize(
        ("age_s", "error"),
        [
            *((age_s, RouteNotFound) for age_s in RECENT_S),
            *((age_s, NotReady) for age_s in OLD_S),
        ],
    )
    def test_unknown_route(self, age_s, error):
        """Guards against 404 for a route that has just been added."""
        authorization = create_authorization(age_s)
        with pytest.raises(error):
            authorization.find_route(
                create_catalog(1, routes=[]), create_arrival("k")
            )

    @pytest.mark.parametrize(
        ("age_s", "error"),
        [
            *((age_s, KeyRefused) for age_s in RECENT_S),
            *((age_s, NotReady) for age_s in OLD_S),
        ],
    )
    def test_unknown_key(self, age_s, error):
        """Guards against 401 for a key that has just been given."""
        authorization = create_authorization(age_s)
        with pytest.raises(error):
            authorization.find_workspace(
                create_keyed_catalog(1),
                create_route(),
                create_arrival("other"),
            )

    @pytest.mark.parametrize("age_s", [PROOF_LIMIT_S + MARGIN_S, None])
    def test_known_key_that_may_be_withdrawn(self, age_s):
        """Guards against withdrawn keys that work on."""
        authorization = create_authorization(age_s)
        with pytest.raises(KeyStale):
            authorization.find_workspace(
                create_keyed_catalog(1), create_route(), create_arrival("k")
            )

    def test_known_key_with_a_proof(self):
        authorization = create_authorization(PROOF_LIMIT_S - MARGIN_S)
        workspace = authorization.find_workspace(
            create_keyed_catalog(1), create_route(), create_arrival("k")
        )
        assert workspace.name == "w"


class TestHomeRegions:
    @pytest.mark.parametrize(
        ("of_route", "of_workspace", "allowed"),
        [
            ((), (), set()),
            (("a",), (), {"a"}),
            ((), ("a",), {"a"}),
            (("a", "b"), ("b", "c"), {"b"}),
        ],
    )
    def test_both_limits_hold(self, of_route, of_workspace, allowed):
        route = create_route(regions=of_route)
        workspace = create_workspace("w", of_workspace)
        assert find_home_regions(route, workspace) == allowed

    def test_no_region_in_common_is_not_any_region(self):
        """Guards against an empty intersection that lifts both limits."""
        route = create_route(regions=("a",))
        with pytest.raises(RequestError):
            find_home_regions(route, create_workspace("w", ("b",)))
