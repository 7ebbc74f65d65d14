"""Datagrams between instances and dispatchers."""

from dataclasses import replace
from math import inf
from math import nan
from struct import pack_into

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._edge.backends import Need
from gypsummount._edge.dispatch_messages import Answer
from gypsummount._edge.dispatch_messages import AnswerKind
from gypsummount._edge.dispatch_messages import decode_answer
from gypsummount._edge.dispatch_messages import decode_held
from gypsummount._edge.dispatch_messages import decode_release
from gypsummount._edge.dispatch_messages import decode_request
from gypsummount._edge.dispatch_messages import DispatchRequest
from gypsummount._edge.dispatch_messages import encode_answer
from gypsummount._edge.dispatch_messages import encode_held
from gypsummount._edge.dispatch_messages import encode_release
from gypsummount._edge.dispatch_messages import encode_request
from gypsummount._edge.dispatch_messages import Held
from gypsummount._edge.dispatch_messages import MAX_ACKNOWLEDGED
from gypsummount._edge.dispatch_messages import MAX_SPAN_S
from gypsummount._edge.dispatch_messages import MAX_SPEED_FIGURE
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.wire import LoadReport
from gypsummount.errors import RecordInvalid

DECODERS = (decode_request, decode_answer, decode_release, decode_held)
NUMBERS = st.integers(0, 2**64 - 1)
HASHES = st.integers(0, 2**32 - 1)
SPANS = st.floats(0.0, MAX_SPAN_S, width=32)
COUNTS = st.integers(0, 2**16 - 1)
SPEEDS = st.integers(0, MAX_SPEED_FIGURE)
NAMES = st.text(st.characters(min_codepoint=32, exclude_categories=["Cs"]))
NAME_SETS = st.frozensets(NAMES.filter(bool), max_size=3)


def build_request(due_in_s=0.25):
    need = Need(
        "s",
        frozenset({"v1"}),
        frozenset({"sur"}),
        7,
        3,
        due_in_s,
        0.5,
        "read",
        "w1",
        2,
        True,
    )
    return DispatchRequest(5, need, frozenset({"i-1", "i-2"}), 0.75)


class TestRoundTrips:
    @given(
        NUMBERS,
        HASHES,
        st.tuples(NAMES, NAMES, NAMES),
        st.tuples(NAME_SETS, NAME_SETS, NAME_SETS),
        SPANS,
        st.integers(0, 255),
        st.booleans(),
    )
    def test_ask(
        self, number, hashed, names, sets, span_s, body_class, is_returning
    ):
        """Guards against a queue that lacks what its order depends on."""
        service, route, workspace = names
        versions, regions, tried = sets
        need = Need(
            service,
            versions,
            regions,
            hashed,
            -4,
            span_s,
            span_s,
            route,
            workspace,
            body_class,
            is_returning,
        )
        request = DispatchRequest(number, need, tried, span_s)
        assert decode_request(encode_request(request, span_s)) == request

    @given(
        NUMBERS,
        HASHES,
        st.sampled_from(AnswerKind),
        NAMES,
        COUNTS,
        SPANS,
        st.lists(NUMBERS, max_size=MAX_ACKNOWLEDGED),
    )
    def test_answer(
        self, number, incarnation, kind, name, position, span_s, acks
    ):
        answer = Answer(
            number,
            incarnation,
            kind,
            name,
            position,
            span_s,
            span_s,
            tuple(acks),
        )
        assert decode_answer(encode_answer(answer)) == answer

    @given(
        NUMBERS,
        st.sampled_from(ExchangeEnd),
        SPANS,
        st.none() | st.builds(LoadReport, COUNTS, COUNTS, st.none() | SPEEDS),
        st.booleans(),
        st.none() | SPANS,
    )
    def test_release(self, number, end, span_s, load, is_leaving, retry_s):
        result = ExchangeResult(end, span_s, load, is_leaving, retry_s)
        decoded = decode_release(encode_release(number, result))
        assert decoded == (number, result)

    @given(NAMES, st.lists(st.builds(Held, NUMBERS, HASHES, SPANS, NAMES)))
    def test_held(self, service, held):
        held = held[:8]
        assert decode_held(encode_held(service, held)) == (service, held)


class TestInvalid:
    def test_speed_out_of_range_is_refused(self):
        """Guards against an upstream that seems to be stuck."""
        result = ExchangeResult(
            ExchangeEnd.SUCCEEDED, 0.1, LoadReport(1, 0, 100)
        )
        data = bytearray(encode_release(5, result))
        pack_into("!I", data, 20, MAX_SPEED_FIGURE + 1)
        with pytest.raises(RecordInvalid):
            decode_release(bytes(data))

    @given(st.binary(max_size=120))
    def test_any_bytes_give_a_message_or_a_typed_error(self, data):
        for decode in DECODERS:
            try:
                decode(data)
            except RecordInvalid:
                continue

    @given(st.integers(0, 60))
    def test_message_that_is_cut_off_is_refused(self, size):
        """Guards against a request that is read as a shorter one."""
        whole = encode_request(
            replace(build_request(), tried=frozenset()), 0.25
        )
        if size < len(whole):
            with pytest.raises(RecordInvalid):
                decode_request(whole[:size])

    @pytest.mark.parametrize("span_s", [nan, inf, -inf, -1.0, 1e9])
    @pytest.mark.parametrize("position", [18, 26])
    def test_time_that_is_no_credible_number_is_refused(
        self, span_s, position
    ):
        """Guards against waits and leases of huge or negative length."""
        data = bytearray(encode_request(build_request(), 0.25))
        pack_into("!f", data, position, span_s)
        with pytest.raises(RecordInvalid):
            decode_request(bytes(data))

    @pytest.mark.parametrize("due_in_s", [nan, inf, -inf])
    def test_due_time_that_is_no_number_is_refused(self, due_in_s):
        data = bytearray(encode_request(build_request(), 0.25))
        pack_into("!f", data, 22, due_in_s)
        with pytest.raises(RecordInvalid):
            decode_request(bytes(data))

    def test_request_without_an_objective_in_sight_can_be_sent(self):
        request = build_request()
        decoded = decode_request(encode_request(request, inf))
        assert decoded.need.due_at == MAX_SPAN_S
