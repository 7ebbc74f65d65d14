"""The program with a task that calls each duty while it is held."""

from asyncio import run
from asyncio import sleep
from contextlib import AsyncExitStack
import sys

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import configure_logs
from gypsummount._common.signals import on_stop
from gypsummount._common.streams import LossyStream
from gypsummount._common.tasks import start_task
from gypsummount._edge.process import EdgeProcess
from gypsummount.platform.cloud import CloudClient
from gypsummount.platform.settings import get_settings_path
from gypsummount.platform.settings import read_settings
from gypsummount.platform.store import StoreClient
from gypsummount.platform.wire import PlatformWire

CALL_INTERVAL_S = 0.1


async def carry_out(lease):
    """Count calls in the payload, and make each after it is recorded."""
    lease.on_release = lambda: f"{lease.payload} released"
    while True:
        if lease.is_held(read_monotonic()):
            count = int((lease.payload or "0").split()[0]) + 1
            if await lease.write_payload(str(count)):
                await lease.call(str(count).encode())
        await sleep(CALL_INTERVAL_S)


async def serve():
    settings = read_settings(get_settings_path())
    process = EdgeProcess(
        settings.edge,
        StoreClient(settings.store),
        PlatformWire(),
        duty_feed=CloudClient(settings.edge.duties.address),
    )
    on_stop(process.stop)
    async with AsyncExitStack() as stack:
        for lease in process.duties.leases.values():
            start_task(stack, carry_out(lease), "carry out")
        await process.run()


if __name__ == "__main__":
    configure_logs("info", "edge", stream=LossyStream(sys.stdout.fileno()))
    run(serve())
