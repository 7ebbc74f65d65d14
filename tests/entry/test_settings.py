"""Programs: flags, bad settings, ports in use."""

from pathlib import Path
import re
import subprocess
import sys

import pytest

from gypsummount._common.settings import bind_address
from gypsummount._demo.fleet import Ports

BIN = Path(sys.executable).parent
PLACE = ["--instance", "i", "--domain", "d", "--region", "r"]
SECRETS = ["--pepper", "p" * 16]
ENTRY = ["entry", *PLACE, *SECRETS]
AGENT = ["agent", *PLACE, *SECRETS, "--operator-token", "o" * 16]


def run_program(program, *args):
    return subprocess.run(
        [str(BIN / f"gypsummount-{program}"), *args],
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
            ([*ENTRY, "--listen", "here"], "IP number and a port"),
            ([*ENTRY, "--listen", "127.0.0.1:0"], "no port from 1"),
            ([*ENTRY, "--drain-s", "5"], "give at least 12"),
            ([*ENTRY, "--pepper", "short"], "16 characters"),
            ([*ENTRY, "--log-level", "loud"], "use debug, info"),
            ([*ENTRY, "--instance", "Bad Name"], "use a-z"),
            (
                [*AGENT, "--store", "127.0.0.1:9", "--live-lag-s", "3"],
                "more than 10",
            ),
            ([*AGENT, "--store", "host:80"], "IP number and a port"),
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
        address = Ports().take()
        sockets = bind_address("--listen", address)
        try:
            result = run_program(*ENTRY, "--listen", address)
        finally:
            for one in sockets:
                one.close()
        assert result.returncode == 2
        assert "choose another port" in result.stderr
        assert "Traceback" not in result.stderr


class TestHelp:
    @pytest.mark.parametrize("program", ["entry", "agent"])
    def test_every_flag_names_its_variable(self, program):
        result = run_program(program, "--help")
        assert result.returncode == 0
        plain = re.sub(r"\x1b\[[0-9;]*m", "", result.stdout)
        flags = set(re.findall(r"--([a-z][a-z-]+)", plain))
        flags -= {"help", "install-completion", "show-completion"}
        assert len(flags) >= 8
        for flag in flags:
            name = flag.upper().replace("-", "_")
            assert f"GYPSUMMOUNT_{name}" in plain
