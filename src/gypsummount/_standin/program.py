"""The command line of ``gypsummount-standin``, for tests and the demo."""

from asyncio import Event
from contextlib import AsyncExitStack
from typing import Annotated

from typer import Option
from typer import Typer

from gypsummount._common.settings import check_address
from gypsummount._common.settings import run_program
from gypsummount._common.signals import on_stop
from gypsummount._common.sockets import bind_address
from gypsummount._config.model import RuleSet
from gypsummount._config.parser import load_rules
from gypsummount._standin.http import Handler
from gypsummount._standin.http import SingleHandlerServer
from gypsummount._standin.platform import PlatformStandin
from gypsummount._standin.store import StoreStandin
from gypsummount._standin.upstreams import UpstreamControl
from gypsummount._standin.upstreams import UpstreamStandin

app = Typer(
    help="Stand-in servers for the platform, its store and upstreams.",
    no_args_is_help=True,
)

Listen = Annotated[
    str,
    Option(envvar="GYPSUMMOUNT_STANDIN_LISTEN", help="Address (IP:port)."),
]


@app.command()
def store(listen: Listen = "127.0.0.1:8070") -> None:
    """Serve the object store; POST /switches injects faults."""
    standin = StoreStandin()
    _serve({listen: standin.answer})


@app.command()
def platform(
    listen: Listen = "127.0.0.1:8071",
    lag_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_STANDIN_LAG_S",
            help="Seconds by which the live list lags behind changes.",
        ),
    ] = 0.0,
) -> None:
    """Serve the live list; POST /set and POST /remove change it."""
    standin = PlatformStandin(lag_s)
    _serve({listen: standin.answer})


@app.command()
def upstreams(
    rules: Annotated[
        str,
        Option(
            envvar="GYPSUMMOUNT_STANDIN_RULES",
            help="Rule file; every server of its pools is simulated.",
        ),
    ],
    listen: Listen = "127.0.0.1:8072",
    seed: Annotated[
        int,
        Option(
            envvar="GYPSUMMOUNT_STANDIN_SEED",
            help="Seed of the random latencies and faults.",
        ),
    ] = 1,
) -> None:
    """Serve all upstreams of a rule file; POST /switches changes them."""
    with open(rules, encoding="utf-8") as file:
        standins = build_upstreams(load_rules(file.read()), seed)
    handlers: dict[str, Handler] = {
        standin.server: standin.answer for standin in standins
    }
    handlers[listen] = UpstreamControl(standins).answer
    _serve(handlers)


def build_upstreams(rules: RuleSet, seed: int) -> list[UpstreamStandin]:
    """Return a stand-in for every server of the pools, in rule order."""
    return [
        UpstreamStandin(server, pool.version, pool.slots, seed)
        for pool in rules.pools.values()
        for server in pool.servers
    ]


def _serve(handlers: dict[str, Handler]) -> None:
    async def main() -> None:
        stopping = Event()
        on_stop(stopping.set)
        async with AsyncExitStack() as stack:
            for address, handler in handlers.items():
                check_address("--listen", address)
                sockets = bind_address("--listen", address)
                server = SingleHandlerServer(handler, sockets)
                stack.push_async_callback(server.close)
            await stopping.wait()

    run_program(main)


def run() -> None:
    """Run the command that the command line names."""
    app()
