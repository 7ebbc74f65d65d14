"""The program with upstreams that report the speed of their machines."""

from asyncio import gather

from tests.platform.conftest import KEY

CALLERS = 24


async def read_metrics(instance):
    answer = await instance.call(
        1, "GET", "/metrics", key=None, port=instance.ports.metrics
    )
    return answer.body.decode()


class TestSpeeds:
    async def test_requests_are_served_and_queues_are_shown(self, instance):
        """Guards against faults in the policy that only a process shows.

        Load: many callers at once, far more than the slots.
        """
        for server in instance.servers.values():
            server.load = "1,0,4,120"
            server.delay_s = 0.05
        assert "queue_waiting" not in await read_metrics(instance)
        first = await instance.call(1, "GET", "/read/x", request_id="first")
        assert first.status == 200
        answers = await gather(
            *(
                instance.call(
                    1, "GET", "/read/x", key=KEY, request_id=f"id-{number}"
                )
                for number in range(CALLERS)
            )
        )
        statuses = {answer.status for answer in answers}
        assert 200 in statuses
        assert statuses <= {200, 503}
        for answer in answers:
            names = {header.name for header in answer.headers}
            assert answer.status == 200 or "Retry-After" in names
        text = await read_metrics(instance)
        for name in ("waiting", "wait_seconds", "refused_early"):
            assert f'gypsummount_queue_{name}{{service="' in text
        assert "selected by their work" in instance.read_log(1)
        assert "Traceback" not in instance.read_log(1)

    async def test_malformed_speed_changes_nothing(self, instance):
        for server in instance.servers.values():
            server.load = "1,0,4,fast"
        answer = await instance.call(1, "GET", "/read/x")
        assert answer.status == 200
        assert "queue_waiting" not in await read_metrics(instance)
        assert "Ignored a server's header" in instance.read_log(1)
