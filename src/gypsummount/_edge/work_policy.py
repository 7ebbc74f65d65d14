"""Selection by outstanding work; refuses early what can't be served."""

from collections import Counter
from typing import final

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.queue_order import QueueEntry
from gypsummount._core.queue_order import QueueKey
from gypsummount._core.queue_order import QueueOrder
from gypsummount._core.service_times import Familiarity
from gypsummount._core.service_times import ServiceTimes
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need
from gypsummount._edge.refusals import Refusals
from gypsummount._edge.selection_policy import build_no_capacity
from gypsummount._edge.selection_policy import PolicyTools
from gypsummount._edge.selection_policy import QueueReport
from gypsummount._edge.selection_policy import SelectionPolicy
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import LoadReport
from gypsummount._edge.work_choice import LATE_UTILISATION
from gypsummount._edge.work_choice import NO_TARGETS
from gypsummount._edge.work_choice import WorkChooser
from gypsummount._edge.work_choice import WorkPick
from gypsummount._edge.work_queue import Waiter
from gypsummount._edge.work_queue import WorkQueue
from gypsummount.errors import NoCapacity

# The longest wait of a late request while the upstreams are busy, and the
# longest time in which a refusal counts as early, relative to the latency
# objective.
EARLY_FRACTION = 0.125
# The longest wait of a late request while the upstreams have room.
LATE_WAIT_FRACTION = 0.6
# A waiting request is refused when its expected answer is later than due by
# this fraction of the objective; a new one when it is late at all.
REFUSAL_MARGIN = 0.1
# Fraction of the measured completion rate above which the wait that it
# suggests is taken for longer than the estimate of the accounts.
RATE_MARGIN = 2.0
# Waiting requests for other upstreams that are offered a free slot.
MAX_EXAMINED = 3
# Waiting requests for an upstream of which one may get its free slot.
MAX_SUITED = 16
NONE_TRIED: frozenset[str] = frozenset()

_log = get_logger("selection")


