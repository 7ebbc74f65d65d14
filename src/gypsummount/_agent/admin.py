"""The administration API: JSON over HTTP, with an operator's token."""

from dataclasses import asdict
import hmac
from json import JSONDecodeError
from json import loads

from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from gypsummount._agent.operations import ApplyRequest
from gypsummount._agent.operations import NotFound
from gypsummount._agent.operations import Operations
from gypsummount._agent.operations import SerialConflict
from gypsummount._agent.state import AgentState
from gypsummount._agent.status import build_metrics
from gypsummount._agent.status import build_status
from gypsummount._agent.status import explain
from gypsummount._common.clocks import read_wall
from gypsummount._common.logs import get_logger
from gypsummount._core.charts import ChartError
from gypsummount._core.rollouts import RolloutState
from gypsummount.errors import ConfigError
from gypsummount.errors import GypsummountError
from gypsummount.errors import StoreError

MAX_BODY_BYTES = 1_000_000
_BEARER_PREFIX = "Bearer "
_HTTP_STATUSES: dict[type[GypsummountError], int] = {
    NotFound: 404,
    SerialConflict: 409,
    ChartError: 409,
    ConfigError: 422,
    StoreError: 503,
}

_log = get_logger("admin")


class InvalidBody(GypsummountError):
    """The request's body is not a JSON object or a field is not valid."""

    code = "body_invalid"


class _AdminHandler(RequestHandler):
    def initialize(self, state: AgentState, operations: Operations) -> None:
        self._state = state
        self._operations = operations

    def prepare(self) -> None:
        expected = self._state.settings.operator_token
        given = self.request.headers.get("Authorization", "")
        token = given.removeprefix(_BEARER_PREFIX)
        if not hmac.compare_digest(token.encode(), expected.encode()):
            self.set_status(401)
            self.finish(
                {
                    "code": "operator_token_refused",
                    "message": "send the operator's token as "
                    "'Authorization: Bearer TOKEN'",
                }
            )

    def read_field(self, name: str) -> str:
        """Return a text field of the JSON body.

        :raises InvalidBody: when it is missing, empty or not a string.
        """
        value = self.read_body().get(name)
        if not isinstance(value, str) or not value:
            raise InvalidBody(
                f"the body has no text for '{name}'; send a JSON string"
            )
        return value

    def read_body(self) -> dict[str, object]:
        """Return the JSON object of the body, empty if there is no body.

        :raises InvalidBody: when it is not a JSON object.
        """
        try:
            body = loads(self.request.body or b"{}")
        except JSONDecodeError:
            raise InvalidBody(
                "the body is not valid JSON; send a JSON object"
            ) from None
        if not isinstance(body, dict):
            raise InvalidBody("the body is not a JSON object; send one")
        return body

    def write_error(self, status_code: int, **kwargs: object) -> None:
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, GypsummountError):
            status = 400
            for error_class, http_status in _HTTP_STATUSES.items():
                if isinstance(error, error_class):
                    status = http_status
            self.set_status(status)
            self.finish({"code": error.code, "message": str(error)})
            return
        self.finish(
            {
                "code": "failed",
                "message": f"{self._reason}; see docs/ADMIN.md",
            }
        )

    def log_exception(self, *info: object) -> None:
        error = info[1]
        if not isinstance(error, GypsummountError):
            _log.error("A call of the administration API failed: %r.", error)


class _Status(_AdminHandler):
    def get(self) -> None:
        self.finish(build_status(self._state))


class _Metrics(_AdminHandler):
    def get(self) -> None:
        self.finish(build_metrics(self._state))


class _Explain(_AdminHandler):
    def get(self) -> None:
        method = self.get_argument("method", "GET").upper()
        path = self.get_argument("path")
        workspace = self.get_argument("workspace", "")
        self.finish(explain(self._state, method, path, workspace))


class _Config(_AdminHandler):
    def get(self) -> None:
        self.finish(asdict(self._state.config))

    async def put(self) -> None:
        serial = self.read_body().get("base_serial")
        if not isinstance(serial, int):
            raise InvalidBody(
                "the body has no integer 'base_serial'; send the serial of "
                "the configuration that was edited"
            )
        request = ApplyRequest(
            self.read_field("text"), serial, self.read_field("writer")
        )
        document = await self._operations.apply(request)
        self.finish(asdict(document))


class _Keys(_AdminHandler):
    def get(self) -> None:
        records = [
            {
                "key_id": record.key_id,
                "workspace": record.workspace,
                "ends_at": record.ends_at,
                "asked_by": record.asked_by,
            }
            for record in self._state.keys.records
        ]
        self.finish({"keys": records})

    async def post(self) -> None:
        ends_in_s = self.read_body().get("ends_in_s", 0)
        if not isinstance(ends_in_s, int | float) or ends_in_s < 0:
            raise InvalidBody(
                "'ends_in_s' is not a number of seconds; send 0 or more"
            )
        ends_at = read_wall() + ends_in_s if ends_in_s else 0.0
        granted = await self._operations.grant_key(
            self.read_field("workspace"),
            self.read_field("asked_by"),
            ends_at,
        )
        self.set_status(201)
        self.finish({"key": granted.key, "key_id": granted.record.key_id})


class _Key(_AdminHandler):
    async def delete(self, key_id: str) -> None:
        await self._operations.withdraw_key(key_id)
        self.finish({"key_id": key_id, "keys_serial": self._state.keys.serial})


class _Drain(_AdminHandler):
    async def put(self, server: str) -> None:
        await self._operations.drain(server, restore=False)
        self.finish({"server": server, "state": "leaving"})

    async def delete(self, server: str) -> None:
        await self._operations.drain(server, restore=True)
        self.finish({"server": server, "state": "serving"})


class _Rollout(_AdminHandler):
    async def post(self, name: str, action: str) -> None:
        state: RolloutState
        if action == "start":
            state = await self._operations.start_rollout(name)
        else:
            state = await self._operations.recall_rollout(name)
        self.finish(asdict(state))


def start_admin_server(
    state: AgentState, operations: Operations, sockets: list
) -> HTTPServer:
    """Start the administration server on bound sockets and return it."""
    handler_args = {"state": state, "operations": operations}
    application = Application(
        [
            (r"/v1/status", _Status, handler_args),
            (r"/v1/metrics", _Metrics, handler_args),
            (r"/v1/explain", _Explain, handler_args),
            (r"/v1/config", _Config, handler_args),
            (r"/v1/keys", _Keys, handler_args),
            (r"/v1/keys/([a-f0-9]{1,64})", _Key, handler_args),
            (r"/v1/drains/([0-9a-fA-F.:\[\]]+)", _Drain, handler_args),
            (
                r"/v1/rollouts/([a-z0-9._-]+)/(start|back)",
                _Rollout,
                handler_args,
            ),
        ],
        default_handler_class=_AdminHandler,
        default_handler_args=handler_args,
    )
    server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return server
