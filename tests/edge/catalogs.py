"""Small catalogs and requests that they admit or refuse."""

from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import Destination
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._edge.wire import Arrival

HOST = "h"


def create_arrival(key):
    return Arrival(
        request_id="id",
        host=HOST,
        method="GET",
        target="/a/x",
        path="/a/x",
        headers=(),
        body=b"",
        key=key,
        affinity=None,
        remaining_s=5.0,
    )


def create_route(*, is_open=False, regions=()):
    return EdgeRoute(
        "r",
        HOST,
        "/a/",
        (Destination("s", 1.0),),
        repeatable=True,
        is_open=is_open,
        is_sticky=False,
        timeout_s=4.0,
        objective_s=1.0,
        attempts=2,
        priority=0,
        home_regions=frozenset(regions),
    )


def create_catalog(
    version, *, requires_keys=True, routes=None, workspaces=(), owners=None
):
    catalog = Catalog(version, CallerLimits(15.0, 1000), requires_keys)
    for route in [create_route()] if routes is None else routes:
        catalog.add_route(route)
    for workspace in workspaces:
        catalog.workspaces[workspace.name] = workspace
    catalog.owners.update(owners or {})
    return catalog


def create_workspace(name, regions=()):
    return EdgeWorkspace(name, 0.0, 0.0, 0, frozenset(regions))


def create_keyed_catalog(version):
    """Return a catalog in which the workspace "w" holds the key "k"."""
    return create_catalog(
        version, workspaces=[create_workspace("w")], owners={"k": "w"}
    )