@final
class WorkPolicy(SelectionPolicy):
    """Chooses by expected completion; used where speeds are reported.

    ``previous`` is the policy that served the service until now; it
    serves the requests that still wait in its queue.
    """

    uses_speed = True

    def __init__(
        self,
        service: str,
        previous: SelectionPolicy,
        tools: PolicyTools,
        now: float,
    ) -> None:
        super().__init__(previous.state, tools)
        self._previous = previous
        self._times = ServiceTimes(previous.state.work.first_s)
        self._chooser = WorkChooser(previous.state, tools, self._times)
        self._order = QueueOrder(now)
        self._queue = WorkQueue(
            self._order, tools.release_pick, tools.queue_limit
        )
        self._refusals = Refusals(service, now)
        self._targets: dict[str, int] = NO_TARGETS
        self._expected_wait_s = 0.0
        _log.info(
            "Upstreams of %s are selected by their work: they report speed.",
            service,
        )

    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float, now: float
    ) -> Pick:
        """Return an upstream with free capacity; wait if all are full.

        :raises NoCapacity: at once if no answer in time is expected, or
            when it becomes clear that none is.
        """
        entry = self._describe(need)
        pick = self._choose_for(need, tried, entry, now)
        while pick is not None and self._may_start(pick, need, now):
            if not self._give_before(entry, pick.backend, now):
                return self._start(pick, need, entry, now)
            pick = self._choose_for(need, tried, entry, now)
        if pick is None:
            raise build_no_capacity(need)
        limit_s = self._compute_limit(pick, need, deadline, now)
        if limit_s <= 0:
            raise self._refuse(need, pick.wait_s, now, is_early=True)
        found = await self._queue.wait(need, tried, entry, pick, now, limit_s)
        if found is not None:
            return found
        return self._start_late(need, tried, entry, now)

    def release(self, backend: Backend, pick: Pick | None, now: float) -> None:
        """Record the end of an exchange and give the slot to the next one."""
        if isinstance(pick, WorkPick) and backend.account is not None:
            backend.account.remove(pick.cost_s, pick.started_at)
        elif pick is None and backend.account is not None:
            backend.account.remove_average()
        self._refusals.rate.record(now)
        self._order.record_completion()
        self._previous.release(backend, pick, now)
        self._serve(backend, now)

    def update(self, now: float) -> None:
        """Look at all waiting requests; refuse those that will be late."""
        self._previous.update(now)
        self._chooser.update(now)
        self._order.update(now)
        ahead: Counter[str] = Counter()
        rate = self._refusals.rate.read(now)
        self._expected_wait_s = 0.0
        for waiter in self._queue.sort(now):
            pick = self._choose_with(waiter.need, waiter.tried, ahead, now)
            if pick is None:
                continue
            if self._may_start(pick, waiter.need, now):
                self._settle(waiter, pick, now)
                continue
            wait_s = max(pick.wait_s, _divide(ahead.total(), rate))
            late_s = now + wait_s + pick.least_s - waiter.need.due_at
            is_late = now > waiter.entry.start_by
            if late_s > waiter.need.objective_s * REFUSAL_MARGIN:
                if not is_late:
                    self._queue.settle(waiter, None)
                    continue
            waiter.target = pick
            ahead[pick.backend.record.name] += 1
            self._expected_wait_s = max(self._expected_wait_s, wait_s)

    def check_capacity(self, need: Need, deadline: float, now: float) -> None:
        """Check that waiting for an upstream is not known to be in vain.

        :raises NoCapacity: if it is.
        """
        is_busy = self._chooser.utilisation > LATE_UTILISATION
        if not is_busy and not len(self._queue):
            return
        entry = self._describe(need)
        pick = self._choose_for(need, NONE_TRIED, entry, now)
        if pick is None or self._may_start(pick, need, now):
            return
        if self._compute_limit(pick, need, deadline, now) <= 0:
            raise self._refuse(need, pick.wait_s, now, is_early=True)

    def record_load(
        self, backend: Backend, report: LoadReport, now: float
    ) -> None:
        """Record the load and the speed that an upstream reported."""
        super().record_load(backend, report, now)
        if report.speed is None:
            return
        if backend.account is None:
            backend.account = self._chooser.open_account(backend)
        backend.account.record_speed(report.speed, now)
        self._serve(backend, now)

    def record_latency(self, pick: Pick, need: Need, latency_s: float) -> None:
        """Learn the service time from a good answer."""
        super().record_latency(pick, need, latency_s)
        account = pick.backend.account
        if account is None:
            return
        account.record_object(need.object_hash, read_monotonic())
        if not isinstance(pick, WorkPick):
            return
        if pick.backend.region != self._tools.region:
            return
        self._chooser.learn(account, pick, need, latency_s)

    def start_granted(self, pick: Pick, need: Need, now: float) -> Pick:
        """Start a request at an upstream that a dispatcher has selected."""
        found = self._chooser.complete(pick, need, now)
        found.backend.load.record_start(now)
        if isinstance(found, WorkPick):
            found.backend.account.add(found.cost_s, found.started_at)
        return found

    def get_queue_report(self) -> QueueReport:
        """Return the figures of the queue."""
        return QueueReport(
            len(self._queue),
            self._expected_wait_s,
            self._refusals.early,
            self._refusals.late,
        )

    def _describe(self, need: Need) -> QueueEntry:
        times = self._times.find(need.route, need.body_class, need.objective_s)
        least_s = times.means_s[Familiarity.KNOWN]
        return QueueEntry(
            need.workspace,
            need.route,
            need.rank,
            need.is_returning,
            need.due_at - least_s,
        )

    def _choose_for(
        self,
        need: Need,
        tried: frozenset[str],
        entry: QueueEntry,
        now: float,
    ) -> WorkPick | None:
        """Choose behind the waiting requests that go first."""
        targets = NO_TARGETS
        if len(self._queue):
            key = self._order.compute_key(entry, now)
            targets = self._queue.count_targets(key)
        pick = self._choose_with(need, tried, targets, now)
        if pick is not None:
            entry.start_by = need.due_at - pick.least_s
        return pick

    def _choose_with(
        self,
        need: Need,
        tried: frozenset[str],
        targets: dict[str, int],
        now: float,
    ) -> WorkPick | None:
        self._targets = targets
        return self._choose(need, tried, now)

    def _choose_in(
        self, region: str, need: Need, tried: frozenset[str], now: float
    ) -> WorkPick | None:
        candidates = self._tools.orders.get(self.state, need, region)
        return self._chooser.choose(
            candidates, need, tried, self._targets, now
        )

    def _may_start(self, pick: WorkPick, need: Need, now: float) -> bool:
        """Tell whether a request may be sent now.

        One that will be late gets only capacity that others can spare.
        """
        if not pick.has_room:
            return False
        if not pick.is_late:
            return True
        if self._chooser.utilisation < LATE_UTILISATION:
            return not len(self._queue)
        return self._order.has_late_turn

    def _start(
        self, pick: WorkPick, need: Need, entry: QueueEntry, now: float
    ) -> WorkPick:
        if pick.is_late and self._chooser.utilisation >= LATE_UTILISATION:
            self._order.use_late_turn()
        pick.backend.load.record_start(now)
        pick.backend.account.add(pick.cost_s, pick.started_at)
        self._order.charge(entry, pick.service_s, now)
        return pick

    def _settle(self, waiter: Waiter, pick: WorkPick, now: float) -> None:
        self._start(pick, waiter.need, waiter.entry, now)
        self._queue.settle(waiter, pick)

    def _start_late(
        self,
        need: Need,
        tried: frozenset[str],
        entry: QueueEntry,
        since: float,
    ) -> Pick:
        """Start a request after its wait if there is room for late ones.

        :raises NoCapacity: if there is none.
        """
        now = read_monotonic()
        pick = self._choose_for(need, tried, entry, now)
        if pick is not None and self._may_start(pick, need, now):
            return self._start(pick, need, entry, now)
        wait_s = pick.wait_s if pick is not None else 0.0
        is_early = now - since <= need.objective_s * EARLY_FRACTION
        raise self._refuse(need, wait_s, now, is_early=is_early)

    def _give_before(
        self, entry: QueueEntry, backend: Backend, now: float
    ) -> bool:
        """Give a slot to a waiting request that goes before a new one."""
        if not len(self._queue):
            return False
        key = self._order.compute_key(entry, now)
        return self._give(backend, now, key)

    def _serve(self, backend: Backend, now: float) -> None:
        """Give an upstream's free slots to waiting requests."""
        while len(self._queue) and self._chooser.has_room(backend, now):
            if not self._give(backend, now, None):
                break

    def _give(
        self, backend: Backend, now: float, before: QueueKey | None
    ) -> bool:
        """Give a slot to the first waiting request that it suits.

        Among requests of the same urgency one whose object the upstream
        knows goes first.  ``before`` limits the choice to those that
        precede a key.
        """
        ahead: Counter[str] = Counter()
        examined = 0
        suited = 0
        found: Waiter | None = None
        found_pick: WorkPick | None = None
        for waiter in self._queue.sort(now):
            if before is not None and waiter.key >= before:
                break
            if found is not None and waiter.key[:-1] != found.key[:-1]:
                break
            target = waiter.target
            if target.backend is backend:
                suited += 1
                if suited > MAX_SUITED:
                    break
                pick = self._chooser.choose(
                    (backend,),
                    waiter.need,
                    waiter.tried,
                    ahead,
                    now,
                    target.position,
                )
            elif examined < MAX_EXAMINED:
                examined += 1
                pick = self._choose_with(waiter.need, waiter.tried, ahead, now)
            else:
                continue
            ahead[target.backend.record.name] += 1
            if pick is None or pick.backend is not backend:
                continue
            if not self._may_start(pick, waiter.need, now):
                continue
            is_known = pick.familiarity == Familiarity.KNOWN
            if found is None or is_known:
                found, found_pick = waiter, pick
            if is_known:
                break
        if found is None:
            return False
        self._settle(found, found_pick, now)
        return True

    def _compute_limit(
        self, pick: WorkPick, need: Need, deadline: float, now: float
    ) -> float:
        """Return how long (s) a request may wait; 0 if in vain."""
        latest_s = deadline - now - pick.least_s
        spare_s = need.due_at - now - pick.least_s
        if spare_s <= 0:
            fraction = EARLY_FRACTION
            if self._chooser.utilisation < LATE_UTILISATION:
                fraction = LATE_WAIT_FRACTION
            return min(latest_s, need.objective_s * fraction)
        ahead = len(self._queue)
        measured_s = _divide(
            ahead, self._refusals.rate.read(now) * RATE_MARGIN
        )
        if max(pick.wait_s, measured_s) > min(spare_s, latest_s):
            return 0.0
        return min(spare_s, latest_s)

    def _refuse(
        self, need: Need, wait_s: float, now: float, *, is_early: bool
    ) -> NoCapacity:
        """Return the error that tells when capacity will be available."""
        return self._refusals.build_error(
            need, wait_s, len(self._queue), now, is_early=is_early
        )


def _divide(count: int, rate: float) -> float:
    """Return the time (s) of a number of completions; 0 if unknown."""
    return count / rate if rate > 0 else 0.0
