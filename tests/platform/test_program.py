"""The program over the platform's wire protocol, with test doubles."""

from asyncio import gather
from asyncio import sleep
from fcntl import F_SETPIPE_SZ
from fcntl import fcntl
from json import loads
from os import pipe

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.probing import PROBE_INTERVAL_S
from tests.platform.conftest import KEY
from tests.platform.doubles import build_config
from tests.platform.doubles import build_server
from tests.platform.doubles import CLOSING_S

# One-way network delay to the most distant callers of any deployment.
FAR_CALLER_DELAY_S = 0.008


class TestRequests:
    async def test_answer_is_complete_and_unchanged(self, instance):
        answer = await instance.call(1, "POST", "/book/x", body=b"12345")
        assert answer.status == 200
        headers = {header.name: header.value for header in answer.headers}
        assert headers["Gypsummount-Server-Stamp"].startswith("stamp-i-")
        assert headers["Gypsummount-Request-Id"] == "id-1"
        assert answer.body.endswith(b":5")

    async def test_upstream_sees_workspace_but_no_key(self, instance):
        await instance.call(1, "GET", "/read/x")
        seen = [
            headers
            for server in instance.servers.values()
            for headers in server.headers
        ]
        assert len(seen) == 1
        assert seen[0]["Gypsummount-Tenant-Name"] == "w"
        assert KEY not in str(list(seen[0].get_all()))
        assert int(seen[0]["Gypsummount-Deadline-Milliseconds"]) <= 2000

    async def test_bad_key_is_401_and_bad_route_is_404(self, instance):
        wrong_key = await instance.call(1, "GET", "/read/x", key="other")
        no_key = await instance.call(1, "GET", "/read/x", key=None)
        no_route = await instance.call(1, "GET", "/other/x")
        assert [wrong_key.status, no_key.status, no_route.status] == [
            401,
            401,
            404,
        ]

    async def test_directory_names_the_instance(self, instance):
        answer = await instance.call(
            1,
            "GET",
            "/-/resolve?name=h.example&region=r1&zone=z1",
            port=instance.ports.directory,
        )
        body = loads(answer.body)
        assert body["addresses"] == [f"127.0.0.2:{instance.ports.front}"]
        assert 0 < body["ttlS"] <= 5


class TestFaultyServers:
    async def test_request_moves_from_a_full_server_to_another(self, instance):
        for first in ("i-1", "i-2"):
            other = "i-2" if first == "i-1" else "i-1"
            instance.servers[first].behaviour = "full"
            instance.servers[other].behaviour = "good"
            answer = await instance.call(1, "POST", "/book/x")
            assert answer.status == 200
            assert answer.body.startswith(other.encode())
            await sleep(0.2)

    async def test_unsafe_request_is_not_retried_after_a_lost_answer(
        self, instance
    ):
        for server in instance.servers.values():
            server.behaviour = "lost"
        answer = await instance.call(1, "POST", "/book/x")
        assert answer.status == 504
        assert (
            sum(len(server.runs) for server in instance.servers.values()) == 1
        )

    async def test_answer_to_another_request_is_not_forwarded(self, instance):
        for server in instance.servers.values():
            server.behaviour = "crossed"
        answer = await instance.call(1, "POST", "/book/x")
        assert answer.status == 504
        assert b"i-" not in answer.body

    async def test_reused_address_gives_503(self, instance):
        # The store still gives this address to the server's earlier name.
        for server in instance.servers.values():
            server.name = "i-new"
        answer = await instance.call(1, "POST", "/book/x")
        assert answer.status == 503

    async def test_slow_server_gives_504_at_the_route_timeout(self, instance):
        for server in instance.servers.values():
            server.delay_s = 3.0
        answer = await instance.call(1, "GET", "/read/x", deadline_ms=4000)
        assert answer.status == 504

    async def test_caller_is_told_before_its_deadline(self, instance):
        """Guards against answers that reach a distant caller too late.

        The edge has to answer early enough for the network delay.
        """
        for server in instance.servers.values():
            server.delay_s = 3.0
        began = read_monotonic()
        answer = await instance.call(1, "GET", "/read/x", deadline_ms=600)
        assert answer.status == 504
        assert read_monotonic() - began < 0.6 - 2 * FAR_CALLER_DELAY_S


