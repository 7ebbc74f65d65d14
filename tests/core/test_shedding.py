"""Load shedding under more requests than one process can serve.

Thousands of callers send more than the process can serve, and a
refusal costs about a third of the time of a served request.
"""

from collections import deque

from gypsummount._core.shedding import LoadShedder
from gypsummount._core.shedding import MAX_READ_DELAY_S
from gypsummount._core.shedding import MIN_ADMITTED

SERVE_S = 0.001
REFUSE_S = 0.0003
STEPS = 4
SPAN_S = 20.0


class UnlimitedAdmission(LoadShedder):
    """Admits every request, for comparison."""

    def admit(self, iteration, read_delay_s):
        return True


class ModelProcess:
    """Model of an event loop; a request takes several iterations.

    It runs one step of each admitted request per iteration.
    """

    def __init__(self, shedder, rate):
        self.shedder = shedder
        self.rate = rate
        self.now = 0.0
        self.previous_start = 0.0
        self.backlog = deque()
        self.running = deque()
        self.served = []
        self.refused = 0
        self._arrivals = 0

    def run(self):
        iteration = 0
        while self.now < SPAN_S:
            iteration += 1
            self._add_arrivals()
            started_at = self.now
            self._step_running()
            self._read(iteration, started_at)
            self.now = max(self.now, started_at + REFUSE_S)
            self.previous_start = started_at

    def _add_arrivals(self):
        while self._arrivals / self.rate <= self.now:
            self.backlog.append(self._arrivals / self.rate)
            self._arrivals += 1

    def _step_running(self):
        for _ in range(len(self.running)):
            arrived_at, steps = self.running.popleft()
            self.now += SERVE_S / STEPS
            if steps > 1:
                self.running.append((arrived_at, steps - 1))
            else:
                self.served.append(self.now - arrived_at)

    def _read(self, iteration, started_at):
        while self.backlog:
            arrived_at = self.backlog.popleft()
            if self.shedder.admit(iteration, self.now - self.previous_start):
                self.now += SERVE_S / STEPS
                self.running.append((arrived_at, STEPS - 1))
            else:
                self.now += REFUSE_S
                self.refused += 1


class TestOverload:
    def test_overload_does_not_make_all_requests_late(self):
        """Guards against a process that admits more than it can serve.

        All its requests would be late together.
        """
        process = ModelProcess(LoadShedder(), rate=1800)
        process.run()
        late = sorted(process.served)[int(len(process.served) * 0.99)]
        assert late < 0.3
        assert len(process.served) > 0.4 * SPAN_S / SERVE_S

    def test_without_shedding_all_requests_are_late(self):
        process = ModelProcess(UnlimitedAdmission(), rate=1800)
        process.run()
        assert sorted(process.served)[len(process.served) // 2] > 1.0

    def test_some_requests_are_served_when_refusals_alone_overload(self):
        """Guards against a process that only refuses requests.

        That comes about when refusals alone take all of its time.
        """
        process = ModelProcess(LoadShedder(), rate=4000)
        process.run()
        assert len(process.served) >= 50

    def test_normal_load_is_admitted_completely(self):
        process = ModelProcess(LoadShedder(), rate=700)
        process.run()
        assert process.refused == 0

    def test_overloaded_process_still_admits_some_each_iteration(self):
        shedder = LoadShedder()
        admitted = [shedder.admit(1, 10 * MAX_READ_DELAY_S) for _ in range(50)]
        assert sum(admitted) == MIN_ADMITTED
        assert shedder.admit(2, 10 * MAX_READ_DELAY_S)
        assert shedder.refused == 50 - MIN_ADMITTED
