"""Request path: slots, retries, hedging and at-most-once requests."""

from asyncio import create_task
from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from collections import Counter

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.health import FAULTS_TO_EJECT
from gypsummount._entry.connections import ConnectionPool
from tests.entry.standalone import read_code
from tests.entry.standalone import read_outcome

SETTLE_S = 0.05


def create_key_header(lone, nonce="n"):
    return {"Idempotency-Key": f"{nonce}@{lone.token}"}


async def book(lone, key, headers=None, body=b"plot"):
    return await lone.call(
        "/reservas", key, method="POST", headers=headers, body=body
    )


class TestSlots:
    async def test_no_upstream_runs_more_than_its_slots(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("rondas", latency_s=0.03)
        responses = await gather(
            *(lone.call("/rondas", key) for _ in range(40))
        )
        assert all(response.code == 200 for response in responses)
        for upstream in lone.of_service("rondas"):
            assert upstream.most_in_flight <= upstream.slots

    async def test_waiting_beyond_the_deadline_is_refused_as_not_run(
        self, lone
    ):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("rondas", latency_s=0.4)
        headers = {"Gypsummount-Deadline-Ms": "60"}
        blocked = [create_task(lone.call("/rondas", key)) for _ in range(8)]
        while lone.count_runs("rondas") < len(blocked):
            await sleep(0.005)
        runs = lone.count_runs("rondas")
        response = await lone.call("/rondas", key, headers=headers)
        assert read_code(response) == "no_capacity"
        assert read_outcome(response) == "not-run"
        assert lone.count_runs("rondas") == runs
        await gather(*blocked)

    async def test_disconnected_caller_cancels_its_upstream_request(
        self, lone
    ):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("rondas", latency_s=0.4)
        host, _, port = lone.listen.rpartition(":")
        _, writer = await open_connection(host, int(port))
        head = f"GET /rondas HTTP/1.1\r\nHost: x\r\nX-Api-Key: {key}"
        writer.write(f"{head}\r\n\r\n".encode())
        await sleep(0.1)
        runs = lone.count_runs("rondas")
        assert runs >= 1
        writer.close()
        await sleep(0.1)
        assert lone.count_runs("rondas") == runs
        assert sum(upstream.cancelled for upstream in lone.upstreams) == runs


class TestRepeatable:
    async def test_failed_connection_is_retried_elsewhere(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.of_service("rondas")[0].switches.drop_share = 1.0
        responses = [await lone.call("/rondas", key) for _ in range(8)]
        assert [response.code for response in responses] == [200] * 8

    async def test_silent_upstream_is_hedged_before_the_deadline(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        for _ in range(6):
            await lone.call("/rondas", key)
        lone.of_service("rondas")[0].switches.silent_share = 1.0
        started = read_monotonic()
        responses = [await lone.call("/rondas", key) for _ in range(4)]
        assert [response.code for response in responses] == [200] * 4
        assert read_monotonic() - started < 4 * 0.5

    async def test_faulty_upstream_is_ejected(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        bad = lone.of_service("rondas")[0]
        bad.switches.error_share = 1.0
        for _ in range(30):
            await lone.call("/rondas", key)
        assert len(bad.runs) <= 2 * FAULTS_TO_EJECT

    async def test_false_load_reports_attract_no_requests(self, lone):
        """Guards against failing upstreams that attract requests.

        The upstream fails all requests, but reports that it is idle and
        healthy.
        """
        key = lone.grant("w")
        await sleep(SETTLE_S)
        failing = lone.of_service("rondas")[0]
        failing.switches.error_share = 1.0
        failing.switches.reported_load = 0.0
        lone.of_service("rondas")[1].switches.reported_load = 9.0
        for _ in range(30):
            await lone.call("/rondas", key)
        assert len(failing.runs) <= 2 * FAULTS_TO_EJECT

    async def test_retries_stay_within_their_budget(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("rondas", drop_share=1.0)
        for _ in range(60):
            await lone.call("/rondas", key)
        initial_retries = 10
        assert lone.count_runs("rondas") <= 60 * 1.1 + initial_retries


class TestSingleRuns:
    @pytest.mark.parametrize(
        "fault",
        ["drop_share", "truncate_share", "cross_share", "silent_share"],
    )
    async def test_broken_exchange_is_unknown_and_never_run_again(
        self, lone, fault
    ):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("reservas", **{fault: 1.0})
        headers = create_key_header(lone)
        first = await book(lone, key, headers)
        assert first.code == 504
        assert read_outcome(first) == "unknown"
        lone.switch("reservas", **{fault: 0.0})
        second = await book(lone, key, headers)
        assert read_outcome(second) == "unknown"
        assert lone.count_runs("reservas") == 1

    async def test_retry_replays_the_complete_answer(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        headers = create_key_header(lone)
        answers = [await book(lone, key, headers) for _ in range(3)]
        assert len({answer.body for answer in answers}) == 1
        assert lone.count_runs("reservas") == 1

    async def test_retries_at_once_share_one_run(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        headers = create_key_header(lone)
        answers = await gather(*(book(lone, key, headers) for _ in range(6)))
        assert [answer.code for answer in answers] == [200] * 6
        assert lone.count_runs("reservas") == 1

    async def test_retry_after_a_timeout_does_not_run_twice(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("reservas", latency_s=0.2)
        headers = create_key_header(lone)
        short_deadline = headers | {"Gypsummount-Deadline-Ms": "50"}
        timed_out = await book(lone, key, short_deadline)
        assert read_outcome(timed_out) == "unknown"
        await sleep(0.3)
        lone.switch("reservas", latency_s=0.005)
        retried = await book(lone, key, headers)
        assert lone.count_runs("reservas") <= 1
        assert read_outcome(retried) in (None, "unknown")

    async def test_two_workspaces_may_use_the_same_key(self, lone):
        first, second = lone.grant("w"), lone.grant("other")
        await sleep(SETTLE_S)
        headers = create_key_header(lone)
        await book(lone, first, headers)
        await book(lone, second, headers)
        assert lone.count_runs("reservas") == 2

    async def test_same_key_with_another_body_is_refused(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        headers = create_key_header(lone)
        await book(lone, key, headers)
        other = await book(lone, key, headers, b"another plot")
        assert read_code(other) == "idempotency_key_reused"
        assert lone.count_runs("reservas") == 1

    async def test_key_of_a_lost_home_is_unknown(self, lone):
        key = lone.grant("w")
        headers = {"Idempotency-Key": "n@0123456789ab.0"}
        response = await book(lone, key, headers)
        assert read_outcome(response) == "unknown"
        assert lone.count_runs("reservas") == 0

    async def test_unbound_key_without_a_store_does_not_run(self, lone):
        key = lone.grant("w")
        response = await book(lone, key, {"Idempotency-Key": "plain"})
        assert read_code(response) == "claim_unavailable"
        assert read_outcome(response) == "unknown"
        assert lone.count_runs("reservas") == 0

    async def test_refused_retry_does_not_report_not_run(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        headers = create_key_header(lone)
        assert (await book(lone, key, headers)).code == 200
        lone.withdraw_all()
        refused = await book(lone, key, headers)
        assert refused.code == 403
        assert read_outcome(refused) == "unknown"

    async def test_without_a_key_a_lost_answer_is_not_retried(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch("reservas", drop_share=1.0)
        response = await book(lone, key)
        assert read_outcome(response) == "unknown"
        assert lone.count_runs("reservas") == 1

    async def test_not_run_outcomes_match_the_upstream_logs(self, lone):
        """Compares reported outcomes with the upstreams' own logs.

        Guards against requests that are reported as not run although an
        upstream ran them, under a mix of faults.
        """
        key = lone.grant("w")
        await sleep(SETTLE_S)
        lone.switch(
            "reservas",
            drop_share=0.2,
            truncate_share=0.2,
            error_share=0.1,
            latency_s=0.02,
        )
        outcomes = {}

        async def attempt(number):
            headers = create_key_header(lone, f"n{number}")
            for _ in range(3):
                response = await book(lone, key, headers)
                outcomes[headers["Idempotency-Key"]] = read_outcome(response)

        await gather(*(attempt(number) for number in range(40)))
        counts = Counter(
            run.idempotency_key
            for upstream in lone.of_service("reservas")
            for run in upstream.runs
        )
        assert max(counts.values()) == 1
        for text, outcome in outcomes.items():
            if outcome == "not-run":
                assert counts[text] == 0


class TestLastKeyCheck:
    async def test_key_withdrawn_during_the_connect_is_not_used(
        self, lone, monkeypatch
    ):
        """Guards against requests sent with a withdrawn key.

        The key is withdrawn after the first check, while the request
        waits for a connection.
        """
        key = lone.grant("w")
        connect = ConnectionPool._open

        async def connect_and_withdraw(pool, limit_s):
            connection = await connect(pool, limit_s)
            lone.withdraw_all()
            return connection

        monkeypatch.setattr(ConnectionPool, "_open", connect_and_withdraw)
        response = await lone.call("/rondas", key)
        assert (response.code, read_code(response)) == (403, "key_refused")
        assert lone.count_runs("rondas") == 0


class TestLeavingUpstream:
    async def test_drained_upstream_gets_no_new_work(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        leaving = lone.of_service("rondas")[0]
        lone.update(draining=[leaving.server])
        before = len(leaving.runs)
        for _ in range(20):
            assert (await lone.call("/rondas", key)).code == 200
        assert len(leaving.runs) == before

    async def test_upstream_that_says_it_leaves_gets_one_request(self, lone):
        key = lone.grant("w")
        await sleep(SETTLE_S)
        leaving = lone.of_service("rondas")[0]
        leaving.switches.leaving = True
        for _ in range(20):
            assert (await lone.call("/rondas", key)).code == 200
        assert len(leaving.runs) <= 1
