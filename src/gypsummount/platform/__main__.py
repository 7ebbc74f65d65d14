"""Entry point of the edge process that the platform starts."""

from asyncio import Runner
from contextlib import AsyncExitStack
import sys

from gypsummount._common.allocator import return_large_blocks
from gypsummount._common.logs import configure_logs
from gypsummount._common.logs import get_logger
from gypsummount._common.loop_timer import create_timed_loop
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.signals import on_reload
from gypsummount._common.signals import on_stop
from gypsummount._common.streams import LossyStream
from gypsummount._common.tasks import start_task
from gypsummount._edge.process import EdgeProcess
from gypsummount.errors import SettingError
from gypsummount.platform.auxiliary_servers import AuxiliaryServers
from gypsummount.platform.cloud import CloudClient
from gypsummount.platform.reloader import Reloader
from gypsummount.platform.settings import get_settings_path
from gypsummount.platform.settings import read_metrics_port
from gypsummount.platform.settings import read_settings
from gypsummount.platform.store import StoreClient
from gypsummount.platform.usage_calls import encode_usage
from gypsummount.platform.wire import PlatformWire

USAGE_EXIT = 2

_log = get_logger("program")


async def serve(loop_timer: LoopTimer) -> None:
    """Serve until the platform signals the process to stop.

    ``loop_timer`` times the event loop in which this coroutine runs.
    """
    path = get_settings_path()
    settings = read_settings(path)
    feed = StoreClient(settings.store)
    duties = settings.edge.duties
    process = EdgeProcess(
        settings.edge,
        feed,
        PlatformWire(),
        loop_timer,
        CloudClient(duties.address) if duties is not None else None,
        encode_usage,
    )
    on_stop(process.stop)
    reloader = Reloader(path, process)
    on_reload(reloader.reload)
    async with AsyncExitStack() as stack:
        start_task(stack, reloader.watch(), "settings")
        servers = AuxiliaryServers(process, settings.edge, read_metrics_port())
        stack.push_async_callback(servers.close)
        servers.listen()
        await process.run()


def main() -> int:
    """Run the program and return its exit code.

    Logs go to standard output.  Invalid settings end the program with
    exit code 2.
    """
    configure_logs("info", "edge", stream=LossyStream(sys.stdout.fileno()))
    return_large_blocks()
    loop_timer = LoopTimer()
    try:
        with Runner(
            loop_factory=lambda: create_timed_loop(loop_timer)
        ) as runner:
            runner.run(serve(loop_timer))
    except SettingError as error:
        _log.error("Cannot start: %s", error)
        return USAGE_EXIT
    return 0


if __name__ == "__main__":
    sys.exit(main())
