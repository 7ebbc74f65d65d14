"""Command line of the program ``gypsummount-entry``."""

from typing import Annotated

from typer import Option
from typer import run as run_typer

from gypsummount._common.logs import configure_logs
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.settings import check_address
from gypsummount._common.settings import check_level
from gypsummount._common.settings import check_name
from gypsummount._common.settings import check_positive
from gypsummount._common.settings import DomainName
from gypsummount._common.settings import InstanceName
from gypsummount._common.settings import LogLevel
from gypsummount._common.settings import Pepper
from gypsummount._common.settings import read_secret
from gypsummount._common.settings import RegionName
from gypsummount._common.settings import run_program
from gypsummount._common.settings import Statsd
from gypsummount._common.signals import on_stop
from gypsummount._core.lookups import DRAIN_MARGIN_S
from gypsummount._core.lookups import LOOKUP_TTL_S
from gypsummount._entry.process import EntryProcess
from gypsummount._entry.process import EntrySettings
from gypsummount.errors import SettingError


def serve(
    instance: InstanceName,
    domain: DomainName,
    region: RegionName,
    pepper: Pepper,
    listen: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_LISTEN",
            help="Address (IP:port) for callers.",
        ),
    ] = "127.0.0.1:8080",
    peer_listen: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_PEER_LISTEN",
            help="Address (IP:port) for other entries (gRPC).",
        ),
    ] = "127.0.0.1:8081",
    peer_advertise: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_PEER_ADVERTISE",
            help="Address (IP:port) that other entries connect to; if "
            "empty, the one of --peer-listen.",
        ),
    ] = "",
    agent: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_AGENT",
            help="Address (IP:port) of this instance's agent (gRPC).",
        ),
    ] = "127.0.0.1:8082",
    drain_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_DRAIN_S",
            help="Seconds to continue serving after SIGTERM; at least 2 s "
            "more than --lookup-ttl-s.",
        ),
    ] = LOOKUP_TTL_S + DRAIN_MARGIN_S,
    lookup_ttl_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_LOOKUP_TTL_S",
            help="Seconds for which callers may cache a look-up answer.",
        ),
    ] = LOOKUP_TTL_S,
    stop_limit_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_STOP_LIMIT_S",
            help="Maximum seconds to wait for requests in flight at a stop.",
        ),
    ] = 30.0,
    statsd: Statsd = "",
    log_level: LogLevel = "info",
) -> None:
    """Answer look-ups and steer requests of callers to upstreams."""

    loop_timer = LoopTimer()

    async def main() -> None:
        configure_logs(check_level(log_level), "entry")
        settings = EntrySettings(
            check_name("--instance", instance),
            check_name("--domain", domain),
            check_name("--region", region),
            check_address("--listen", listen),
            check_address("--peer-listen", peer_listen),
            check_address("--agent", agent),
            read_secret("--pepper", pepper),
            check_address("--statsd", statsd) if statsd else "",
            check_positive("--lookup-ttl-s", lookup_ttl_s, "seconds"),
            _check_drain_time(drain_s, lookup_ttl_s),
            check_positive("--stop-limit-s", stop_limit_s, "seconds"),
            (
                check_address("--peer-advertise", peer_advertise)
                if peer_advertise
                else ""
            ),
        )
        process = EntryProcess(settings, loop_timer)
        on_stop(process.stop)
        await process.run()

    run_program(main, loop_timer)


def _check_drain_time(drain_s: float, lookup_ttl_s: float) -> float:
    """Return the drain time if it outlasts cached look-up answers.

    :raises SettingError: when callers could still use look-up answers
        that name this entry after it has stopped listening.
    """
    min_drain_s = lookup_ttl_s + DRAIN_MARGIN_S
    if drain_s < min_drain_s:
        raise SettingError(
            f"--drain-s: {drain_s:g} is too short, since callers cache "
            f"look-ups for {lookup_ttl_s:g} s; "
            f"give at least {min_drain_s:g} seconds"
        )
    return drain_s


def run() -> None:
    """Parse the command line and run the entry."""
    run_typer(serve)
