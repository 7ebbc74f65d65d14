"""HTTP server from which peers copy this instance's records."""

from asyncio import Event
from asyncio import sleep
from asyncio import wait_for
from typing import final

from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.request_server import RequestServer
from gypsummount._edge.copies import build_copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import encode_copy
from gypsummount._edge.front import write_answer
from gypsummount._edge.replica import Replica

RECORDS_PATH = "/v1/records"
MAX_WAIT_S = 5.0
BATCH_DELAY_S = 0.02

_log = get_logger("sharing")


@final
class RecordServer(RequestServer):
    """Answers long polls for records that changed after a cursor.

    A newer freshness proof ends a poll too, so that it passes quickly from
    the reader of the store over several instances.

    The query holds the peer's cursor (``incarnation``, ``sequence``) and
    ``wait``, the longest time (s) to wait for a change.  The answer is a
    copy encoded as compressed JSON.
    """

    def __init__(
        self,
        replica: Replica,
        incarnation: int,
        account: ClientAccount | None = None,
    ) -> None:
        super().__init__(max_body_bytes=0, account=account)
        self._replica = replica
        self._incarnation = incarnation
        self._changed = Event()
        replica.listen(self._signal_change)
        replica.proof.listen(self._signal_change)

    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        if request.path == RECORDS_PATH:
            return False
        write_answer(request, 404, "text/plain", b"not found\n")
        return True

    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        requested_at = read_monotonic()
        try:
            cursor = Cursor(
                int(_read_argument(request, "incarnation")),
                int(_read_argument(request, "sequence")),
            )
            wait_s = float(_read_argument(request, "wait"))
        except ValueError as error:
            text = f"an argument is no number ({error})\n"
            write_answer(request, 400, "text/plain", text.encode())
            return
        await self._wait(cursor, min(wait_s, MAX_WAIT_S))
        copy = build_copy(
            self._replica, self._incarnation, cursor, requested_at
        )
        request.connection.set_close_callback(None)
        try:
            write_answer(
                request, 200, "application/octet-stream", encode_copy(copy)
            )
        except StreamClosedError:
            _log.debug("A peer disconnected before its copy was sent.")

    async def _wait(self, cursor: Cursor, wait_s: float) -> None:
        """Wait for a change or a newer proof, then briefly for more."""
        if cursor != Cursor(self._incarnation, self._replica.sequence):
            return
        try:
            await wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return
        await sleep(BATCH_DELAY_S)

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = Event()


def _read_argument(request: HTTPServerRequest, name: str) -> str:
    return request.arguments.get(name, [b"0"])[-1].decode("ascii", "replace")
