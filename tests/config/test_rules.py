"""Rule files: grammar, faults with position and remedy, differences."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from gypsummount._cli.program import app
from gypsummount._config.changes import compare_rules
from gypsummount._config.checks import check_rules
from gypsummount._config.parser import load_rules
from gypsummount._demo.rules import build_rules_text
from gypsummount.errors import ConfigError

EXAMPLES = Path(__file__).parents[2] / "examples"
BASE = """\
domain a region=r # ana
domain b region=s # ana
link r s gbits=4 # ana
service rondas timeout_ms=500 # ana
route /rondas service=rondas repeatable=yes # ana
pool rondas domain=a version=v1 servers=10.0.0.1:80 slots=9 # ana
pool rondas domain=b version=v2 servers=10.0.0.2:80 slots=9 # ana
workspace w rate=10 burst=5 # ana
cap rondas share=0.5 # ana
rollout move service=rondas old=v1 new=v2 steps=0.5,1 bake_s=5 \
deadline_s=60 # ana
keys stale_s=30 when_stale=refuse # ana
"""

FAULTS = [
    ("domain c region=r", 18, "who asked"),
    ("domain c region=r #", 20, "who asked"),
    ("dominion c # ana", 1, "no rule is called 'dominion'"),
    ("domain c # ana", 1, "lacks region"),
    ("domain region=r # ana", 1, "lacks its name"),
    ("domain C region=r # ana", 8, "is not a valid name"),
    ("domain c d region=r # ana", 10, "is not expected"),
    ("domain c region=r region=s # ana", 19, "is given twice"),
    ("domain c region=r size=3 # ana", 19, "no field 'size'"),
    ("domain a region=r # ana", 1, "is defined in line 1 too"),
    ("workspace v rate=0 burst=5 # ana", 13, "out of bounds"),
    ("workspace v rate=x burst=5 # ana", 13, "is not a number"),
    ("workspace v rate=nan burst=5 # ana", 13, "out of bounds"),
    ("service s timeout_ms=1 # ana", 11, "out of bounds"),
    ("keys stale_s=7 when_stale=refuse # ana", 6, "give 8 to 86400"),
    (
        "route rondas service=rondas repeatable=yes # ana",
        7,
        "is not a valid path",
    ),
    ("route /v1/x service=rondas repeatable=yes # ana", 7, "own"),
    ("route /x service=rondas repeatable=so # ana", 25, "is not a flag"),
    ("route /x service=nix repeatable=yes # ana", 1, "no service 'nix'"),
    (
        "route /x service=rondas repeatable=yes access=open # ana",
        1,
        "workspace=NAME",
    ),
    (
        "route /x service=rondas repeatable=yes workspace=w # ana",
        1,
        "remove workspace=",
    ),
    (
        "pool rondas domain=a version=v3 servers=host:80 slots=1 # ana",
        33,
        "is not a valid address",
    ),
    (
        "pool rondas domain=a version=v3 servers=10.0.0.1:80 slots=1 # ana",
        1,
        "would count twice",
    ),
    (
        "pool rondas domain=z version=v3 servers=10.0.0.9:80 slots=1 # ana",
        1,
        "no domain 'z'",
    ),
    ("link r t gbits=1 # ana", 1, "no domain lies in region 't'"),
    (
        "rollout n service=rondas old=v1 new=v9 steps=0.5,1 bake_s=1 "
        "deadline_s=9 # ana",
        1,
        "no pool of 'rondas' has version 'v9'",
    ),
    (
        "rollout n service=rondas old=v1 new=v2 steps=0.1,1 bake_s=1 "
        "deadline_s=9 # ana",
        1,
        "exceeds the cap",
    ),
    (
        "rollout n service=rondas old=v1 new=v2 steps=0.5,1 bake_s=9 "
        "deadline_s=9 # ana",
        1,
        "raise deadline_s",
    ),
    (
        "rollout n service=rondas old=v1 new=v2 steps=1,0.5 bake_s=1 "
        "deadline_s=9 # ana",
        40,
        "must rise",
    ),
]


class TestCheck:
    def test_good_file_has_no_faults(self):
        assert check_rules(BASE).faults == []

    @pytest.mark.parametrize(
        ("line", "column", "text"), FAULTS, ids=[row[2] for row in FAULTS]
    )
    def test_fault_has_its_place_and_remedy(self, line, column, text):
        faults = check_rules(BASE + line + "\n").faults
        assert len(faults) == 1
        assert faults[0].line == len(BASE.splitlines()) + 1
        assert faults[0].column == column
        assert text in faults[0].text

    def test_all_faults_are_named_at_once(self):
        faults = check_rules("domain # ana\nroute # ana\nx # ana\n").faults
        assert {fault.line for fault in faults} == {1, 2, 3}

    @pytest.mark.parametrize("name", ["topos.rules", "malabar.rules"])
    def test_examples_pass_at_full_size(self, name):
        text = (EXAMPLES / name).read_text(encoding="utf-8")
        parsed = check_rules(text)
        assert parsed.faults == []
        assert len(parsed.rules.workspaces) == 8
        servers = {
            service: sum(
                len(pool.servers)
                for pool in parsed.rules.pools.values()
                if pool.service == service and pool.version == "v1"
            )
            for service in parsed.rules.services
        }
        assert sorted(servers.values()) == [12, 12, 16]

    def test_demo_rules_pass(self):
        ports = iter(range(1, 1000))
        text = build_rules_text(lambda: f"127.0.0.1:{next(ports)}")
        assert check_rules(text).faults == []

    def test_loading_a_faulty_text_is_an_error(self):
        with pytest.raises(ConfigError, match="gypsummount check"):
            load_rules("nonsense\n")


class TestRoutes:
    def test_longest_prefix_wins_at_a_boundary(self):
        more = "route /rondas/hoy service=rondas repeatable=no # ana\n"
        rules = load_rules(BASE + more)
        assert rules.find_route("GET", "/rondas/hoy/1").prefix.endswith("hoy")
        assert rules.find_route("GET", "/rondas/x").prefix == "/rondas"
        assert rules.find_route("GET", "/rondasx") is None
        assert rules.find_route("POST", "/rondas") is None


class TestDifferences:
    def test_each_kind_of_change_is_named(self):
        changed = BASE.replace("rate=10", "rate=20").replace(
            "cap rondas share=0.5 # ana\n", ""
        )
        lines = [
            change.describe()
            for change in compare_rules(
                load_rules(BASE),
                load_rules(changed + "workspace z rate=1 burst=1 # ana\n"),
            )
        ]
        assert lines == ["~ workspaces w", "+ workspaces z", "- caps rondas"]


class TestCommand:
    def test_check_names_all_faults_and_exits_with_2(self, tmp_path):
        file = tmp_path / "rules"
        file.write_text("domain # ana\nx\n", encoding="utf-8")
        result = CliRunner().invoke(app, ["check", str(file)])
        assert result.exit_code == 2
        assert f"{file}:1:1:" in result.output
        assert f"{file}:2:" in result.output

    def test_missing_file_is_one_clear_line(self, tmp_path):
        result = CliRunner().invoke(app, ["check", str(tmp_path / "none")])
        assert result.exit_code == 2
        assert "check the path" in result.output

    def test_agent_out_of_reach_is_one_clear_line(self):
        result = CliRunner().invoke(app, ["status", "--admin", "127.0.0.1:9"])
        assert result.exit_code == 1
        assert "check --admin" in result.output
