"""No key is sent to an upstream, whatever its encoding or position."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from gypsummount._core.keys import create_key
from gypsummount._core.keys import hash_key
from gypsummount._core.keys import KEY_PATTERN
from gypsummount._core.keys import KeyRecord
from gypsummount._core.keys import KeyTable
from gypsummount._core.sanitizing import check_path
from gypsummount._core.sanitizing import clean_answer_headers
from gypsummount._core.sanitizing import clean_headers
from gypsummount._core.sanitizing import clean_query
from gypsummount._core.sanitizing import Header
from gypsummount.errors import RequestInvalid

KEY = "gmk_" + "Ab3-_" * 6 + "xy"
QUOTED = "".join(f"%{ord(character):02x}" for character in KEY)
QUOTED_TWICE = QUOTED.replace("%", "%25")
PEPPER = b"pepper-of-the-tests"


class TestHeaders:
    @pytest.mark.parametrize(
        "header",
        [
            Header("Authorization", f"Bearer {KEY}"),
            Header("AUTHORIZATION", "Basic abc"),
            Header("x-aPi-kEy", KEY),
            Header("X-Other", KEY),
            Header("X-Other", f"before {KEY} after"),
            Header("X-Other", QUOTED),
            Header("Referer", f"http://x/?key={QUOTED_TWICE}"),
            Header("Cookie", f"key={KEY}"),
            Header(f"X-{KEY}", "1"),
            Header("Proxy-Authorization", "Basic abc"),
            Header("X-Workspace", "other"),
            Header("x-deadline-ms", "1"),
            Header("Gypsummount-Outcome", "run"),
        ],
        ids=lambda header: header.name[:14],
    )
    def test_line_is_removed(self, header):
        kept = clean_headers([header, Header("Accept", "*/*"), header])
        assert kept == [Header("Accept", "*/*")]

    def test_cookies_without_a_key_stay(self):
        header = Header("cookie", f"a=1; k={KEY}; b=2")
        assert clean_headers([header]) == [Header("cookie", "a=1; b=2")]

    def test_headers_named_by_connection_are_removed(self):
        headers = [Header("Connection", "close, X-Hop"), Header("x-hop", "1")]
        assert clean_headers(headers) == []

    def test_answers_lose_what_is_for_the_entry(self):
        headers = [
            Header("X-Request-Id", "1"),
            Header("X-Upstream-Load", "1"),
            Header("Transfer-Encoding", "chunked"),
            Header("Gypsummount-Outcome", "run"),
            Header("ETag", "1"),
        ]
        assert clean_answer_headers(headers) == [Header("ETag", "1")]

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        lines=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ("Cookie", "X-A", "Authorization", "x-api-key", "Via")
                ),
                strategies.lists(
                    strategies.sampled_from(
                        (KEY, QUOTED, QUOTED_TWICE, "a=1", "; ", " ", ",", "=")
                    ),
                    max_size=6,
                ).map("".join),
            ),
            max_size=8,
        )
    )
    def test_no_mixture_lets_a_key_pass(self, lines):
        headers = [Header(name, value) for name, value in lines]
        for line in clean_headers(headers):
            assert KEY not in line.value
            assert QUOTED not in line.value
            assert QUOTED_TWICE not in line.value


class TestQueryAndPath:
    @pytest.mark.parametrize(
        "query",
        [
            f"a=1&key={KEY}&b=2",
            f"a=1&{QUOTED}&b=2",
            f"a=1&k={QUOTED_TWICE}&b=2",
        ],
        ids=["plain", "quoted", "quoted-twice"],
    )
    def test_argument_is_removed(self, query):
        assert clean_query(query) == "a=1&b=2"

    @pytest.mark.parametrize("text", [KEY, QUOTED], ids=["plain", "quoted"])
    def test_path_with_a_key_is_refused(self, text):
        with pytest.raises(RequestInvalid, match="Authorization"):
            check_path(f"/rondas/{text}")


class TestKeys:
    def test_granted_key_is_found_by_its_hash_alone(self):
        granted = create_key("w", PEPPER, asked_by="ana", ends_at=0)
        assert KEY_PATTERN.fullmatch(granted.key)
        assert granted.key not in str(granted.record)
        table = KeyTable(PEPPER, 1, [granted.record])
        assert table.find(granted.key, 0).workspace == "w"
        assert table.has_digest(hash_key(granted.key, PEPPER))

    def test_withdrawn_and_ended_keys_are_not_found(self):
        granted = create_key("w", PEPPER, asked_by="ana", ends_at=100)
        table = KeyTable(PEPPER, 1, [granted.record])
        assert table.find(granted.key, 99) is not None
        assert table.find(granted.key, 100) is None
        assert KeyTable(PEPPER, 2, []).find(granted.key, 0) is None

    def test_hash_depends_on_the_pepper(self):
        record = KeyRecord("i", "w", hash_key(KEY, PEPPER), 0, "ana")
        assert KeyTable(b"another", 1, [record]).find(KEY, 0) is None