class TestServersThatPushBack:
    async def test_leaving_server_gets_no_further_requests(self, instance):
        """Guards against requests to a server that has said it leaves.

        Its entry in the store still says that it is ready.
        """
        for server in instance.servers.values():
            server.is_leaving = True
        for number in range(len(instance.servers)):
            answer = await instance.call(1, "GET", f"/read/{number}")
            assert answer.status == 200
        arrivals = [server.arrivals for server in instance.servers.values()]
        for _ in range(4):
            answer = await instance.call(1, "GET", "/read/x")
            assert answer.status == 503
        assert arrivals == [
            server.arrivals for server in instance.servers.values()
        ]

    async def test_new_start_of_a_leaving_server_is_used(self, instance):
        server = instance.servers["i-1"]
        for known in instance.servers.values():
            known.is_leaving = True
        for number in range(len(instance.servers)):
            await instance.call(1, "GET", f"/read/{number}")
        server.is_leaving = False
        record = instance.store.objects["servers"]["i-1"]["specification"]
        instance.store.put("servers", "i-1", {**record, "born": 1_700_000})
        await sleep(0.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 200

    async def test_server_gets_nothing_for_the_time_it_names(self, instance):
        for server in instance.servers.values():
            server.behaviour = "full"
            server.retry_after = "1.5"
        answer = await instance.call(1, "POST", "/book/x")
        assert answer.status == 503
        first = sum(server.arrivals for server in instance.servers.values())
        assert first == 2
        for server in instance.servers.values():
            server.behaviour = "good"
        for _ in range(3):
            await sleep(0.3)
            assert (await instance.call(1, "POST", "/book/x")).status == 503
        arrivals = sum(server.arrivals for server in instance.servers.values())
        assert arrivals == first
        await sleep(1.0)
        assert (await instance.call(1, "POST", "/book/x")).status == 200


class TestStoreFaults:
    async def test_withdrawn_key_is_refused(self, instance):
        instance.store.put("config", "main", build_config(4, ["new"]))
        await sleep(0.5)
        old = await instance.call(1, "GET", "/read/x")
        new = await instance.call(1, "GET", "/read/x", key="new")
        assert [old.status, new.status] == [401, 200]

    async def test_other_configuration_object_is_ignored(self, instance):
        """Guards against applying objects other than "main"."""
        instance.store.put("config", "draft", build_config(9, ["draft"]))
        await sleep(0.5)
        draft = await instance.call(1, "GET", "/read/x", key="draft")
        main = await instance.call(1, "GET", "/read/x")
        assert [draft.status, main.status] == [401, 200]

    async def test_undecodable_configuration_stops_keyed_requests(
        self, instance
    ):
        """Guards against accepting withdrawn keys.

        The keys may be withdrawn in the configuration that the instance
        cannot decode, so that it cannot know whether a key is valid.
        """
        instance.store.put("config", "main", {"version": 4})
        await sleep(0.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 200
        # Together with the time above this exceeds the freshness limit,
        # revokeS=5 in the settings.
        await sleep(4.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 503
        instance.store.put("config", "main", build_config(5, [KEY]))
        await sleep(1.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 200

    async def test_keyed_requests_stop_when_the_freshness_proof_expires(
        self, instance
    ):
        instance.store.is_down = True
        await sleep(1.0)
        assert (await instance.call(1, "GET", "/read/x")).status == 200
        # Together with the time above this exceeds the freshness limit,
        # revokeS=5 in the settings.
        await sleep(4.5)
        assert (await instance.call(1, "GET", "/read/x")).status == 503

    async def test_start_without_the_store_answers_503(self, deployment):
        deployment.store.is_down = True
        deployment.start(1)
        await deployment.wait_listening(1)
        await sleep(1.0)
        assert await deployment.get_readiness(1) == 503
        answer = await deployment.call(1, "GET", "/read/x")
        assert answer.status == 503
        deployment.store.is_down = False
        await deployment.wait_ready(1)

    async def test_instances_serve_on_after_a_refusal_by_the_store(
        self, instance
    ):
        instance.start(2)
        await instance.wait_ready(2)
        # Instances connect to the store on 127.0.0.1; on loopback, the
        # source address of a connection equals its destination.
        instance.store.refused_hosts.add("127.0.0.1")
        await sleep(1.0)
        instance.store.refused_hosts.clear()
        await sleep(1.0)
        answers = await gather(
            instance.call(1, "GET", "/read/x"),
            instance.call(2, "GET", "/read/x"),
        )
        assert [answer.status for answer in answers] == [200, 200]

    async def test_kind_is_listed_again_after_compaction(self, instance):
        instance.store.closes_watches = True
        instance.store.compact()
        instance.store.closes_watches = False
        instance.store.put("config", "main", build_config(5, ["new"]))
        await sleep(1.5)
        answer = await instance.call(1, "GET", "/read/x", key="new")
        assert answer.status == 200

    async def test_draining_server_gets_no_requests(self, instance):
        record = instance.store.objects["servers"]["i-1"]["specification"]
        instance.store.put("servers", "i-1", {**record, "state": "draining"})
        await sleep(0.5)
        for number in range(6):
            await instance.call(1, "GET", "/read/x", request_id=str(number))
        assert instance.servers["i-1"].runs == []

    async def test_undecodable_server_record_is_ignored(self, instance):
        instance.store.put("servers", "i-9", {"service": "s"})
        instance.store.put("servers", "i-8", build_server("nowhere"))
        await sleep(0.5)
        answer = await instance.call(1, "GET", "/read/x")
        assert answer.status == 200
        assert "Ignored upstream 'i-9'" in instance.read_log(1)


class TestLogs:
    async def test_full_log_pipe_drops_lines_but_no_request(self, deployment):
        """Guards against logging that blocks when nobody reads the pipe.

        A pipe of 4 KB holds about eight lines.
        """
        reading, writing = pipe()
        fcntl(writing, F_SETPIPE_SZ, 4096)
        with open(writing, "wb") as stdout, open(reading, "rb"):
            deployment.start(1, stdout)
            await deployment.wait_ready(1)
            for _ in range(40):
                answer = await deployment.call(1, "GET", "/read/x", key="bad")
                assert answer.status == 401
            answer = await deployment.call(1, "GET", "/read/x")
            assert answer.status == 200
            assert deployment.processes[1].poll() is None


class TestHealthChecks:
    async def break_exchanges(self, instance, count):
        """Break exchanges and return how many health checks follow.

        Servers are checked after the start as well, so this first waits
        until those checks have ended.
        """
        for number in range(8):
            request_id = f"good-{number}"
            await instance.call(1, "GET", "/read/x", request_id=request_id)
        await sleep(PROBE_INTERVAL_S + 0.2)
        before = self.count_health_checks(instance)
        for server in instance.servers.values():
            server.behaviour = "lost"
        for number in range(count):
            request_id = f"lost-{number}"
            await instance.call(1, "POST", "/book/x", request_id=request_id)
        await sleep(0.3)
        return self.count_health_checks(instance) - before

    def count_health_checks(self, instance):
        return sum(
            server.health_checks for server in instance.servers.values()
        )

    async def test_suspected_server_is_checked_at_most_once_a_second(
        self, instance
    ):
        """Guards against too many requests to a server after a restart.

        Broken exchanges are a sign of an unnoticed restart; the health
        check that follows them finds out whether the server is cold.
        """
        checks = await self.break_exchanges(instance, 12)
        assert 1 <= checks <= 2 * len(instance.servers)

    async def test_server_that_closes_connections_is_checked(self, instance):
        """Guards against missing a restart between requests.

        Its only sign is that the server closes idle connections.
        """
        await self.break_exchanges(instance, 0)
        before = self.count_health_checks(instance)
        for server in instance.servers.values():
            server.behaviour = "closing"
        for number in range(4):
            request_id = f"closing-{number}"
            await instance.call(1, "GET", "/read/x", request_id=request_id)
            await sleep(3 * CLOSING_S)
        assert self.count_health_checks(instance) > before

    async def test_cold_state_of_a_server_is_accepted(self, instance):
        for server in instance.servers.values():
            server.cold_ms = 2500
        await self.break_exchanges(instance, 2)
        assert "says that it is cold" in instance.read_log(1)
