"""Table of outcomes: no idempotency key runs its request twice."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from gypsummount._core.outcomes import EPOCH_S
from gypsummount._core.outcomes import HomeToken
from gypsummount._core.outcomes import KEPT_EPOCHS
from gypsummount._core.outcomes import OutcomeTable
from gypsummount._core.outcomes import parse_home_token
from gypsummount._core.outcomes import RequestKey
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.outcomes import Verdict

KEY = RequestKey("w", "k")
ANSWER = StoredAnswer(200, "OK", (), b"done")
FINGERPRINT = b"f"


def create_table(**limits):
    return OutcomeTable("me", 0.0, **limits)


class TestTable:
    def test_first_request_runs_and_a_retry_waits(self):
        table = create_table()
        token = table.issue_token(0.0)
        assert table.begin(KEY, token, FINGERPRINT, 0.0) is Verdict.RUN
        assert table.begin(KEY, token, FINGERPRINT, 0.1) is Verdict.WAIT

    def test_answer_is_replayed(self):
        table = create_table()
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        table.finish(KEY, token, ANSWER)
        assert table.begin(KEY, token, FINGERPRINT, 1.0) is Verdict.REPLAY
        assert table.find(KEY, token).answer == ANSWER

    def test_lost_outcome_is_never_run_again(self):
        table = create_table()
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        table.lose(KEY, token)
        assert table.begin(KEY, token, FINGERPRINT, 1.0) is Verdict.UNKNOWN

    def test_request_that_was_not_sent_may_run_later(self):
        table = create_table()
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        table.discard(KEY, token)
        assert table.begin(KEY, token, FINGERPRINT, 1.0) is Verdict.RUN

    def test_key_of_a_dropped_epoch_is_unknown(self):
        table = create_table()
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        table.finish(KEY, token, ANSWER)
        late = EPOCH_S * (KEPT_EPOCHS + 1)
        assert table.begin(KEY, token, FINGERPRINT, late) is Verdict.UNKNOWN
        assert table.count == 0

    def test_key_of_a_future_epoch_was_never_issued(self):
        table = create_table()
        token = HomeToken("me", 5)
        assert table.begin(KEY, token, FINGERPRINT, 0.0) is Verdict.NOT_ISSUED

    def test_key_with_another_request_is_refused(self):
        table = create_table()
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        assert table.begin(KEY, token, b"g", 0.0) is Verdict.REUSED

    def test_full_table_refuses_new_keys_and_keeps_records(self):
        table = create_table(max_records=1)
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        other = RequestKey("w", "other")
        assert table.begin(other, token, FINGERPRINT, 0.0) is Verdict.FULL
        assert table.begin(KEY, token, FINGERPRINT, 0.0) is Verdict.WAIT

    def test_bytes_are_bounded(self):
        table = create_table(max_bytes=10)
        token = table.issue_token(0.0)
        table.begin(KEY, token, FINGERPRINT, 0.0)
        large = StoredAnswer(200, "OK", (), b"x" * 11)
        table.finish(KEY, token, large)
        assert table.begin(KEY, token, FINGERPRINT, 0.0) is Verdict.UNKNOWN

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("send", "end", "lose", "wait")),
                strategies.integers(0, 3),
                strategies.integers(0, 2),
            ),
            max_size=60,
        )
    )
    def test_no_key_runs_twice_in_any_order(self, steps):
        table = create_table(max_records=3)
        now = 0.0
        runs: dict[RequestKey, int] = {}
        tokens: dict[RequestKey, HomeToken] = {}
        for step, number, epochs in steps:
            key = RequestKey("w", str(number))
            token = tokens.setdefault(key, table.issue_token(now))
            if step == "wait":
                now += epochs * EPOCH_S
            elif step == "send":
                verdict = table.begin(key, token, FINGERPRINT, now)
                runs[key] = runs.get(key, 0) + (verdict is Verdict.RUN)
            elif step == "end":
                table.finish(key, token, ANSWER)
            else:
                table.lose(key, token)
        assert all(count <= 1 for count in runs.values())


class TestHomeToken:
    @pytest.mark.parametrize(
        ("text", "token"),
        [
            ("nonce@abc.7", HomeToken("abc", 7)),
            ("a@b@abc.7", HomeToken("abc", 7)),
            ("nonce", None),
            ("nonce@abc", None),
            ("nonce@abc.x", None),
            ("nonce@.7", None),
        ],
        ids=["bound", "two-marks", "plain", "no-epoch", "word", "empty"],
    )
    def test_token_is_read_from_the_key(self, text, token):
        assert parse_home_token(text) == token
