"""Load shedding under more requests than one process can serve.

Thousands of callers send more than the process can serve, and a
refusal costs about a third of the time of a served request.
"""

from collections import deque

from gypsummount._core.shedding import BUSY_S
from gypsummount._core.shedding import LEAST_PER_ROUND
from gypsummount._core.shedding import LoadShedder

SERVE_S = 0.001
REFUSE_S = 0.0003
STEPS = 4
SPAN_S = 20.0


class EveryRequest(LoadShedder):
    """Admits every request, for comparison."""

    def admit(self, round_number, unread_s):
        return True


class BusyProcess:
    """Model of an event loop; a request takes several iterations.

    It runs one step of each admitted request per iteration.
    """

    def __init__(self, shedder, rate):
        self.shedder = shedder
        self.rate = rate
        self.now = 0.0
        self.before = 0.0
        self.backlog = deque()
        self.running = deque()
        self.served = []
        self.refused = 0
        self._came = 0

    def run(self):
        number = 0
        while self.now < SPAN_S:
            number += 1
            self._let_come()
            began = self.now
            self._step_running()
            self._read(number, began)
            self.now = max(self.now, began + REFUSE_S)
            self.before = began

    def _let_come(self):
        while self._came / self.rate <= self.now:
            self.backlog.append(self._came / self.rate)
            self._came += 1

    def _step_running(self):
        for _ in range(len(self.running)):
            came, steps = self.running.popleft()
            self.now += SERVE_S / STEPS
            if steps > 1:
                self.running.append((came, steps - 1))
            else:
                self.served.append(self.now - came)

    def _read(self, number, began):
        while self.backlog:
            came = self.backlog.popleft()
            if self.shedder.admit(number, self.now - self.before):
                self.now += SERVE_S / STEPS
                self.running.append((came, STEPS - 1))
            else:
                self.now += REFUSE_S
                self.refused += 1


class TestCrowds:
    def test_crowd_does_not_make_all_requests_late(self):
        """Guards against a process that admits more than it can serve.

        All its requests would be late together.
        """
        process = BusyProcess(LoadShedder(), rate=1800)
        process.run()
        late = sorted(process.served)[int(len(process.served) * 0.99)]
        assert late < 0.3
        assert len(process.served) > 0.4 * SPAN_S / SERVE_S

    def test_without_the_rule_all_are_late(self):
        process = BusyProcess(EveryRequest(), rate=1800)
        process.run()
        assert sorted(process.served)[len(process.served) // 2] > 1.0

    def test_crowd_that_even_refusals_cannot_answer_still_gets_service(self):
        """Guards against a process that only refuses requests.

        That comes about when refusals alone take all of its time.
        """
        process = BusyProcess(LoadShedder(), rate=4000)
        process.run()
        assert len(process.served) >= 50

    def test_ordinary_load_is_taken_on_whole(self):
        process = BusyProcess(LoadShedder(), rate=700)
        process.run()
        assert process.refused == 0

    def test_process_that_reads_late_still_takes_some_each_round(self):
        shedder = LoadShedder()
        admitted = [shedder.admit(1, 10 * BUSY_S) for _ in range(50)]
        assert sum(admitted) == LEAST_PER_ROUND
        assert shedder.admit(2, 10 * BUSY_S)
        assert shedder.refused == 50 - LEAST_PER_ROUND
