"""A client process that sends over persistent connections.

It prints the rate of requests (1/s) and their median time (ms).
"""

from asyncio import gather
from asyncio import open_connection
from asyncio import run
import sys
from time import perf_counter

LENGTH = b"Content-Length: "


async def send_for(
    host: str, port: int, head: bytes, seconds: float, times: list[float]
) -> None:
    reader, writer = await open_connection(host, port)
    until = perf_counter() + seconds
    while (began := perf_counter()) < until:
        writer.write(head)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200"), answer
        start = answer.index(LENGTH) + len(LENGTH)
        length = int(answer[start : answer.index(b"\r", start)])
        await reader.readexactly(length)
        times.append(perf_counter() - began)
    writer.close()


async def main(
    host: str, port: int, path: str, key: str, count: int, seconds: float
) -> None:
    lines = [f"GET {path} HTTP/1.1", "Host: x", f"X-Api-Key: {key}", "", ""]
    head = "\r\n".join(lines).encode()
    times: list[float] = []
    await gather(
        *(send_for(host, port, head, seconds, times) for _ in range(count))
    )
    times.sort()
    rate = len(times) / seconds
    median_ms = times[len(times) // 2] * 1000
    print(f"{rate:.1f} {median_ms:.4f}")


if __name__ == "__main__":
    host, port, path, key, count, seconds = sys.argv[1:]
    run(main(host, int(port), path, key, int(count), float(seconds)))
