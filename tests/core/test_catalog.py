"""Look-up of routes by path and of workspaces by key."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import Destination
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeWorkspace


def create_route(prefix, *, host="a.example"):
    return EdgeRoute(
        prefix,
        host,
        prefix,
        (Destination("s", 1.0),),
        repeatable=True,
        is_open=False,
        is_sticky=True,
        timeout_s=1.0,
        objective_s=0.3,
        attempts=2,
        priority=1,
    )


@pytest.fixture
def catalog():
    new_catalog = Catalog(1, CallerLimits(15.0, 1000))
    for prefix in ("/a/", "/a/b/", "/c/"):
        new_catalog.add_route(create_route(prefix))
    return new_catalog


class TestRoutes:
    def test_longest_prefix_wins(self, catalog):
        assert catalog.find_route("a.example", "/a/b/x").prefix == "/a/b/"
        assert catalog.find_route("a.example", "/a/bx").prefix == "/a/"

    def test_prefix_matches_complete_path_segments_only(self, catalog):
        assert catalog.find_route("a.example", "/ab") is None
        assert catalog.find_route("a.example", "/a") is None

    def test_other_host_has_no_route(self, catalog):
        assert catalog.find_route("b.example", "/a/") is None

    @given(st.text(alphabet="/abc", max_size=12))
    def test_agrees_with_a_scan_of_all_prefixes(self, path):
        prefixes = ("/a/", "/a/b/", "/c/", "/a/b/c/", "//")
        new_catalog = Catalog(1, CallerLimits(15.0, 1000))
        for prefix in prefixes:
            new_catalog.add_route(create_route(prefix))
        matching = [
            candidate for candidate in prefixes if path.startswith(candidate)
        ]
        found = new_catalog.find_route("a.example", path)
        expected = max(matching, key=len, default=None)
        assert (found.prefix if found else None) == expected


class TestKeys:
    def test_key_of_a_dropped_workspace_is_unknown(self, catalog):
        catalog.owners["k"] = "gone"
        assert catalog.find_owner("k") is None

    def test_key_names_its_workspace(self, catalog):
        catalog.workspaces["w"] = EdgeWorkspace("w", 1.0, 1.0, 0)
        catalog.owners["k"] = "w"
        assert catalog.find_owner("k").name == "w"
