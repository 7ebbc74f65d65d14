"""Bodies in memory and their limit."""

import pytest

from gypsummount._common.body_account import AnswerBody
from gypsummount._common.body_account import Body
from gypsummount._common.body_account import BodyAccount


class TestBodyAccount:
    @pytest.fixture
    def account(self):
        return BodyAccount(limit_bytes=100, request_fraction=0.75)

    def receive(self, account, size, aborted):
        """Return the body of an answer of which ``size`` bytes came."""
        body = AnswerBody(account, lambda: aborted.append(size))
        account.add_receiving(body)
        assert account.make_room_for_answer(body, size)
        body.append_bytes(b"x" * size)
        return body

    def test_body_counts_until_it_is_freed(self, account):
        """Guards against bodies that count no more while they wait.

        A stream that writes a body holds only a view of it.
        """
        body = Body(account)
        body.append_bytes(b"x" * 40)
        view = memoryview(body)
        del body
        assert account.held_bytes == 40
        view.release()
        del view
        assert account.held_bytes == 0

    def test_request_reserves_its_announced_size(self, account):
        body = Body(account)
        assert body.try_reserve(70)
        body.append_bytes(b"x" * 10)
        assert account.held_bytes == 70
        assert not Body(account).try_reserve(10)
        del body
        assert account.held_bytes == 0

    def test_requests_leave_room_for_answers(self, account):
        """Guards against answers that are lost because of large uploads."""
        assert not Body(account).try_reserve(76)
        body = Body(account)
        assert body.try_reserve(75)
        assert self.receive(account, 25, [])

    def test_largest_answer_is_dropped_for_others(self, account):
        """Guards against endless answers that displace all others."""
        aborted = []
        endless = self.receive(account, 60, aborted)
        good = self.receive(account, 30, aborted)
        other = self.receive(account, 30, aborted)
        assert aborted == [60]
        assert endless.is_dropped
        assert (len(endless), len(good), len(other)) == (0, 30, 30)
        assert account.held_bytes == 60

    def test_largest_answer_gets_no_more_room(self, account):
        endless = self.receive(account, 60, [])
        self.receive(account, 30, [])
        assert not account.make_room_for_answer(endless, 20)

    def test_complete_answer_is_not_dropped(self, account):
        """Guards against complete answers that end without their bytes."""
        complete = self.receive(account, 60, [])
        account.remove_receiving(complete)
        other = self.receive(account, 30, [])
        assert not account.make_room_for_answer(other, 20)
        assert len(complete) == 60

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against large uploads that shut out ordinary callers."""
        account = BodyAccount(limit_bytes=1_000_000, request_fraction=0.8)
        large = [Body(account) for _ in range(8)]
        assert sum(body.try_reserve(100_000) for body in large) == 7
        assert Body(account).try_reserve(60_000)
