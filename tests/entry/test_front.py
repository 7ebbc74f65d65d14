"""HTTP interface for callers: codes, outcomes, keys and look-ups."""

from asyncio import create_task
from asyncio import sleep
from json import loads

import pytest

from gypsummount._core.amounts import Amount
from gypsummount._core.keys import KEY_PATTERN
from gypsummount._proto import peer_pb2
from gypsummount.errors import REQUEST_ERRORS
from tests.entry.standalone import read_code
from tests.entry.standalone import read_outcome

A_KEY = "gmk_" + "a" * 32


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "headers", "status", "code"),
        [
            ("/rondas", {}, 401, "key_missing"),
            ("/rondas", {"X-Api-Key": "x"}, 403, "key_refused"),
            ("/nowhere", {}, 404, "route_missing"),
            ("/v1/other", {}, 400, "request_invalid"),
            ("/rondas/../open", {}, 400, "request_invalid"),
            ("/open/%2e%2e/rondas", {}, 400, "request_invalid"),
            ("/open/%252e%252e/rondas", {}, 400, "request_invalid"),
            (f"/open/{A_KEY}", {}, 400, "request_invalid"),
            (f"/open/%67{A_KEY[1:]}", {}, 400, "request_invalid"),
            (
                "/open",
                {"Gypsummount-Deadline-Ms": "soon"},
                400,
                "request_invalid",
            ),
            ("/v1/lookup?service=rondas", {}, 401, "key_missing"),
        ],
        ids=lambda value: str(value)[:24],
    )
    async def test_refusal_names_code_and_outcome(
        self, standalone, path, headers, status, code
    ):
        response = await standalone.call(path, headers=headers)
        assert response.code == status
        assert read_code(response) == code
        assert read_outcome(response) == "not-run"
        assert loads(response.body)["message"]
        assert standalone.count_runs("rondas") == 0

    async def test_rate_without_a_token_is_refused_with_a_hint(
        self, standalone
    ):
        key = standalone.grant_key("w")
        standalone.grant_shares(Amount(0.0, 0.0))
        response = await standalone.call("/rondas", key)
        assert response.code == 429
        assert read_outcome(response) == "not-run"
        assert response.headers["Retry-After"] == "1"
        assert standalone.count_runs("rondas") == 0

    async def test_every_code_has_a_status(self):
        assert all(kind.status >= 400 for kind in REQUEST_ERRORS.values())


class TestAnswers:
    async def test_complete_answer_of_an_upstream_is_returned(
        self, standalone
    ):
        key = standalone.grant_key("w")
        await sleep(0.05)
        response = await standalone.call("/rondas/hoy?a=1", key)
        assert response.code == 200
        assert b"GET /rondas/hoy?a=1" in response.body
        assert read_outcome(response) is None

    async def test_open_route_needs_no_key(self, standalone):
        await sleep(0.05)
        assert (await standalone.call("/open")).code == 200
        assert standalone.list_upstreams("rondas")[
            0
        ].runs or standalone.count_runs("rondas")

    async def test_key_runs_its_own_workspace_only(self, standalone):
        key = standalone.grant_key("other")
        await sleep(0.05)
        headers = {"X-Workspace": "w"}
        assert (
            await standalone.call("/rondas", key, headers=headers)
        ).code == 200
        runs = [
            run
            for upstream in standalone.list_upstreams("rondas")
            for run in upstream.runs
        ]
        assert {run.workspace for run in runs} == {"other"}

    async def test_two_different_keys_are_refused(self, standalone):
        first, second = (
            standalone.grant_key("w"),
            standalone.grant_key("other"),
        )
        headers = {"X-Api-Key": second}
        response = await standalone.call("/rondas", first, headers=headers)
        assert read_code(response) == "request_invalid"

    async def test_upstream_sees_no_key_in_any_place(self, standalone):
        key = standalone.grant_key("w")
        await sleep(0.05)
        headers = {
            "x-aPI-key": key,
            "Cookie": f"a=1; session={key}",
            "X-Forwarded-Key": key,
            "Referer": f"http://x/?k={key}",
        }
        response = await standalone.call(
            f"/rondas?k={key}&b=2", key, headers=headers
        )
        assert response.code == 200
        seen = [
            line
            for upstream in standalone.list_upstreams("rondas")
            for line in upstream.headers_seen
        ]
        assert seen
        assert not any(KEY_PATTERN.search(line) for line in seen)
        assert any("/rondas?b=2" in line for line in seen)


class TestWithdrawal:
    async def test_open_connection_is_refused_at_once(self, standalone):
        key = standalone.grant_key("w")
        await sleep(0.05)
        assert (await standalone.call("/rondas", key)).code == 200
        standalone.withdraw_all_keys()
        response = await standalone.call("/rondas", key)
        assert read_code(response) == "key_refused"

    async def test_request_that_waits_is_refused_when_its_turn_comes(
        self, standalone
    ):
        key = standalone.grant_key("w")
        await sleep(0.05)
        standalone.set_switches("rondas", latency_s=0.15)
        tasks = [
            create_task(standalone.call("/rondas", key)) for _ in range(10)
        ]
        await sleep(0.08)
        standalone.withdraw_all_keys()
        responses = [await task for task in tasks]
        refused = [answer for answer in responses if answer.code == 403]
        assert refused
        assert all(read_outcome(answer) == "not-run" for answer in refused)
        assert standalone.count_runs("rondas") == len(responses) - len(refused)

    async def test_older_key_set_restores_no_key(self, standalone):
        key = standalone.grant_key("w")
        records = list(standalone.records)
        standalone.withdraw_all_keys()
        standalone.records = records
        standalone.keys_serial = 0
        standalone.send_keys()
        response = await standalone.call("/rondas", key)
        assert read_code(response) == "key_refused"


class TestLookups:
    async def test_answer_lists_entries_with_their_incarnation(
        self, standalone
    ):
        key = standalone.grant_key("w")
        member = peer_pb2.Member(
            instance="i", domain="a", region="r", phase="serving"
        )
        member.entries.add(
            name="i/x", token="t.0", http_address="1.2.3.4:5", phase="serving"
        )
        standalone.update(members=[member])
        response = await standalone.call("/v1/lookup?service=rondas", key)
        answer = loads(response.body)
        assert answer["entries"] == [
            {"address": "1.2.3.4:5", "incarnation": "t.0", "weight": 100}
        ]
        assert answer["ttl_s"] > 0

    async def test_unknown_service_is_refused(self, standalone):
        key = standalone.grant_key("w")
        response = await standalone.call("/v1/lookup?service=none", key)
        assert read_code(response) == "request_invalid"


class TestStaleKeys:
    async def test_refusing_policy_refuses_keyed_routes_only(self, standalone):
        key = standalone.grant_key("w")
        snapshot = standalone.entry.snapshot
        rules = snapshot.rules
        assert rules.key_policy.when_stale.value == "serve"
        standalone.update(keys_may_be_stale=True)
        await sleep(0.05)
        assert (await standalone.call("/rondas", key)).code == 200
        refusing = standalone.rules + "keys stale_s=8 when_stale=refuse # t\n"
        standalone.update(
            config=peer_pb2.ConfigText(serial=2, text=refusing),
            keys_may_be_stale=True,
        )
        response = await standalone.call("/rondas", key)
        assert read_code(response) == "key_stale"
        assert (await standalone.call("/open")).code != 401
