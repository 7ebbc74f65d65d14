"""Paths to upstreams that go silent, become slow or are cut.

A relay before each upstream causes the faults.
"""

from asyncio import gather
from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._entry.connections import MAX_FRESH_AGE_S
from tests.entry.standalone import read_outcome

# Below the service's timeout of 0.6 s, after which a request that waits
# on a silent connection ends.
MAX_LATENCY_S = 0.4
WARM_UP_CALLS = 6


async def warm_up(standalone, key, path="/rondas", method="GET"):
    await sleep(0.05)
    body = b"plot" if method == "POST" else None
    for _ in range(WARM_UP_CALLS):
        calls = (
            standalone.call(path, key, method=method, body=body)
            for _ in range(4)
        )
        assert {response.code for response in await gather(*calls)} == {200}


class TestSilentConnections:
    async def test_repeatable_requests_do_not_wait_their_deadline(
        self, standalone
    ):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("rondas")
        await warm_up(standalone, key)
        for relay in relays:
            relay.silence_connections()
        for _ in range(WARM_UP_CALLS):
            started = read_monotonic()
            assert (await standalone.call("/rondas", key)).code == 200
            assert read_monotonic() - started < MAX_LATENCY_S

    async def test_single_run_request_avoids_idle_connections(
        self, standalone
    ):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("reservas")
        await warm_up(standalone, key, "/reservas", "POST")
        await sleep(MAX_FRESH_AGE_S + 0.1)
        for relay in relays:
            relay.silence_connections()
        response = await standalone.call(
            "/reservas", key, method="POST", body=b"plot"
        )
        assert response.code == 200

    async def test_single_run_request_on_silent_connection_is_unknown(
        self, standalone
    ):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("reservas")
        await warm_up(standalone, key, "/reservas", "POST")
        for relay in relays:
            relay.silence_connections()
        response = await standalone.call(
            "/reservas", key, method="POST", body=b"plot"
        )
        assert read_outcome(response) == "unknown"
        again = await standalone.call(
            "/reservas", key, method="POST", body=b"x"
        )
        assert again.code == 200


class TestOneDirection:
    async def test_lost_answers_run_a_single_run_request_once(
        self, standalone
    ):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("reservas")
        await sleep(0.05)
        for relay in relays:
            relay.switches.freeze_from = True
        headers = {"Idempotency-Key": f"n@{standalone.token}"}
        first = await standalone.call(
            "/reservas", key, method="POST", headers=headers, body=b"plot"
        )
        assert read_outcome(first) == "unknown"
        for relay in relays:
            relay.switches.freeze_from = False
        second = await standalone.call(
            "/reservas", key, method="POST", headers=headers, body=b"plot"
        )
        assert read_outcome(second) == "unknown"
        assert standalone.count_runs("reservas") == 1

    async def test_delayed_path_is_served(self, standalone):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("rondas")
        await sleep(0.05)
        for relay in relays:
            relay.switches.delay_s = 0.05
        assert (await standalone.call("/rondas", key)).code == 200

    async def test_cut_upstreams_are_refused_as_not_run(self, standalone):
        key = standalone.grant_key("w")
        relays = await standalone.relay_upstreams("reservas")
        for relay in relays:
            await relay.close()
        response = await standalone.call(
            "/reservas", key, method="POST", body=b"plot"
        )
        assert read_outcome(response) == "not-run"
        assert standalone.count_runs("reservas") == 0
