"""Metrics sent to statsd, latency summaries and structured logs."""

from json import loads
import logging
from socket import AF_INET
from socket import SOCK_DGRAM
from socket import socket

from gypsummount._common.logs import configure_logs
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._common.metrics import Series
from gypsummount._common.metrics import SUMMARY_PERIOD_S

KEY = "gmk_" + "Ab3-_" * 6 + "xy"
RECEIVE_TIMEOUT_S = 2.0


class TestStatsd:
    def test_each_count_is_sent_once(self):
        with socket(AF_INET, SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(RECEIVE_TIMEOUT_S)
            port = receiver.getsockname()[1]
            metrics = Metrics(f"127.0.0.1:{port}", "p")
            metrics.count("steering.answered", 3)
            metrics.flush()
            assert receiver.recv(1000) == b"p.steering.answered:3|c"
            metrics.count("steering.answered")
            metrics.flush()
            assert receiver.recv(1000) == b"p.steering.answered:1|c"
            metrics.close()


class TestLatencies:
    def test_summary_is_by_workspace_and_route(self):
        metrics = Metrics("", "p")
        for latency_ms in range(100):
            metrics.record(Series("w", "/r"), latency_ms / 1000)
        metrics.record(Series("v", "/r"), 1.0)
        rows = metrics.summarise(2 * SUMMARY_PERIOD_S)
        assert [(row.workspace, row.count) for row in rows] == [
            ("w", 100),
            ("v", 1),
        ]
        assert 45 <= rows[0].p50_ms <= 55
        assert 95 <= rows[0].p99_ms <= 101


class TestLogs:
    def test_line_is_json_with_the_prefix_and_without_keys(self, capsys):
        root = logging.getLogger()
        saved = (root.handlers[:], root.level)
        try:
            configure_logs("info", "entry")
            get_logger("steering").info("Refused %s.", KEY)
        finally:
            root.handlers[:], root.level = saved
        line = loads(capsys.readouterr().err)
        assert line["message"] == "steering: Refused [key]."
        assert line["program"] == "entry"
        assert line["level"] == "INFO"
