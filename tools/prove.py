"""Mutation tests: disables mechanisms one by one; their tests must fail.

Each row of ``removals.yaml`` is a removal: it switches a mechanism off by
replacing a text in a scratch copy of the source.  The named test must then
fail, which proves that it covers the mechanism.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import os
from pathlib import Path
import shutil
import subprocess
import sys
from tempfile import TemporaryDirectory

from yaml import safe_load

ROOT = Path(__file__).resolve().parent.parent
REMOVALS = Path(__file__).resolve().parent / "removals.yaml"
WORKERS = 4
TIMEOUT_S = 240


@dataclass(slots=True, frozen=True)
class Removal:
    """A mechanism, the edit that disables it, and the test that covers it."""

    name: str
    file: str
    old: str
    new: str
    test: str


def read_removals() -> list[Removal]:
    """Return the rows of ``removals.yaml``."""
    text = REMOVALS.read_text(encoding="utf-8")
    return [Removal(**row) for row in safe_load(text)]


def try_removal(removal: Removal) -> str:
    """Return what the test does without the mechanism.

    The result begins with "fails" if the test detects the removal.
    """
    with TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ("src", "tests", "examples", "pyproject.toml"):
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        path = copy / "src" / "gypsummount" / removal.file
        text = path.read_text(encoding="utf-8")
        if removal.old not in text:
            return "no such text"
        changed = text.replace(removal.old, removal.new)
        path.write_text(changed, encoding="utf-8")
        command = [sys.executable, "-m", "pytest", "-x", removal.test]
        environment = dict(os.environ, PYTHONPATH=str(copy / "src"))
        try:
            code = subprocess.run(
                command,
                cwd=copy,
                env=environment,
                capture_output=True,
                timeout=TIMEOUT_S,
                check=False,
            ).returncode
        except subprocess.TimeoutExpired:
            return "fails (time)"
    return "fails" if code == 1 else f"exit {code}"


def main() -> int:
    """Try the chosen removals; return 1 if any is not detected."""
    patterns = sys.argv[1:]
    chosen = [
        removal
        for removal in read_removals()
        if not patterns or any(pattern in removal.name for pattern in patterns)
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(try_removal, chosen))
    undetected = 0
    for removal, result in zip(chosen, results, strict=True):
        undetected += not result.startswith("fails")
        print(f"{result:14} {removal.name} ({removal.test})")
    print(
        f"{len(chosen) - undetected} of {len(chosen)} proofs fail as they must"
    )
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
