"""Choice of the upstream with the lowest expected cost for a request."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from gypsummount._core.service_times import Familiarity
from gypsummount._core.service_times import ServiceTimes
from gypsummount._core.work_account import compute_known_since
from gypsummount._core.work_account import WorkAccount
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need
from gypsummount._edge.selection_policy import PolicyTools
from gypsummount._edge.service_state import ServiceState
from gypsummount._edge.waiting import Pick

# Cost of an answer after the objective, in objectives.
LATE_COST_OBJECTIVES = 2.0
# Price of the capacity that a request uses, relative to its own delay, when
# the upstreams are busy; it falls to the lower one when they are idle.
BUSY_PRICE = 1.5
IDLE_PRICE = 0.5
# Added to both where all requests at the upstreams are other instances', of
# which this one knows neither the number nor the objects exactly.
OTHERS_PRICE = 3.0
IDLE_UTILISATION = 0.5
BUSY_UTILISATION = 0.9
# Utilisation up to which late requests get free slots without a turn.
LATE_UTILISATION = 0.6
UTILISATION_WEIGHT = 0.4  # smoothing factor of the utilisation
MAX_PREFERRED = 2  # upstreams that an object prefers to all others
# A first choice that knows the object is taken without a look at others
# while its machine is not slower than this.
MAX_GOOD_SPEED = 1.15
# Familiarity of upstreams that have not answered for the object, by position.
BY_POSITION = (
    Familiarity.FIRST_CHOICE,
    Familiarity.SECOND_CHOICE,
    Familiarity.OTHER,
)
# Largest service time that is learned, relative to the expected one.
MAX_RATIO = 10.0
NO_TARGETS: dict[str, int] = {}


@dataclass(slots=True, frozen=True)
class WorkPick(Pick):
    """A selected upstream with the expected times (s) of a request there.

    ``cost_s`` is the likely service time at normal speed, ``speed`` how
    much longer it takes on the machine now, ``wait_s`` the expected wait
    and ``has_room`` whether the request may be sent now.

    ``least_s`` is the service time that decides whether it ``is_late``.
    At the first choice it is that of a known object: a request that is
    late as its object is not known anywhere has to run there all the
    same, so that later ones can be on time.
    """

    familiarity: int
    cost_s: float
    speed: float
    least_s: float
    wait_s: float
    has_room: bool
    is_late: bool
    started_at: float

    @property
    def service_s(self) -> float:
        """Return the expected service time (s) at the current speed."""
        return self.cost_s * self.speed


class WorkChooser:
    """Chooses upstreams by expected completion and use of capacity."""

    def __init__(
        self, state: ServiceState, tools: PolicyTools, times: ServiceTimes
    ) -> None:
        self._state = state
        self._tools = tools
        self._times = times
        self._price = 1 + IDLE_PRICE
        self._others = 0.0
        self.utilisation = 0.0

    def update(self, now: float) -> None:
        """Measure the utilisation of the region's upstreams."""
        usual_s = self._times.usual_s
        slots = 0
        used = 0.0
        own = 0
        for backend in self._state.by_region.get(self._tools.region, ()):
            load = backend.load
            slots += load.record.slots
            estimate = load.estimate_load(now, usual_s)
            used += min(estimate, load.record.slots)
            own += load.in_flight
        if not slots:
            return
        others = max(0.0, 1 - own / used) if used > 0 else 0.0
        self._others += (others - self._others) * UTILISATION_WEIGHT
        gap = used / slots - self.utilisation
        self.utilisation += gap * UTILISATION_WEIGHT
        busy = (self.utilisation - IDLE_UTILISATION) / (
            BUSY_UTILISATION - IDLE_UTILISATION
        )
        busy = min(1.0, max(0.0, busy))
        self._price = (
            1
            + IDLE_PRICE
            + (BUSY_PRICE - IDLE_PRICE) * busy
            + OTHERS_PRICE * self._others
        )

    def choose(
        self,
        candidates: Sequence[Backend],
        need: Need,
        tried: frozenset[str],
        targets: dict[str, int],
        now: float,
        first_position: int = 0,
    ) -> WorkPick | None:
        """Return the upstream with the lowest expected cost, or None.

        ``candidates`` are in the order of the object, in which the first
        of them has the position ``first_position``.  The upstream may
        have no room yet.  ``targets`` are the numbers of requests that
        wait for each upstream and go before this one.
        """
        means_s = self._times.find(
            need.route, need.body_class, need.objective_s
        ).means_s
        usual_s = self._times.usual_s
        known_since = compute_known_since(usual_s, now)
        remaining_s = need.due_at - now
        late_cost_s = need.objective_s * LATE_COST_OBJECTIVES
        has_spare = self.utilisation < LATE_UTILISATION
        best: WorkPick | None = None
        best_total_s = 0.0
        position = first_position - 1
        for backend in candidates:
            load = backend.load
            if not backend.fits(need, tried) or not load.is_available(now):
                continue
            position += 1
            if position >= MAX_PREFERRED and best_total_s < late_cost_s:
                if best is not None and best.wait_s <= 0:
                    break
            account = backend.account
            if account is None:
                account = backend.account = self.open_account(backend)
            if account.knows(need.object_hash, known_since):
                familiarity = Familiarity.KNOWN
            else:
                familiarity = BY_POSITION[min(position, 2)]
            estimate = load.estimate_load(now, usual_s)
            if familiarity == Familiarity.OTHER and best is not None:
                if not load.has_spare(estimate):
                    continue
            cost_s = means_s[familiarity] * account.factor
            speed = account.estimate_speed(now)
            slots = load.record.slots
            count = estimate
            if targets:
                count += targets.get(load.record.name, 0)
            wait_s = 0.0
            if count + 1 > slots:
                wait_s = account.estimate_wait(
                    count, slots, usual_s, speed, now
                )
            service_s = cost_s * speed
            least_s = service_s
            if position == 0:
                # The first choice is to know the object afterwards.
                least_s = means_s[0] * account.factor * speed
            is_late = wait_s + least_s > remaining_s
            total_s = wait_s + service_s * self._price
            if is_late:
                total_s += late_cost_s
                if estimate + 1 > slots and has_spare:
                    # Late requests get free slots alone.
                    total_s += need.objective_s
            if best is not None and total_s >= best_total_s:
                continue
            if not self._tools.cold_limits.permits(
                backend, usual_s, now, need.sender
            ):
                continue
            limit = slots
            if not is_late or has_spare:
                limit = _compute_limit(slots, load.in_flight, estimate)
            best = WorkPick(
                backend,
                position,
                estimate,
                familiarity,
                cost_s,
                speed,
                least_s,
                wait_s,
                estimate + 1 <= limit,
                is_late,
                now,
            )
            best_total_s = total_s
            if familiarity == Familiarity.KNOWN and position == 0:
                if wait_s <= 0 and speed <= MAX_GOOD_SPEED and not is_late:
                    break
        return best

    def has_room(self, backend: Backend, now: float) -> bool:
        """Tell whether an upstream may get a request that is on time."""
        load = backend.load
        estimate = load.estimate_load(now, self._times.usual_s)
        slots = load.record.slots
        return estimate + 1 <= _compute_limit(slots, load.in_flight, estimate)

    def complete(self, pick: Pick, need: Need, now: float) -> Pick:
        """Add the expected times to the pick of a dispatcher."""
        found = self.choose(
            (pick.backend,),
            need,
            frozenset(),
            NO_TARGETS,
            now,
            pick.position,
        )
        return pick if found is None else replace(found, load=pick.load)

    def learn(
        self,
        account: WorkAccount,
        pick: WorkPick,
        need: Need,
        latency_s: float,
    ) -> None:
        """Learn from a latency; one that includes a wait is a bound."""
        time_s = latency_s / account.average_speed(pick.speed)
        has_waited = pick.load + 1 > pick.backend.record.slots
        self._times.observe(
            (need.route, need.body_class),
            pick.familiarity,
            time_s / account.factor,
            is_bound=has_waited,
        )
        if has_waited:
            return
        ratio = min(MAX_RATIO, time_s / pick.cost_s)
        version = pick.backend.record.version
        self._times.observe_version(version, ratio)
        account.observe_ratio(ratio)

    def open_account(self, backend: Backend) -> WorkAccount:
        """Return a new account for an upstream."""
        factor = self._times.get_version_factor(backend.record.version)
        return WorkAccount(factor)


def _compute_limit(slots: int, own: int, estimate: float) -> float:
    """Return the number of requests up to which an upstream gets more.

    What waits at the upstream can't be ordered again.  While all requests
    there are this instance's, one waits there, so that no slot is idle
    between two of them.  The others' requests end unseen, so more wait
    there in proportion to them.
    """
    others = 1 - own / estimate if estimate > own else 0.0
    return slots + 1 + (slots - 1) * others
