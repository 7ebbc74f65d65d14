"""Which route and workspace a request has in the configuration in force."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._edge.replica import Replica
from gypsummount._edge.wire import Arrival
from gypsummount.errors import KeyMissing
from gypsummount.errors import KeyRefused
from gypsummount.errors import KeyStale
from gypsummount.errors import NotReady
from gypsummount.errors import RequestError
from gypsummount.errors import RouteNotFound

# Replicas whose freshness proof is older never refuse unknown routes or keys.
MAX_CATALOG_AGE_S = 2.0


class Authorization:
    """Looks up routes and the holders of keys, as far as proofs permit."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def find_route(self, catalog: Catalog, arrival: Arrival) -> EdgeRoute:
        """Return the route of a request.

        :raises RouteNotFound: if there is none.
        :raises NotReady: if it may be in an update that is still missing.
        """
        route = catalog.find_route(arrival.host, arrival.path)
        if route is not None:
            return route
        self._check_catalog_current()
        raise RouteNotFound("no route has this host and path")

    def find_workspace(
        self, catalog: Catalog, route: EdgeRoute, arrival: Arrival
    ) -> EdgeWorkspace | None:
        """Return the workspace of a request's key, None if it needs no key.

        :raises KeyMissing: if it has no key and needs one.
        :raises KeyRefused: if nobody holds its key.
        :raises KeyStale: if a withdrawal of the key may have been missed.
        :raises NotReady: if the key may be in an update still missing.
        """
        if route.is_open or not catalog.requires_keys:
            return None
        if not arrival.key:
            raise KeyMissing("no key came; send the one you were given")
        owner = catalog.find_owner(arrival.key)
        if owner is None:
            self._check_catalog_current()
            raise KeyRefused("the key is not in force; ask your operator")
        self.check_keys_current()
        return owner

    def _check_catalog_current(self) -> None:
        """Check that the configuration is recent enough to refuse a request.

        An unknown route or key may be in an update that is still missing.

        :raises NotReady: if it may be out of date, so that the caller tries
            another instance.
        """
        age_s = self._replica.proof.get_age(read_monotonic())
        if age_s is None or age_s > MAX_CATALOG_AGE_S:
            raise NotReady(
                "the configuration may be out of date here; try another "
                "instance"
            )

    def check_keys_current(self) -> None:
        """Check that no withdrawal of a key can have been missed.

        :raises KeyStale: if one may have been missed.
        """
        if not self._replica.proof.is_fresh(read_monotonic()):
            raise KeyStale(
                "key withdrawals may have been missed here; try another "
                "instance"
            )


def find_home_regions(
    route: EdgeRoute, workspace: EdgeWorkspace | None
) -> frozenset[str]:
    """Return where a request may run; empty means any region.

    :raises RequestError: if route and workspace have no region in common.
    """
    if workspace is None:
        return route.home_regions
    return _intersect_regions(route.home_regions, workspace.home_regions)


def _intersect_regions(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str]:
    """Return the regions allowed by both; empty means any region.

    :raises RequestError: if both are limited and have none in common.
    """
    if not first:
        return second
    if not second:
        return first
    both = first & second
    if not both:
        raise RequestError("the route and the workspace share no home region")
    return both
