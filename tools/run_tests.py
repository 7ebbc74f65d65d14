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
    known = list_known_red()
    spread = ["-n", WORKERS, "--dist", "worksteal"]
    command = [sys.executable, "-m", "pytest", *spread, *sys.argv[1:]]
    for node in known:
        command += ["--deselect", node]
    code = subprocess.call(command, cwd=ROOT)
    print(f"known red: {len(known)}")
    for node in known:
        print(f"known red: {node}")
    return code


if __name__ == "__main__":
    sys.exit(main())
