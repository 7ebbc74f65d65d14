"""Client of the agents' administration API."""

from json import dumps
from json import loads
from urllib.parse import quote
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsummount.errors import GypsummountError

CALL_TIMEOUT_S = 10.0
ADDRESS_CHARACTERS = ":[]"
Json = dict[str, object]


class AdminUnreachable(GypsummountError):
    """No agent answered or was able to carry out the call."""

    code = "admin_unreachable"


class AdminRefused(GypsummountError):
    """An agent answered a call with an error."""

    code = "admin_refused"


class AdminClient:
    """Tries the agents in turn until one carries out the call.

    A call that must not be repeated goes to another agent only if the
    connection was refused, since it may have taken effect otherwise.
    Each call raises :class:`AdminRefused` or :class:`AdminUnreachable`
    when it fails.
    """

    def __init__(self, addresses: tuple[str, ...], token: str) -> None:
        self._addresses = addresses
        self._token = token
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Release the connections."""
        self._client.close()

    async def read_status(self) -> Json:
        """Return the state of the fleet as one agent sees it."""
        return await self._call("GET", "/v1/status")

    async def read_metrics(self) -> Json:
        """Return the counters and latencies of one instance."""
        return await self._call("GET", "/v1/metrics")

    async def read_config(self) -> Json:
        """Return the text and the serial of the current configuration."""
        return await self._call("GET", "/v1/config")

    async def apply(self, text: str, base_serial: int, writer: str) -> Json:
        """Apply a configuration; repeating the call has no further effect.

        ``base_serial`` is the serial of the configuration that the change
        is based on.  ``writer`` makes the write unique, so that an agent
        recognises a repeated call.
        """
        body = {"text": text, "base_serial": base_serial, "writer": writer}
        return await self._call("PUT", "/v1/config", body)

    async def explain(self, method: str, path: str, workspace: str) -> Json:
        """Return where a request would be sent and why."""
        query = urlencode(
            {"method": method, "path": path, "workspace": workspace}
        )
        return await self._call("GET", f"/v1/explain?{query}")

    async def list_keys(self) -> Json:
        """Return the ids and details of granted keys, not the keys."""
        return await self._call("GET", "/v1/keys")

    async def grant_key(
        self, workspace: str, asked_by: str, ends_in_s: float
    ) -> Json:
        """Grant a key; never repeated, since each call grants another.

        ``asked_by`` names who asked for the key.  ``ends_in_s`` is the
        time in seconds until the key ends; 0 means no end.
        """
        body = {
            "workspace": workspace,
            "asked_by": asked_by,
            "ends_in_s": ends_in_s,
        }
        return await self._call("POST", "/v1/keys", body, at_most_once=True)

    async def withdraw_key(self, key_id: str) -> Json:
        """Withdraw a key by its id; the call may be repeated."""
        return await self._call("DELETE", f"/v1/keys/{quote(key_id)}")

    async def drain(self, server: str, *, restore: bool) -> Json:
        """Stop new requests to an upstream server, or restore it."""
        method = "DELETE" if restore else "PUT"
        path = f"/v1/drains/{quote(server, safe=ADDRESS_CHARACTERS)}"
        return await self._call(method, path)

    async def change_rollout(self, name: str, action: str) -> Json:
        """Start a rollout, or roll it back; ``action`` is start or back."""
        path = f"/v1/rollouts/{quote(name)}/{action}"
        return await self._call("POST", path, {}, at_most_once=True)

    async def _call(
        self,
        method: str,
        path: str,
        body: Json | None = None,
        *,
        at_most_once: bool = False,
    ) -> Json:
        failures = []
        for address in self._addresses:
            request = HTTPRequest(
                f"http://{address}{path}",
                method=method,
                headers={"Authorization": f"Bearer {self._token}"},
                body=dumps(body).encode() if body is not None else None,
                allow_nonstandard_methods=True,
                connect_timeout=2.0,
                request_timeout=CALL_TIMEOUT_S,
            )
            try:
                response = await self._client.fetch(request, raise_error=False)
            except ConnectionRefusedError:
                failures.append(f"{address}: connection refused")
                continue
            except (HTTPClientError, OSError) as error:
                failures.append(f"{address}: {error}")
                if at_most_once:
                    break
                continue
            if response.code < 400:
                return loads(response.body)
            if response.code == 503 and not at_most_once:
                failures.append(f"{address}: {_read_message(response.body)}")
                continue
            raise AdminRefused(_read_message(response.body))
        raise AdminUnreachable(
            f"no agent carried out the call ({'; '.join(failures)}); "
            "check --admin"
        )


def _read_message(body: bytes) -> str:
    try:
        return str(loads(body)["message"])
    except (ValueError, KeyError, TypeError):
        return "the agent's answer cannot be read; check --admin"
