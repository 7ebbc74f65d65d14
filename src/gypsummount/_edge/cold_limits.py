"""Rate limits of cold upstreams and of those suspected of a restart."""

from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._core.upstream_load import ColdReason
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Backends
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica


class ColdLimits:
    """Tells whether an upstream's slow start permits one more request."""

    def __init__(
        self, replica: Replica, backends: Backends, prober: Prober
    ) -> None:
        self._replica = replica
        self._backends = backends
        self._prober = prober
        self.plan = SlowStartPlan("")

    def permits(
        self, backend: Backend, work_s: float, now: float, sender: str = ""
    ) -> bool:
        """Tell whether a cold upstream's rate limit allows one request.

        Suspects silent upstreams and probes suspected ones.  ``work_s``
        is the service's usual processing time, ``sender`` the instance
        that will send the request, if not this one.
        """
        load = backend.load
        if not load.is_cold(now):
            if not load.is_unresponsive(now, work_s):
                return True
            cold_s = self._backends.get_cold_duration(backend.record)
            load.mark_suspected(now, cold_s, ColdReason.SILENCE)
        if load.is_suspected(now):
            self._prober.request_probe(backend, now)
        rate = self._get_rate(backend)
        if rate is None:
            return True
        rate_limit = self.plan.compute_rate_limit(
            backend.region, load.seed, rate, sender
        )
        return load.is_within_rate(now, rate_limit)

    def _get_rate(self, backend: Backend) -> float | None:
        """Return a cold upstream's rate limit (1/s), None for no limit.

        Nothing is known of a service that the configuration has dropped,
        so its cold upstreams get nothing.
        """
        catalog = self._replica.catalog
        service = catalog.services.get(backend.record.service)
        return service.cold_rate if service is not None else 0.0
