"""Read delay of requests that arrive while the event loop is busy."""

from asyncio import Runner
from asyncio import sleep
from time import sleep as block

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.loop_timer import create_timed_loop
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.loop_timer import READ_ITERATIONS

BLOCK_S = 0.1


class TestReadDelay:
    def test_read_delay_is_zero_after_an_idle_poll(self):
        loop_timer = LoopTimer()
        loop_timer.record_poll(1.0, 2.0)
        loop_timer.record_poll(2.001, 3.0)
        assert loop_timer.get_max_read_delay(3.0) == 0.0

    def test_read_delay_covers_a_long_iteration(self):
        loop_timer = LoopTimer()
        loop_timer.record_poll(1.0, 2.0)
        loop_timer.record_poll(2.5, 2.5)
        assert loop_timer.get_max_read_delay(2.5) == 0.5

    def test_read_delay_is_limited_to_the_iterations_of_a_read(self):
        loop_timer = LoopTimer()
        loop_timer.record_poll(1.0, 2.0)
        for number in range(1, 9):
            poll_time = 2.0 + number * 0.5
            loop_timer.record_poll(poll_time, poll_time)
        assert (
            loop_timer.get_max_read_delay(6.0) == (READ_ITERATIONS - 1) * 0.5
        )

    def test_read_delay_is_zero_before_the_first_poll(self):
        assert LoopTimer().get_max_read_delay(7.0) == 0.0


class TestIterationTime:
    def test_average_follows_the_work_and_decays(self):
        loop_timer = LoopTimer()
        loop_timer.record_poll(0.0, 0.0)
        for number in range(1, 20):
            loop_timer.record_poll(number * 0.5, number * 0.5)
        assert loop_timer.span_s == pytest.approx(0.5, abs=0.01)
        for _ in range(20):
            loop_timer.record_poll(9.5, 9.6)
            loop_timer.record_poll(9.6, 9.7)
        assert loop_timer.span_s < 0.01


class TestLoop:
    def test_iterations_of_a_real_loop_are_timed(self):
        loop_timer = LoopTimer()

        async def work():
            await sleep(0)
            block(BLOCK_S)
            await sleep(0)
            return loop_timer.get_max_read_delay(read_monotonic())

        with Runner(
            loop_factory=lambda: create_timed_loop(loop_timer)
        ) as runner:
            assert runner.run(work()) >= BLOCK_S
        assert loop_timer.span_s > 0
