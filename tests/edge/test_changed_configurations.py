"""Requests that wait or retry while another configuration arrives."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.draining import Drain
from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.admission import Admission
from gypsummount._edge.replica import Replica
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.store_feed import Kind
from gypsummount.errors import ConfigurationChanged
from gypsummount.errors import KeyMissing
from gypsummount.errors import KeyRefused
from gypsummount.errors import RequestError
from gypsummount.errors import UpstreamFailed
from tests.edge.catalogs import create_arrival
from tests.edge.catalogs import create_catalog
from tests.edge.catalogs import create_keyed_catalog
from tests.edge.catalogs import create_route
from tests.edge.catalogs import create_workspace
from tests.edge.catalogs import HOST


class _Caller:
    def has_disconnected(self):
        return False


class Harness:
    """Admits a request under one catalog and checks it under another."""

    def __init__(self):
        now = read_monotonic()
        self.replica = Replica(None, FreshnessProof(4.0))
        for kind in Kind:
            self.replica.revisions[kind] = 1
        self.replica.proof.record_read(1, now)
        rollouts = Rollouts("n1", self.replica, None)
        self.admission = Admission(
            self.replica, None, rollouts, Random(1), Drain()
        )

    def admit(self, catalog, key):
        self.replica.catalog = catalog
        return self.admission.create_context(
            create_arrival(key), _Caller(), read_monotonic()
        )

    def recheck(self, context, catalog):
        self.replica.catalog = catalog
        self.admission.recheck(context)


@pytest.fixture
def harness():
    return Harness()


class TestKeys:
    def test_request_without_a_key_is_not_sent_once_keys_are_needed(
        self, harness
    ):
        """Guards against requests that wait for a slot and need no key."""
        free = create_catalog(1, requires_keys=False)
        context = harness.admit(free, None)
        with pytest.raises(KeyMissing):
            harness.recheck(context, create_catalog(2))

    def test_unknown_key_is_refused_once_keys_are_needed(self, harness):
        free = create_catalog(1, requires_keys=False)
        context = harness.admit(free, "unknown")
        with pytest.raises(KeyRefused):
            harness.recheck(context, create_catalog(2))

    def test_route_that_is_no_longer_open_needs_a_key(self, harness):
        """Guards against retries on a route that was closed."""
        routes = [create_route(is_open=True)]
        context = harness.admit(create_catalog(1, routes=routes), None)
        with pytest.raises(KeyMissing):
            harness.recheck(context, create_catalog(2))

    def test_key_of_the_last_workspace_is_refused(self, harness):
        before = create_keyed_catalog(1)
        context = harness.admit(before, "k")
        with pytest.raises(KeyRefused):
            harness.recheck(context, create_catalog(2))

    def test_unchanged_workspace_is_served(self, harness):
        workspaces = [create_workspace("w")]
        owners = {"k": "w"}
        before = create_catalog(1, workspaces=workspaces, owners=owners)
        context = harness.admit(before, "k")
        after = create_catalog(2, workspaces=workspaces, owners=owners)
        harness.recheck(context, after)
        assert context.workspace_name == "w"

    def test_request_in_progress_on_a_removed_route_ends(self, harness):
        workspaces = [create_workspace("w")]
        owners = {"k": "w"}
        before = create_catalog(1, workspaces=workspaces, owners=owners)
        context = harness.admit(before, "k")
        after = create_catalog(
            2, routes=[], workspaces=workspaces, owners=owners
        )
        harness.recheck(context, after)


class TestOtherWorkspace:
    """The caller sends again what was admitted for another workspace.

    Guards against refused keys, and against the name of a workspace that
    no longer holds the key.
    """

    def test_key_that_moved_is_sent_again(self, harness):
        both = [create_workspace("v"), create_workspace("w")]
        before = create_catalog(1, workspaces=both, owners={"k": "v"})
        context = harness.admit(before, "k")
        after = create_catalog(2, workspaces=both, owners={"k": "w"})
        with pytest.raises(ConfigurationChanged):
            harness.recheck(context, after)

    def test_key_is_no_longer_needed(self, harness):
        before = create_keyed_catalog(1)
        context = harness.admit(before, "k")
        with pytest.raises(ConfigurationChanged):
            harness.recheck(context, create_catalog(2, requires_keys=False))

    def test_key_is_needed_and_granted(self, harness):
        context = harness.admit(create_catalog(1, requires_keys=False), "k")
        after = create_keyed_catalog(2)
        with pytest.raises(ConfigurationChanged):
            harness.recheck(context, after)

    def test_request_that_may_have_run_is_not_called_not_run(self, harness):
        before = create_keyed_catalog(1)
        context = harness.admit(before, "k")
        context.may_have_run = True
        with pytest.raises(UpstreamFailed):
            harness.recheck(context, create_catalog(2, requires_keys=False))


class TestHomeRegions:
    def build(self, version, *, route=(), workspace=()):
        return create_catalog(
            version,
            routes=[create_route(regions=route)],
            workspaces=[create_workspace("w", workspace)],
            owners={"k": "w"},
        )

    @pytest.mark.parametrize(
        "homes", [{"route": ["r1"]}, {"workspace": ["r1"]}]
    )
    def test_request_is_sent_again_once_it_has_homes(self, harness, homes):
        """Guards against sends to a region that is no longer a home."""
        context = harness.admit(self.build(1), "k")
        with pytest.raises(ConfigurationChanged):
            harness.recheck(context, self.build(2, **homes))

    def test_request_is_sent_again_when_its_homes_change(self, harness):
        before = self.build(1, route=["r1", "r2"])
        context = harness.admit(before, "k")
        with pytest.raises(ConfigurationChanged):
            harness.recheck(context, self.build(2, route=["r2"]))

    def test_further_homes_change_nothing(self, harness):
        before = self.build(1, route=["r1"])
        context = harness.admit(before, "k")
        harness.recheck(context, self.build(2, route=["r1", "r2"]))
        harness.recheck(context, self.build(3))


REGIONS = st.sets(st.sampled_from(["r1", "r2", "r3"]), max_size=2)


@st.composite
def draw_catalog(draw):
    """A catalog with at most one route, two workspaces and one key."""
    routes = []
    if draw(st.booleans()):
        is_open = draw(st.booleans())
        routes = [create_route(is_open=is_open, regions=draw(REGIONS))]
    owner = draw(st.sampled_from([None, "v", "w"]))
    return create_catalog(
        1,
        requires_keys=draw(st.booleans()),
        routes=routes,
        workspaces=[create_workspace(n, draw(REGIONS)) for n in ("v", "w")],
        owners={"k": owner} if owner else {},
    )


def describe_permission(catalog, key, removed_route=None):
    """Return the workspace and the permitted regions, None if refused."""
    route = catalog.find_route(HOST, "/a/x") or removed_route
    if route is None:
        return None
    everywhere = {"r1", "r2", "r3"}
    homes = set(route.home_regions) or everywhere
    if route.is_open or not catalog.requires_keys:
        return "", homes
    owner = catalog.owners.get(key)
    if owner is None:
        return None
    homes &= set(catalog.workspaces[owner].home_regions) or everywhere
    return (owner, homes) if homes else None


class TestRandomChanges:
    @settings(max_examples=500, deadline=None)
    @given(
        before=draw_catalog(),
        after=draw_catalog(),
        key=st.sampled_from([None, "k"]),
    )
    def test_request_is_sent_only_as_it_would_be_admitted(
        self, before, after, key
    ):
        """Guards against sends that the new configuration does not allow.

        A route that was removed counts as unchanged.
        """
        admitted = describe_permission(before, key)
        harness = Harness()
        if admitted is None:
            with pytest.raises(RequestError):
                harness.admit(before, key)
            return
        context = harness.admit(before, key)
        permitted = describe_permission(after, key, context.route)
        try:
            harness.recheck(context, after)
            is_sent = True
        except RequestError:
            is_sent = False
        assert is_sent == (
            permitted is not None
            and permitted[0] == admitted[0]
            and permitted[1] >= admitted[1]
        )
