"""The readiness, directory and metrics endpoints for the platform."""

from collections.abc import Callable
from json import dumps

from tornado.httputil import HTTPServerRequest

from gypsummount._common.request_server import RequestServer
from gypsummount._common.sockets import bind_address
from gypsummount._edge.digests import SERVING
from gypsummount._edge.directory import list_addresses
from gypsummount._edge.front import write_answer
from gypsummount._edge.process import EdgeProcess
from gypsummount._edge.settings import EdgeSettings

READY_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"
METRICS_PATH = "/metrics"


class AuxiliaryServer(RequestServer):
    """Answers requests without a body, each at once."""

    def __init__(
        self,
        process: EdgeProcess,
        max_connections: int,
        answer: Callable[[HTTPServerRequest], None],
    ) -> None:
        super().__init__(
            max_body_bytes=0,
            max_connections=max_connections,
            account=process.clients,
        )
        self._answer = answer

    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        self._answer(request)
        return True

    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        """Do nothing, as every request was answered at once."""


class AuxiliaryServers:
    """HTTP servers for readiness, directory and metrics.

    They are separate from the server for callers' requests.  Each of
    their addresses answers all of these paths.
    """

    def __init__(
        self, process: EdgeProcess, settings: EdgeSettings, metrics_port: int
    ) -> None:
        self._process = process
        self._settings = settings
        self._metrics_port = metrics_port
        self._servers: list[AuxiliaryServer] = []

    def listen(self) -> None:
        """Start accepting connections on every configured address.

        :raises SettingError: when an address cannot be bound.
        """
        settings = self._settings
        addresses = {
            settings.ready_listen,
            settings.directory_listen,
            settings.control_listen,
        }
        addresses.add(f"{settings.host}:{self._metrics_port}")
        # The control address is empty if the settings file has none.
        for address in addresses - {""}:
            server = AuxiliaryServer(
                self._process,
                settings.max_auxiliary_connections,
                self._receive,
            )
            server.listen(bind_address("listen", address))
            self._servers.append(server)

    async def close(self) -> None:
        """Stop all servers and close their connections."""
        for server in self._servers:
            await server.close()

    def _receive(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            is_ready = self._process.phase == SERVING
            status = 200 if is_ready else 503
            write_answer(request, status, "text/plain", b"")
        elif request.path == RESOLVE_PATH:
            self._resolve(request)
        elif request.path == METRICS_PATH:
            body = self._process.write_metrics().encode()
            write_answer(request, 200, "text/plain; version=0.0.4", body)
        else:
            write_answer(request, 404, "text/plain", b"")

    def _resolve(self, request: HTTPServerRequest) -> None:
        regions = request.arguments.get("region", [b""])
        region = regions[-1].decode("utf-8", "replace")
        addresses = list_addresses(self._process.list_advertised(), region)
        if not addresses:
            write_answer(request, 503, "text/plain", b"no instance serves\n")
            return
        body = dumps(
            {
                "addresses": addresses,
                "ttlS": self._settings.bounds.lookup_ttl_s,
            }
        )
        write_answer(request, 200, "application/json", body.encode())
