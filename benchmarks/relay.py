"""A bare relay to one upstream over persistent connections.

It takes no decisions and is the baseline for the edge.
"""

from asyncio import Event
from asyncio import run
import sys

from gypsummount._common.sockets import bind_address
from gypsummount._core.sanitizing import Header
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount._standin.http import Reply
from gypsummount._standin.http import SingleHandlerServer

TIMEOUT_S = 5.0
REQUEST_ID_HEADER = "Gypsummount-Request-Id"


async def main(listen: str, upstream: str, upstream_name: str) -> None:
    pool = ConnectionPool(upstream)

    async def relay(request):
        request_id = request.headers[REQUEST_ID_HEADER]
        # The platform's header has this name; its value names the upstream.
        headers = (Header("Gypsummount-Expected-Instance", upstream_name),)
        answer = await pool.send(
            UpstreamRequest(
                "GET", request.uri, headers, b"", request_id, REQUEST_ID_HEADER
            ),
            TIMEOUT_S,
            repeatable=True,
        )
        return Reply(answer.status, answer.body)

    # The first argument of bind_address names the setting in its error.
    server = SingleHandlerServer(relay, bind_address("listen", listen))
    try:
        await Event().wait()
    finally:
        await server.close()
        pool.close()


if __name__ == "__main__":
    run(main(*sys.argv[1:]))
