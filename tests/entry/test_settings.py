"""Command-line programs: flags, invalid settings, ports in use."""

from pathlib import Path
import re
import subprocess
import sys

import pytest

from gypsummount._common.sockets import bind_address
from gypsummount._demo.fleet import Ports

BIN = Path(sys.executable).parent
INSTANCE_FLAGS = ["--instance", "i", "--domain", "d", "--region", "r"]
SECRET_FLAGS = ["--pepper", "p" * 16]
ENTRY_COMMAND = ["entry", *INSTANCE_FLAGS, *SECRET_FLAGS]
AGENT_COMMAND = [
    "agent",
    *INSTANCE_FLAGS,
    *SECRET_FLAGS,
    "--operator-token",
    "o" * 16,
]


def run_program(program, *args):
    return subprocess.run(
        [str(BIN / f"gypsummount-{program}".rstrip("-")), *args],
        capture_output=True,
        text=True,
        timeout=30,
        env={"PATH": "/usr/bin", "COLUMNS": "200", "TERM": "dumb"},
        check=False,
    )


class TestBadSettings:
    @pytest.mark.parametrize(
        ("args", "remedy"),
        [
            ([*ENTRY_COMMAND, "--listen", "here"], "IP number and a port"),
            ([*ENTRY_COMMAND, "--listen", "127.0.0.1:0"], "no port from 1"),
            ([*ENTRY_COMMAND, "--drain-s", "5"], "give at least 12"),
            ([*ENTRY_COMMAND, "--pepper", "short"], "16 characters"),
            ([*ENTRY_COMMAND, "--log-level", "loud"], "use debug, info"),
            ([*ENTRY_COMMAND, "--instance", "Bad Name"], "use a-z"),
            (
                [
                    *AGENT_COMMAND,
                    "--store",
                    "127.0.0.1:9",
                    "--live-lag-s",
                    "3",
                ],
                "more than 10",
            ),
            ([*AGENT_COMMAND, "--store", "host:80"], "IP number and a port"),
        ],
        ids=lambda value: str(value)[-24:],
    )
    def test_error_is_one_line_with_the_remedy(self, args, remedy):
        result = run_program(*args)
        assert result.returncode == 2
        assert result.stderr.count("\n") == 1
        assert remedy in result.stderr
        assert "Traceback" not in result.stderr

    def test_port_in_use_is_one_line_with_the_remedy(self):
        address = Ports().reserve()
        sockets = bind_address("--listen", address)
        try:
            result = run_program(*ENTRY_COMMAND, "--listen", address)
        finally:
            for listener in sockets:
                listener.close()
        assert result.returncode == 2
        assert "choose another port" in result.stderr
        assert "Traceback" not in result.stderr


class TestHelp:
    @pytest.mark.parametrize(
        "command",
        [
            "entry",
            "agent",
            "standin store",
            "standin platform",
            "standin upstreams",
            "diff",
            "apply",
            "status",
            "metrics",
            "explain",
            "drain",
            "demo",
            "key grant",
            "key withdraw",
            "key list",
            "rollout start",
            "rollout back",
            "rollout status",
        ],
    )
    def test_every_flag_names_its_variable(self, command):
        words = command.split()
        if words[0] not in ("entry", "agent", "standin"):
            words.insert(0, "")
        result = run_program(*words, "--help")
        assert result.returncode == 0
        help_text = re.sub(r"\x1b\[[0-9;]*m", "", result.stdout)
        lines = [line for line in help_text.splitlines() if "--" in line]
        flags = {
            flag
            for line in lines
            for flag in re.findall(r"--([a-z][a-z-]+)", line)[:1]
        }
        flags -= {"help", "install-completion", "show-completion"}
        assert flags
        for flag in flags:
            name = flag.upper().replace("-", "_")
            variable = rf"GYPSUMMOUNT_(STANDIN_|OPERATOR_)?{name}\b"
            assert re.search(variable, help_text)
