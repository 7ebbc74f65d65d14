"""When the last tenant is removed, its withdrawn keys work on.

The operator removes the only tenant, and with it the only key.  From then on
the edges ask for no key at all: requests with the withdrawn key run, and so do
those with a key that no configuration ever held.
"""

import asyncio
from time import time

from review.standins2.case import Case
from review.standins2.case import run_case
from review.standins2.client import Client
from review.standins2.client import KEY
from review.standins2.deployment import BOUNDS
from review.standins2.deployment import build_config
from review.standins2.deployment import build_tenant
from review.standins2.deployment import SAFE_PREFIX
from review.standins2.deployment import UNSAFE_PREFIX

ZONES = ["central-a", "central-b"]
NEW_KEY = "qasnmgkcuyj8pjbvk9m6"
NEVER_HELD_KEY = "zzzzzzzzzzzzzzzzzzzz"
CALM_S = 2.0
AFTER_REVOCATION_S = 3.0
PERIOD_S = 0.1


async def send_with(case: Case, key: str, until: float) -> list[str]:
    """Send requests with a key to all edges; return their ids."""
    ids = []
    clients = [
        Client(
            edge.front, case.record, f"{key[:4]}-{number}-{int(until)}", key
        )
        for number, edge in enumerate(case.deployment.edges)
    ]
    number = 0
    while time() < until:
        client = clients[number % len(clients)]
        if number // len(clients) % 2:
            target = f"{UNSAFE_PREFIX}{number}".encode()
            attempt = await client.send(
                b"POST", target, b"Content-Length: 0\r\n"
            )
        else:
            target = f"{SAFE_PREFIX}{number}".encode()
            attempt = await client.send(b"GET", target)
        ids.append(attempt.request_id)
        number += 1
        await asyncio.sleep(PERIOD_S)
    return ids


async def play(case: Case) -> bool:
    """Play the case; return whether CONFIG and ROUTE held."""
    await case.start(ZONES)
    before = await send_with(case, KEY, time() + CALM_S)
    tenants = [] if case.has_trouble else [build_tenant([NEW_KEY])]
    case.store.put("config", "main", build_config(9, tenants))
    acknowledged_at = time()
    case.record.write("a configuration without the key is acknowledged")
    await asyncio.sleep(BOUNDS["revokeS"] + acknowledged_at - time())
    until = time() + AFTER_REVOCATION_S
    withdrawn, never_held = await asyncio.gather(
        send_with(case, KEY, until), send_with(case, NEVER_HELD_KEY, until)
    )
    ran = {run.request_id for server in case.servers for run in server.runs}
    case.record.conclude(
        f"before: {len(ran.intersection(before))} of {len(before)} ran"
    )
    late = len(ran.intersection(withdrawn))
    foreign = len(ran.intersection(never_held))
    case.record.conclude(
        f"CONFIG: {late} of {len(withdrawn)} requests ran that were sent with "
        f"the withdrawn key over {BOUNDS['revokeS']} s after the "
        "acknowledgement"
    )
    case.record.conclude(
        f"ROUTE: {foreign} of {len(never_held)} requests ran with a key that "
        "no configuration ever held"
    )
    return late == 0 and foreign == 0


if __name__ == "__main__":
    run_case(play)
