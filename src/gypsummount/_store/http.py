"""HTTP client of the object store that the agents write.

The store holds ledgers, configuration, keys, drains and rollouts.  The
client relies on ETags, conditional writes and long polling.
"""

from asyncio import Future
from asyncio import shield
from json import JSONDecodeError
from json import loads
from typing import final
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsummount._store.base import MAX_VALUE_BYTES
from gypsummount._store.base import Store
from gypsummount._store.base import StoredObject
from gypsummount.errors import StoreConflict
from gypsummount.errors import StoreError
from gypsummount.errors import StoreUnavailable

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 5.0
WATCH_TIMEOUT_S = WATCH_WAIT_S + CALL_TIMEOUT_S
MAX_CONCURRENT_CALLS = 64


@final
class HttpStore(Store):
    """Client of the store at ``http://ADDRESS/objects/``."""

    def __init__(
        self, address: str, *, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._base = f"http://{address}/objects/"
        self._call_timeout_s = call_timeout_s
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS
        )

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none.

        :raises StoreUnavailable: when the store gives no valid answer.
        """
        response = await self._call("GET", name, {})
        return _build_object(name, response)

    async def create(self, name: str, value: bytes) -> str:
        """Create an object if it is absent and return its version.

        :raises StoreConflict: when the object exists.
        :raises StoreUnavailable: when the store gives no valid answer.
        :raises StoreError: when the value exceeds MAX_VALUE_BYTES.
        """
        return await self._write(name, value, {"If-None-Match": "*"})

    async def replace(self, name: str, value: bytes, version: str) -> str:
        """Write if the version matches; return the new version.

        :raises StoreConflict: when the object has another version.
        :raises StoreUnavailable: when the store gives no valid answer.
        :raises StoreError: when the value exceeds MAX_VALUE_BYTES.
        """
        return await self._write(name, value, {"If-Match": version})

    async def delete(self, name: str, version: str) -> None:
        """Delete an object if the version matches.

        :raises StoreConflict: when the object has another version.
        :raises StoreUnavailable: when the store gives no valid answer.
        """
        headers = {"If-Match": version}
        response = await self._call("DELETE", name, headers)
        _raise_for_status(name, response)

    async def watch(
        self, name: str, version: str | None
    ) -> StoredObject | None:
        """Wait until an object differs from a version and return it.

        Without a change, the wait ends after ``WATCH_WAIT_S`` and the
        result has the given version and an empty value, or is None if
        the object is still absent.

        :raises StoreUnavailable: when the store gives no valid answer.
        """
        headers = {
            # "none" stands for the version of an absent object.
            "If-None-Match": version or "none",
            "Prefer": f"wait={WATCH_WAIT_S:g}",
        }
        response = await self._call(
            "GET", name, headers, timeout_s=WATCH_TIMEOUT_S
        )
        if response.code == 304:
            return StoredObject(name, version or "", b"")
        return _build_object(name, response)

    async def list_names(self, prefix: str) -> list[str]:
        """Return the names of all objects with a prefix, sorted.

        :raises StoreUnavailable: when the store gives no valid answer.
        """
        response = await self._call("GET", "", {}, f"?prefix={quote(prefix)}")
        try:
            return [str(name) for name in loads(response.body)]
        except JSONDecodeError:
            raise StoreUnavailable(
                "the store's list of names is not valid JSON; check --store"
            ) from None

    async def close(self) -> None:
        """Release the connections."""
        self._client.close()

    async def _write(
        self, name: str, value: bytes, headers: dict[str, str]
    ) -> str:
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(
                f"'{name}' has {len(value)} bytes; keep objects under "
                f"{MAX_VALUE_BYTES} bytes"
            )
        response = await self._call("PUT", name, headers, body=value)
        _raise_for_status(name, response)
        return response.headers["ETag"]

    def _start_request(self, request: HTTPRequest) -> Future[HTTPResponse]:
        future = self._client.fetch(request, raise_error=False)
        # Nothing awaits the future after its caller was cancelled.  The
        # callback retrieves its exception, which would otherwise be
        # logged as never retrieved.
        future.add_done_callback(_retrieve_exception)
        return future

    async def _call(
        self,
        method: str,
        name: str,
        headers: dict[str, str],
        query: str = "",
        *,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        timeout_s = timeout_s or self._call_timeout_s
        request = HTTPRequest(
            self._base + quote(name) + query,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=min(timeout_s, self._call_timeout_s),
            request_timeout=timeout_s,
        )
        try:
            # Tornado logs an error when a request ends whose future was
            # cancelled, so the future does not share the cancellation of
            # the caller.
            response = await shield(self._start_request(request))
        except (HTTPClientError, OSError) as error:
            raise _build_unavailable(name, str(error)) from None
        if response.code >= 500:
            raise _build_unavailable(name, f"status {response.code}")
        return response


def _retrieve_exception(future: Future[HTTPResponse]) -> None:
    if not future.cancelled():
        future.exception()


def _build_unavailable(name: str, reason: str) -> StoreUnavailable:
    return StoreUnavailable(
        f"no answer from the store for '{name}' ({reason}); check --store "
        "and that the store is up"
    )


def _build_object(name: str, response: HTTPResponse) -> StoredObject | None:
    if response.code == 404:
        return None
    if response.code != 200:
        raise _build_unavailable(name, f"status {response.code}")
    return StoredObject(name, response.headers["ETag"], response.body)


def _raise_for_status(name: str, response: HTTPResponse) -> None:
    if response.code in (404, 412):
        raise StoreConflict(
            f"'{name}' was changed by another writer; read it again"
        )
    if response.code >= 400:
        raise _build_unavailable(name, f"status {response.code}")
