"""The program ``gypsummount-agent``."""

from typing import Annotated

from typer import Option
from typer import run as run_typer

from gypsummount._agent.process import AgentProcess
from gypsummount._agent.state import AgentSettings
from gypsummount._common.logs import configure_logs
from gypsummount._common.settings import check_address
from gypsummount._common.settings import check_addresses
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
from gypsummount._common.signals import on_stop
from gypsummount._core.shares import PAUSE_LIMIT_S
from gypsummount.errors import SettingError


def serve(
    instance: InstanceName,
    domain: DomainName,
    region: RegionName,
    store: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_STORE",
            help="Address (IP:port) of the platform's object store.",
        ),
    ],
    pepper: Pepper,
    operator_token: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_OPERATOR_TOKEN",
            help="Token that operators send (16 characters or more); "
            "best given by the environment.",
        ),
    ],
    listen: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_LISTEN",
            help="Address (IP:port) for entries and peers (gRPC).",
        ),
    ] = "127.0.0.1:8082",
    advertise: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_ADVERTISE",
            help="Address (IP:port) that is announced to peers; --listen if "
            "empty.",
        ),
    ] = "",
    admin_listen: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_ADMIN_LISTEN",
            help="Address (IP:port) of the administration API.",
        ),
    ] = "127.0.0.1:8083",
    live_list: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_LIVE_LIST",
            help="Address (IP:port) of the platform's live list; if empty, "
            "peers are found by the seeds alone, and the shares of dead "
            "instances are not recovered.",
        ),
    ] = "",
    seeds: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_SEEDS",
            help="Addresses (IP:port) of other agents, comma-separated.",
        ),
    ] = "",
    live_lag_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_LIVE_LAG_S",
            help="Maximum lag of the live list in seconds; an instance that "
            "is missing from the list for longer is considered dead.",
        ),
    ] = 15.0,
    stop_limit_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_STOP_LIMIT_S",
            help="Maximum time in seconds to wait for leaving entries after "
            "SIGTERM.",
        ),
    ] = 60.0,
    log_level: LogLevel = "info",
) -> None:
    """Synchronise configuration, membership, budgets and rollouts."""

    async def main() -> None:
        configure_logs(check_level(log_level), "agent")
        settings = AgentSettings(
            check_name("--instance", instance),
            check_name("--domain", domain),
            check_name("--region", region),
            check_address("--listen", listen),
            check_address("--admin-listen", admin_listen),
            check_address("--store", store),
            check_address("--live-list", live_list) if live_list else "",
            check_addresses("--seeds", seeds),
            read_secret("--pepper", pepper),
            read_secret("--operator-token", operator_token).decode(),
            _check_lag(live_lag_s),
            check_positive("--stop-limit-s", stop_limit_s, "seconds"),
            check_address("--advertise", advertise) if advertise else "",
        )
        process = AgentProcess(settings)
        on_stop(process.stop)
        await process.run()

    run_program(main)


def _check_lag(live_lag_s: float) -> float:
    """Return the lag if it is longer than :data:`PAUSE_LIMIT_S`.

    An entry that was suspended for less than that goes on to use its
    shares, so they must not be recovered earlier.

    :raises SettingError: when the lag is too short.
    """
    if live_lag_s <= PAUSE_LIMIT_S:
        raise SettingError(
            f"--live-lag-s: {live_lag_s:g} is too short; give more than "
            f"{PAUSE_LIMIT_S:g} seconds"
        )
    return live_lag_s


def run() -> None:
    """Run the program."""
    run_typer(serve)
