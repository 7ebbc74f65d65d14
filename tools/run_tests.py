"""Runs the tests, except the known failures in KNOWN-RED.txt."""

from pathlib import Path
import subprocess
import sys

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
WORKERS = "3"


def list_known_red() -> list[str]:
    """Return the pytest node ids of the known failures."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def main() -> int:
    """Run pytest, print the deselected tests, return pytest's exit code."""
    known_failures = list_known_red()
    parallel_args = ["-n", WORKERS, "--dist", "worksteal"]
    command = [sys.executable, "-m", "pytest", *parallel_args, *sys.argv[1:]]
    for node_id in known_failures:
        command += ["--deselect", node_id]
    code = subprocess.call(command, cwd=ROOT)
    print(f"known red: {len(known_failures)}")
    for node_id in known_failures:
        print(f"known red: {node_id}")
    return code


if __name__ == "__main__":
    sys.exit(main())
