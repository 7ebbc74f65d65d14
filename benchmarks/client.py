"""A client process that sends over persistent connections.

It prints the rate of requests (1/s) and their median time (ms).
"""

from asyncio import gather
from asyncio import open_connection
from asyncio import run
import sys
from time import perf_counter

LENGTH_HEADER = b"Content-Length: "


async def send_for(
    host: str,
    port: int,
    request_head: bytes,
    seconds: float,
    times_s: list[float],
) -> None:
    reader, writer = await open_connection(host, port)
    deadline = perf_counter() + seconds
    while (began := perf_counter()) < deadline:
        writer.write(request_head)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200"), answer
        start = answer.index(LENGTH_HEADER) + len(LENGTH_HEADER)
        length = int(answer[start : answer.index(b"\r", start)])
        await reader.readexactly(length)
        times_s.append(perf_counter() - began)
    writer.close()


async def main(
    host: str, port: int, path: str, key: str, count: int, seconds: float
) -> None:
    lines = [f"GET {path} HTTP/1.1", "Host: x", f"X-Api-Key: {key}", "", ""]
    request_head = "\r\n".join(lines).encode()
    times_s: list[float] = []
    await gather(
        *(
            send_for(host, port, request_head, seconds, times_s)
            for _ in range(count)
        )
    )
    times_s.sort()
    rate = len(times_s) / seconds
    median_ms = times_s[len(times_s) // 2] * 1000
    print(f"{rate:.1f} {median_ms:.4f}")


if __name__ == "__main__":
    host, port, path, key, count, seconds = sys.argv[1:]
    run(main(host, int(port), path, key, int(count), float(seconds)))
