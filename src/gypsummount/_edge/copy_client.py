"""Client of another instance's record server."""

from gypsummount._edge.copies import Copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.record_server import RECORDS_PATH
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamRequest


class CopyClient:
    """Requests copies of one peer's records over kept connections.

    ``cursor`` is the sender's last change in the latest copy.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address)
        self.cursor = NO_CURSOR

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def request(self, wait_s: float, timeout_s: float) -> Copy:
        """Return a copy of the peer's changes since the last copy.

        The peer answers after ``wait_s`` at the latest, changes or not.

        :raises ExchangeError: when no complete answer came in time.
        :raises RecordInvalid: when the answer cannot be decoded.
        """
        copy = await self._request(self.cursor, wait_s, timeout_s)
        self.cursor = copy.cursor
        return copy

    async def _request(
        self, cursor: Cursor, wait_s: float, timeout_s: float
    ) -> Copy:
        path = (
            f"{RECORDS_PATH}?incarnation={cursor.incarnation}"
            f"&sequence={cursor.sequence}&wait={wait_s}"
        )
        request = UpstreamRequest("GET", path, (), b"", "")
        answer = await self._pool.send(request, timeout_s, repeatable=True)
        return decode_copy(answer.body)
