"""The operator's command line, ``gypsummount``."""

from asyncio import run as run_loop
from asyncio import sleep
from collections.abc import Awaitable
from collections.abc import Callable
from json import dumps
from pathlib import Path
from secrets import token_hex
from time import monotonic
from typing import Annotated
from typing import TypeVar

from typer import Argument
from typer import echo
from typer import Exit
from typer import Option
from typer import Typer

from gypsummount._cli.client import AdminClient
from gypsummount._cli.client import Json
from gypsummount._cli.tables import format_table
from gypsummount._common.settings import check_addresses
from gypsummount._common.settings import USAGE_EXIT
from gypsummount._config.changes import compare_rules
from gypsummount._config.checks import check_rules
from gypsummount._config.parser import load_rules
from gypsummount.errors import GypsummountError
from gypsummount.errors import SettingError

T = TypeVar("T")

FAILED_EXIT = 1
POLL_INTERVAL_S = 0.2
WRITER_ID_BYTES = 8

app = Typer(
    help="Operate gypsummount, a global traffic steering system.",
    no_args_is_help=True,
)
key_app = Typer(help="Grant, list and withdraw keys.", no_args_is_help=True)
rollout_app = Typer(
    help="Start, watch and roll back rollouts.", no_args_is_help=True
)
app.add_typer(key_app, name="key")
app.add_typer(rollout_app, name="rollout")

RuleFile = Annotated[Path, Argument(help="Rule file, one rule per line.")]
Admin = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_ADMIN",
        help="Administration addresses (IP:port) of agents, "
        "comma-separated; the first that answers is used.",
    ),
]
Token = Annotated[
    str,
    Option(
        envvar="GYPSUMMOUNT_OPERATOR_TOKEN",
        help="The operator's token; best given by the environment.",
    ),
]
DEFAULT_ADMIN = "127.0.0.1:8083"


@app.command()
def check(file: RuleFile) -> None:
    """Check a rule file; list all faults and exit with 2 if there are any."""
    _read_valid_rules(file)
    echo(f"{file}: no faults")


@app.command()
def diff(
    file: RuleFile, admin: Admin = DEFAULT_ADMIN, token: Token = ""
) -> None:
    """Show what applying a rule file would change."""
    text = _read_valid_rules(file)
    current = _call(admin, token, lambda client: client.read_config())
    _print_changes(str(current["text"]), text)


@app.command()
def apply(
    file: RuleFile,
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
    wait: Annotated[
        bool,
        Option(
            envvar="GYPSUMMOUNT_WAIT",
            help="Wait until all instances in 'status' have confirmed.",
        ),
    ] = False,
    wait_s: Annotated[
        float,
        Option(envvar="GYPSUMMOUNT_WAIT_S", help="Longest wait in seconds."),
    ] = 10.0,
) -> None:
    """Apply a rule file; fail if the configuration changes meanwhile."""
    text = _read_valid_rules(file)
    writer = token_hex(WRITER_ID_BYTES)

    async def read_and_apply(client: AdminClient) -> tuple[Json, Json]:
        current = await client.read_config()
        serial = int(str(current["serial"]))
        return current, await client.apply(text, serial, writer)

    before, after = _call(admin, token, read_and_apply)
    _print_changes(str(before["text"]), text)
    echo(f"configuration {after['serial']} is accepted")
    if wait:
        serial = int(str(after["serial"]))
        lagging = _call(
            admin,
            token,
            lambda client: _wait_until_applied(client, serial, wait_s),
        )
        _report_lagging(serial, lagging)


@app.command()
def status(
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
    as_json: Annotated[
        bool,
        Option(
            "--json",
            envvar="GYPSUMMOUNT_JSON",
            help="Print the complete status as JSON.",
        ),
    ] = False,
) -> None:
    """Show instances, store contact, rollouts and drains."""
    state = _call(admin, token, lambda client: client.read_status())
    if as_json:
        echo(dumps(state, indent=2))
        return
    store = state["store"]
    echo(
        f"configuration {state['config_serial']}, "
        f"keys {state['keys_serial']}, store {store['contact']} "
        f"({min(store['fleet_age_s'], 999):.1f} s ago in the fleet)"
    )
    if store["keys_may_be_stale"]:
        echo("key withdrawals may be missed: cut off from the store")
    rows = [
        (
            member["instance"],
            member["domain"],
            member["phase"] if member["alive"] else "silent",
            member["config_serial"],
            member["keys_serial"],
            len(member["entries"]),
        )
        for member in state["members"]
    ]
    header = ("instance", "domain", "phase", "config", "keys", "entries")
    echo(format_table(header, sorted(rows)))
    _print_rollouts(state)
    for server in state["leaving_upstreams"]:
        echo(f"upstream {server} is leaving")


@app.command()
def metrics(admin: Admin = DEFAULT_ADMIN, token: Token = "") -> None:
    """Print counters and latencies of an instance as JSON."""
    result = _call(admin, token, lambda client: client.read_metrics())
    echo(dumps(result, indent=2))


