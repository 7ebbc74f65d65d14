"""Read delay of requests that arrive while the event loop is busy."""

from asyncio import Runner
from asyncio import sleep
from time import sleep as block

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.rounds import create_loop
from gypsummount._common.rounds import READ_ROUNDS
from gypsummount._common.rounds import Rounds

BLOCK_S = 0.1


class TestUnread:
    def test_nothing_waits_for_an_idle_loop(self):
        rounds = Rounds()
        rounds.note_poll(1.0, 2.0)
        rounds.note_poll(2.001, 3.0)
        assert rounds.find_unread(3.0) == 0.0

    def test_what_came_during_a_long_round_has_waited_for_it(self):
        rounds = Rounds()
        rounds.note_poll(1.0, 2.0)
        rounds.note_poll(2.5, 2.5)
        assert rounds.find_unread(2.5) == 0.5

    def test_nothing_waits_longer_than_the_rounds_of_a_read(self):
        rounds = Rounds()
        rounds.note_poll(1.0, 2.0)
        for number in range(1, 9):
            at = 2.0 + number * 0.5
            rounds.note_poll(at, at)
        assert rounds.find_unread(6.0) == (READ_ROUNDS - 1) * 0.5

    def test_nothing_is_known_before_the_first_poll(self):
        assert Rounds().find_unread(7.0) == 0.0


class TestSpan:
    def test_it_follows_the_work_and_fades(self):
        rounds = Rounds()
        rounds.note_poll(0.0, 0.0)
        for number in range(1, 20):
            rounds.note_poll(number * 0.5, number * 0.5)
        assert rounds.span_s == pytest.approx(0.5, abs=0.01)
        for _ in range(20):
            rounds.note_poll(9.5, 9.6)
            rounds.note_poll(9.6, 9.7)
        assert rounds.span_s < 0.01


class TestLoop:
    def test_rounds_of_a_real_loop_are_timed(self):
        rounds = Rounds()

        async def work():
            await sleep(0)
            block(BLOCK_S)
            await sleep(0)
            return rounds.find_unread(read_monotonic())

        with Runner(loop_factory=lambda: create_loop(rounds)) as runner:
            assert runner.run(work()) >= BLOCK_S
        assert rounds.span_s > 0
