"""Switches mechanisms off on scratch copies; their proofs must fail."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import os
from pathlib import Path
import shutil
import subprocess
import sys
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
LIMIT_S = 240


@dataclass(slots=True, frozen=True)
class Removal:
    """A mechanism, how it is switched off, and the proof of it."""

    name: str
    file: str
    old: str
    new: str
    test: str


SHARES = "tests/core/test_shares.py"
STEERING = "tests/entry/test_steering.py"
FRONT = "tests/entry/test_front.py"
WIRES = "tests/entry/test_connections.py"
LINKS = "tests/processes/test_links.py"
MOVES = "tests/processes/test_rollouts.py"
ROLLOUTS = "tests/core/test_rollouts.py"

REMOVALS = (
    Removal(
        "only what is owned is lent",
        "_core/shares.py",
        "owned = (self._owned - self.lent).clip()",
        "owned = self._usable",
        f"{SHARES}::TestLendingFleet",
    ),
    Removal(
        "the lender waits for the loan's end",
        "_core/loans.py",
        "return duration_s * (1 + CLOCK_DRIFT) + LOAN_MARGIN_S",
        "return duration_s * 0.5",
        SHARES,
    ),
    Removal(
        "a dead holder's loans end before its share is granted",
        "_core/loans.py",
        "LOAN_HOLD_S = find_lender_wait(LOAN_S) * (1 + CLOCK_DRIFT)",
        "LOAN_HOLD_S = 0.0",
        "tests/core/test_ledger.py",
    ),
    Removal(
        "a paused holder stops",
        "_core/shares.py",
        "PAUSE_LIMIT_S = 10.0",
        "PAUSE_LIMIT_S = 99.0",
        "tests/core/test_ledger.py",
    ),
    Removal(
        "a ledger read before a pause ended is not followed",
        "_core/pauses.py",
        "return known >= self.count",
        "return True",
        "tests/core/test_ledger.py",
    ),
    Removal(
        "a returned loan is credited once",
        "_core/shares.py",
        "if lent is None or lent.state is LoanState.CLOSED:",
        "if lent is None:",
        f"{SHARES}::TestLending",
    ),
    Removal(
        "a lowered budget waits for the confirmations",
        "_core/ledger.py",
        "account.set_target(part, seq)\n",
        "account.set_target(part, seq)\n"
        "        account.set_granted(part, seq)\n",
        f"{SHARES}::TestChangedFleet",
    ),
    Removal(
        "old confirmations are ignored",
        "_core/ledger.py",
        "if account is None or seq < account.changed_seq:",
        "if account is None:",
        "tests/core/test_ledger.py",
    ),
    Removal(
        "slots bound the requests in flight",
        "_core/slots.py",
        "return max(0, self._owned - self.in_use)",
        "return 99",
        f"{SHARES}::TestSlots",
    ),
    Removal(
        "a known key is not run again",
        "_core/outcomes.py",
        "if record is not None:\n            return _judge",
        "if False:\n            return _judge",
        "tests/core/test_outcomes.py",
    ),
    Removal(
        "a key of a dropped epoch is unknown",
        "_core/outcomes.py",
        "if token.epoch <= current - KEPT_EPOCHS:",
        "if False:",
        "tests/core/test_outcomes.py",
    ),
    Removal(
        "a broken exchange is not retried when it may have run",
        "_entry/upstreams.py",
        "if sent and not request.route.repeatable:",
        "if False:",
        f"{STEERING}::TestSingleRuns",
    ),
    Removal(
        "an early refusal does not deny an earlier run",
        "_entry/front.py",
        "return Outcome.UNKNOWN",
        "return error.outcome",
        f"{STEERING}::TestSingleRuns",
    ),
    Removal(
        "an unclean connection is closed",
        "_entry/connections.py",
        "if not is_clean:\n                self.close()",
        "if False:\n                self.close()",
        WIRES,
    ),
    Removal(
        "unasked bytes end a connection",
        "_entry/connections.py",
        "if self._stream._read_buffer_size:\n            return False",
        "if False:\n            return False",
        WIRES,
    ),
    Removal(
        "an answer must be whole",
        "_entry/connections.py",
        "        await connection.read_response(reader)",
        "        try:\n            await connection.read_response(reader)\n"
        "        except StreamClosedError:\n            reader.finish()",
        WIRES,
    ),
    Removal(
        "an answer must belong to its request",
        "_entry/connections.py",
        "if echoed and echoed != request.request_id:",
        "if False:",
        WIRES,
    ),
    Removal(
        "silence ends the idle connections",
        "_entry/connections.py",
        "since = read_monotonic()\n            self.close()",
        "since = read_monotonic()",
        WIRES,
    ),
    Removal(
        "silence of one upstream makes all old connections suspect",
        "_entry/connections.py",
        "self._suspicion.since = read_monotonic()",
        "pass",
        "tests/entry/test_silence.py",
    ),
    Removal(
        "turns of workspaces are fair",
        "_core/fairness.py",
        "elif lane.deficit < COST:",
        "elif False:",
        "tests/core/test_fairness.py",
    ),
    Removal(
        "a cut domain's keys become stale",
        "_agent/state.py",
        "if age_s <= self.rules.key_policy.stale_s:",
        "if True:",
        "tests/fleet/test_cuts.py::TestCutDomain",
    ),
    Removal(
        "work from elsewhere keeps to the headroom",
        "_entry/selection.py",
        "return not request.is_foreign or self._count_foreign(name) > 0",
        "return True",
        "tests/fleet/test_cuts.py::TestForwarding",
    ),
    Removal(
        "forwarded bytes keep to the link's budget",
        "_entry/steering.py",
        "if source == target or not target:",
        "if True:",
        "tests/fleet/test_link_budgets.py",
    ),
    Removal(
        "an entry ends a move at its deadline",
        "_entry/versions.py",
        "if self._is_vetoed(share) or now >= share.ends_at:",
        "if self._is_vetoed(share):",
        "tests/fleet/test_cuts.py::TestRolloutWithoutStore",
    ),
    Removal(
        "a key is checked again before sending",
        "_entry/upstreams.py",
        "if digest and not self._snapshot.keys.has_digest(digest):",
        "if False:",
        f"{FRONT}::TestWithdrawal",
    ),
    Removal(
        "key sets only rise",
        "_entry/snapshot.py",
        "update.keys.serial > self.keys.serial",
        "update.keys.serial",
        f"{FRONT}::TestWithdrawal",
    ),
    Removal(
        "keys are removed",
        "_core/sanitizing.py",
        "if KEY_PATTERN.search(text):",
        "if False:",
        "tests/core/test_sanitizing.py",
    ),
    Removal(
        "the share of a new version is exact",
        "_core/rollouts.py",
        "if self.given + 1 > self.share * self.total:",
        "if self.given > self.share * self.total:",
        f"{ROLLOUTS}::TestShareOfRequests",
    ),
    Removal(
        "faults are judged",
        "_core/judgement.py",
        "return self.score >= self._limit",
        "return False",
        ROLLOUTS,
    ),
    Removal(
        "evidence is added up over entries",
        "_core/judgement.py",
        "judge = self._judges.setdefault(evidence.route, FaultJudge())",
        "judge = FaultJudge()",
        f"{ROLLOUTS}::TestFleetEvidence",
    ),
    Removal(
        "a step needs answers to judge by",
        "_core/rollouts.py",
        "if passed_s < plan.bake_s or seen < LEAST_ANSWERS:",
        "if passed_s < plan.bake_s:",
        f"{ROLLOUTS}::TestSteps",
    ),
    Removal(
        "choices look at the own load",
        "_core/balancing.py",
        "load = max(float(self.in_flight), self.reported)",
        "load = self.reported",
        "tests/core/test_membership.py::TestPolicies",
    ),
    Removal(
        "an upstream that fails is ejected",
        "_core/health.py",
        "if self._faults >= FAULTS_TO_EJECT:",
        "if False:",
        f"{STEERING}::TestRepeatable",
    ),
    Removal(
        "silent upstreams are hedged",
        "_entry/upstreams.py",
        "if self._retries.saved < 1 or",
        "if True or",
        f"{STEERING}::TestRepeatable",
    ),
    Removal(
        "retries keep to their budget",
        "_core/retries.py",
        "if self._saved < 1:",
        "if False:",
        f"{STEERING}::TestRepeatable",
    ),
    Removal(
        "a leaving upstream gets no new work",
        "_core/health.py",
        'self._machine.fire("drained")',
        "pass",
        f"{STEERING}::TestLeavingUpstream",
    ),
    Removal(
        "requests wait for a loan",
        "_entry/lending.py",
        "pacing = self._pacings.setdefault(_Kind(budget, urgent), Pacing())",
        "return",
        "tests/processes/test_end_to_end.py",
    ),
    Removal(
        "an entry serves until look-ups are over",
        "_entry/process.py",
        "await sleep(settings.drain_s)",
        "pass",
        "tests/processes/test_failures.py::TestPlannedStop",
    ),
    Removal(
        "lost answers of writes are resolved",
        "_store/updates.py",
        "if current is None or current.value != value:",
        "if True:",
        "tests/store",
    ),
    Removal(
        "agents fetch newer documents from peers",
        "_agent/gossip.py",
        "if self._is_behind(digest):",
        "if False:",
        "tests/processes/test_failures.py::TestStoreOutage",
    ),
    Removal(
        "a change of phase is told to all at once",
        "_agent/gossip.py",
        "return PEERS_ON_CHANGE",
        "return PEERS_A_ROUND",
        "tests/agent",
    ),
    Removal(
        "a peer's change of phase wakes the entries",
        "_core/membership.py",
        "return UrgentNews(vetoes, frozenset(phases))",
        "return UrgentNews(vetoes, frozenset())",
        "tests/agent",
    ),
    Removal(
        "an apply names the serial it was made from",
        "_agent/operations.py",
        "if known.serial != request.base_serial:",
        "if False:",
        "tests/processes/test_failures.py::TestConfiguration",
    ),
    Removal(
        "a ledger comes to rest",
        "_core/ledger.py",
        "return budget.total.scale(1 / count).round_down()",
        "return budget.total.scale(1 / count)",
        "tests/core/test_ledger.py::TestRest",
    ),
    Removal(
        "forged headers are dropped",
        "_core/sanitizing.py",
        "if name in SET_BY_ENTRY or name.startswith(OWN_PREFIX):",
        "if False:",
        FRONT,
    ),
    Removal(
        "several keys are refused",
        "_entry/arrivals.py",
        "if len(keys) > 1:",
        "if False:",
        FRONT,
    ),
    Removal(
        "keys in paths are refused",
        "_entry/arrivals.py",
        "        check_path(request.path)",
        "        pass",
        FRONT,
    ),
    Removal(
        "paths that leave their route are refused",
        "_entry/arrivals.py",
        'if ".." in unquote(unquote(request.path)).split("/"):',
        "if False:",
        FRONT,
    ),
    Removal(
        "an instance that is cut off goes on with its shares",
        "_agent/service.py",
        "granted=pack_amount(account.granted),",
        "granted=pack_amount(account.granted.scale("
        "self._state.contact.state != 'lost')),",
        f"{LINKS}::TestAllApart",
    ),
    Removal(
        "a key runs at its home only",
        "_entry/homes.py",
        "if token.incarnation != self._table.incarnation:",
        "if False:",
        f"{LINKS}::TestSingleRuns",
    ),
    Removal(
        "gossip goes round a store link that is frozen",
        "_agent/gossip.py",
        "if self._is_behind(digest):",
        "if False:",
        f"{LINKS}::TestConfiguration",
    ),
    Removal(
        "a running fleet keeps to the share of each step",
        "_entry/versions.py",
        "counter = SplitCounter(plan.steps[step])",
        "counter = SplitCounter(plan.steps[min(step + 1, 2)])",
        f"{MOVES}::TestDrivers",
    ),
    Removal(
        "faults under load are judged",
        "_core/judgement.py",
        "return self.score >= self._limit",
        "return False",
        f"{MOVES}::TestFaultUnderLoad",
    ),
    Removal(
        "a drained upstream gets no new work",
        "_entry/selection.py",
        "if upstream.name.server in self._snapshot.draining:",
        "if False:",
        "tests/processes/test_operations.py",
    ),
    Removal(
        "an upstream that is listed as leaving gets no new work",
        "_agent/state.py",
        "return frozenset(self.drains.servers) | self.listed_leaving",
        "return frozenset(self.drains.servers)",
        "tests/processes/test_operations.py",
    ),
    Removal(
        "no region gets more than its slots when another fails",
        "_core/slots.py",
        "return max(0, self._owned - self.in_use)",
        "return 99",
        "tests/processes/test_regions.py",
    ),
)


def try_removal(removal: Removal) -> str:
    """Return what the proof says without its mechanism."""
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
                timeout=LIMIT_S,
                check=False,
            ).returncode
        except subprocess.TimeoutExpired:
            return "fails (time)"
    return "fails" if code == 1 else f"exit {code}"


def main() -> int:
    """Try every removal; 1 if a proof holds without its mechanism."""
    wanted = sys.argv[1:]
    chosen = [
        removal
        for removal in REMOVALS
        if not wanted or any(word in removal.name for word in wanted)
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(try_removal, chosen))
    missed = 0
    for removal, result in zip(chosen, results, strict=True):
        missed += not result.startswith("fails")
        print(f"{result:14} {removal.name} ({removal.test})")
    print(f"{len(chosen) - missed} of {len(chosen)} proofs fail as they must")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