@app.command()
def explain(
    path: Annotated[str, Argument(help="Path of the request.")],
    method: Annotated[
        str, Option(envvar="GYPSUMMOUNT_METHOD", help="HTTP method.")
    ] = "GET",
    workspace: Annotated[
        str,
        Option(envvar="GYPSUMMOUNT_WORKSPACE", help="Workspace of the key."),
    ] = "",
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Explain where a request would go and why."""
    result = _call(
        admin, token, lambda client: client.explain(method, path, workspace)
    )
    echo(dumps(result, indent=2))


@app.command()
def drain(
    server: Annotated[str, Argument(help="Upstream server, IP:port.")],
    restore: Annotated[
        bool,
        Option(
            envvar="GYPSUMMOUNT_RESTORE",
            help="Let the server take requests again.",
        ),
    ] = False,
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Send no new requests to an upstream, or restore it."""
    result = _call(
        admin, token, lambda client: client.drain(server, restore=restore)
    )
    echo(f"{result['server']} is {result['state']}")


@key_app.command("grant")
def grant_key(
    workspace: Annotated[str, Argument(help="Workspace of the key.")],
    asked_by: Annotated[
        str,
        Option(envvar="GYPSUMMOUNT_ASKED_BY", help="Who asked for the key."),
    ],
    ends_in_s: Annotated[
        float,
        Option(
            envvar="GYPSUMMOUNT_ENDS_IN_S",
            help="Seconds until the key ends; 0 for no end.",
        ),
    ] = 0.0,
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Grant a key and print it; it cannot be shown again."""
    result = _call(
        admin,
        token,
        lambda client: client.grant_key(workspace, asked_by, ends_in_s),
    )
    echo(f"key id {result['key_id']}; the key is shown only once:")
    echo(result["key"])


@key_app.command("withdraw")
def withdraw_key(
    key_id: Annotated[str, Argument(help="Id of the key.")],
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Withdraw a key; instances refuse it once they are notified."""
    result = _call(admin, token, lambda client: client.withdraw_key(key_id))
    echo(f"key {key_id} is withdrawn (keys {result['keys_serial']})")


@key_app.command("list")
def list_keys(admin: Admin = DEFAULT_ADMIN, token: Token = "") -> None:
    """List the granted keys by id."""
    result = _call(admin, token, lambda client: client.list_keys())
    rows = [
        (row["key_id"], row["workspace"], row["ends_at"], row["asked_by"])
        for row in result["keys"]
    ]
    echo(format_table(("key id", "workspace", "ends at", "asked by"), rows))


@rollout_app.command("start")
def start_rollout(
    name: Annotated[str, Argument(help="Name of the rollout rule.")],
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Start a rollout that the rule file defines."""
    _change_rollout(name, "start", admin, token)


@rollout_app.command("back")
def recall_rollout(
    name: Annotated[str, Argument(help="Name of the rollout rule.")],
    admin: Admin = DEFAULT_ADMIN,
    token: Token = "",
) -> None:
    """Roll back a rollout to the old version."""
    _change_rollout(name, "back", admin, token)


@rollout_app.command("status")
def show_rollouts(admin: Admin = DEFAULT_ADMIN, token: Token = "") -> None:
    """Show the phase and progress of all rollouts."""
    state = _call(admin, token, lambda client: client.read_status())
    _print_rollouts(state)


@app.command()
def demo(
    seed: Annotated[
        int, Option(envvar="GYPSUMMOUNT_SEED", help="Random seed of the load.")
    ] = 1,
    load_s: Annotated[
        float, Option(envvar="GYPSUMMOUNT_LOAD_S", help="Seconds of load.")
    ] = 24.0,
) -> None:
    """Run the complete system in this process under a short load."""
    from gypsummount._demo.program import run_demo

    raise Exit(run_loop(run_demo(seed, load_s)))


def run() -> None:
    """Run the command line with the arguments of the process."""
    app()


def _call(
    admin: str, token: str, action: Callable[[AdminClient], Awaitable[T]]
) -> T:
    async def main() -> T:
        addresses = check_addresses("--admin", admin)
        client = AdminClient(addresses, token)
        try:
            return await action(client)
        finally:
            client.close()

    try:
        return run_loop(main())
    except GypsummountError as error:
        echo(f"error: {error}", err=True)
        code = USAGE_EXIT if isinstance(error, SettingError) else FAILED_EXIT
        raise Exit(code) from None


def _read_valid_rules(file: Path) -> str:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        echo(f"error: cannot read {file} ({error}); check the path", err=True)
        raise Exit(USAGE_EXIT) from None
    faults = check_rules(text).faults
    for fault in faults:
        echo(f"{file}:{fault.line}:{fault.column}: {fault.text}", err=True)
    if faults:
        echo(f"{len(faults)} faults; nothing was applied", err=True)
        raise Exit(USAGE_EXIT)
    return text


def _print_changes(old: str, new: str) -> None:
    changes = compare_rules(load_rules(old), load_rules(new))
    for change in changes:
        echo(change.describe())
    if not changes:
        echo("no rule changes")


async def _wait_until_applied(
    client: AdminClient, serial: int, wait_s: float
) -> list[str]:
    deadline = monotonic() + wait_s
    while True:
        state = await client.read_status()
        lagging = [
            member["instance"]
            for member in state["members"]
            if member["config_serial"] < serial
        ]
        if not lagging or monotonic() >= deadline:
            return lagging
        await sleep(POLL_INTERVAL_S)


def _report_lagging(serial: int, lagging: list[str]) -> None:
    if not lagging:
        echo(f"configuration {serial} is in force everywhere")
        return
    echo(
        f"not confirmed by {', '.join(lagging)}; look at 'gypsummount status'",
        err=True,
    )
    raise Exit(FAILED_EXIT)


def _print_rollouts(state: Json) -> None:
    rows = [
        (
            row["name"],
            row["phase"],
            row.get("share", 0.0),
            row.get("remaining_s") or "",
            row.get("reason", ""),
        )
        for row in state["rollouts"]
    ]
    if rows:
        header = ("rollout", "phase", "share", "seconds left", "reason")
        echo(format_table(header, rows))


def _change_rollout(name: str, verb: str, admin: str, token: str) -> None:
    result = _call(
        admin, token, lambda client: client.change_rollout(name, verb)
    )
    echo(f"rollout {name} is {result['phase']}, attempt {result['attempt']}")
