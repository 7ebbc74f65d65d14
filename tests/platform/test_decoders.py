"""The edge's decoders return a value or a typed error for any input."""

from json import dumps

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsummount._core.sanitizing import Header
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import ECHO_FORMAT
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Record
from gypsummount._edge.wire import LoadReport
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.errors import RecordInvalid
from gypsummount.platform.documents import decode_record
from gypsummount.platform.wire import PlatformWire
from tests.platform.doubles import build_config
from tests.platform.doubles import build_server

EXAMPLES = 300
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
ORDER = {"service": "s", "targetVersion": "v2", "durationS": 16.0}
COMPLETE_BODIES = {
    Kind.CATALOG: build_config(3, ["key"]),
    Kind.UPSTREAM: build_server("10.0.0.1:80"),
    Kind.ROLLOUT: ORDER,
    Kind.EVACUATION: {},
    Kind.INSTANCE: {"host": "10.0.0.1"},
}


def list_paths(value, path=()):
    """Return the path of every value in a document, including the root."""
    paths = [path]
    pairs = []
    if isinstance(value, dict):
        pairs = value.items()
    elif isinstance(value, list):
        pairs = enumerate(value)
    for name, inner in pairs:
        paths.extend(list_paths(inner, (*path, name)))
    return paths


def replace_value(value, path, replacement):
    if not path:
        return replacement
    copied = value.copy()
    copied[path[0]] = replace_value(value[path[0]], path[1:], replacement)
    return copied


@st.composite
def draw_altered(draw, kind):
    """A complete document with one value replaced by an arbitrary one."""
    complete = {
        "metadata": {"name": "n", "revision": 7, "created": 5},
        "specification": COMPLETE_BODIES[kind],
        "status": {"state": "running", "targetVersion": "v2"},
    }
    path = draw(st.sampled_from(list_paths(complete)))
    return replace_value(complete, path, draw(VALUES))


def decode(kind, payload):
    try:
        return decode_record(Record(kind, "n", 7, payload))
    except RecordInvalid as error:
        assert "look" in str(error)
        return None


class TestDocuments:
    @pytest.mark.parametrize("kind", list(Kind))
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(data=st.data())
    def test_altered_value_gives_a_value_or_a_typed_error(self, kind, data):
        decode(kind, dumps(data.draw(draw_altered(kind))).encode())

    @pytest.mark.parametrize("kind", list(Kind))
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(payload=st.binary(max_size=60))
    def test_any_bytes_give_a_value_or_a_typed_error(self, kind, payload):
        decode(kind, payload)


class TestInfiniteNumbersAndDeepNesting:
    """Guards against decoder errors that stop the watch of a kind.

    Infinite numbers raise OverflowError and deep nesting raises
    RecursionError.
    """

    @pytest.mark.parametrize("path", [("version",), ("limits", "bodyBytes")])
    def test_infinite_number_in_a_configuration(self, path):
        body = replace_value(COMPLETE_BODIES[Kind.CATALOG], path, float("inf"))
        payload = dumps({"metadata": {}, "specification": body}).encode()
        assert decode(Kind.CATALOG, payload) is None

    def test_infinite_time_of_an_order(self):
        metadata = {"created": float("inf")}
        payload = dumps({"metadata": metadata, "specification": ORDER})
        assert decode(Kind.ROLLOUT, payload.encode()) is None

    def test_infinite_cold_time_of_an_upstream(self):
        body = {
            **COMPLETE_BODIES[Kind.UPSTREAM],
            "coldRemainingS": float("inf"),
        }
        payload = dumps({"specification": body}).encode()
        assert decode(Kind.UPSTREAM, payload) is None

    @pytest.mark.parametrize("kind", list(Kind))
    def test_deeply_nested_document(self, kind):
        assert decode(kind, b"[" * 100_000) is None


# Path of the first rule in a configuration.
RULE = ("listeners", 0, "rules", 0)


def build_split(*weights):
    splits = [{"service": "s", "weight": weight} for weight in weights]
    return {"trafficSplit": splits, "timeoutS": 1.0, "attempts": 2}


class TestInvalidConfigurations:
    """Guards against configurations that are accepted but break a route."""

    @pytest.mark.parametrize(
        ("path", "value", "reason"),
        [
            ((*RULE, "action"), build_split(0, 0), "weight"),
            ((*RULE, "action"), build_split(1, float("nan")), "weight"),
            ((*RULE, "action"), build_split(1, float("inf")), "weight"),
            ((*RULE, "action"), build_split(1, -1), "weight"),
            ((*RULE, "action", "service"), "gone", "no service"),
            ((*RULE, "action", "timeoutS"), float("nan"), "time-out"),
            ((*RULE, "action", "timeoutS"), -1, "time-out"),
            ((*RULE, "action", "attempts"), -1, "attempts"),
            ((*RULE, "targetLatencyS"), float("inf"), "objective"),
            ((*RULE, "match", "pathPrefix"), "/book/", "prefix"),
        ],
    )
    def test_it_is_rejected_with_the_reason(self, path, value, reason):
        body = replace_value(COMPLETE_BODIES[Kind.CATALOG], path, value)
        payload = dumps({"metadata": {}, "specification": body}).encode()
        with pytest.raises(RecordInvalid, match=reason):
            decode_record(Record(Kind.CATALOG, "n", 7, payload))

    def test_key_of_two_workspaces_is_rejected(self):
        first = COMPLETE_BODIES[Kind.CATALOG]["tenants"][0]
        both = [first, {**first, "name": "other"}]
        body = {**COMPLETE_BODIES[Kind.CATALOG], "tenants": both}
        payload = dumps({"metadata": {}, "specification": body}).encode()
        with pytest.raises(RecordInvalid, match="same key"):
            decode_record(Record(Kind.CATALOG, "n", 7, payload))

    def test_destination_with_zero_weight_is_dropped(self):
        path = (*RULE, "action")
        body = replace_value(
            COMPLETE_BODIES[Kind.CATALOG], path, build_split(0, 1)
        )
        payload = dumps({"metadata": {}, "specification": body}).encode()
        catalog = decode_record(Record(Kind.CATALOG, "n", 7, payload))
        route = catalog.find_route("h.example", "/read/x")
        assert [destination.weight for destination in route.destinations] == [
            1.0
        ]


class TestPeers:
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(
        body=st.binary(max_size=80) | VALUES.map(lambda v: dumps(v).encode())
    )
    def test_copies(self, body):
        try:
            decode_copy(body)
        except RecordInvalid:
            return

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(body=st.binary(max_size=120))
    def test_digests(self, body):
        with pytest.raises(RecordInvalid):
            decode_digest(bytes(ECHO_FORMAT.size) + body)


class TestAnswers:
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(text=st.text(max_size=20))
    def test_load_of_any_text_is_read_or_ignored(self, text):
        headers = [Header("Gypsummount-Server-Load", text)]
        verdict = PlatformWire().read_verdict(
            UpstreamAnswer(200, "OK", headers, b"")
        )
        assert verdict.ran
        if verdict.load is not None:
            assert verdict.load.running >= 0


class TestSpeed:
    @pytest.fixture
    def wire(self):
        return PlatformWire()

    def read(self, wire, text):
        headers = [Header("Gypsummount-Server-Load", text)]
        answer = UpstreamAnswer(200, "OK", headers, b"")
        return wire.read_verdict(answer).load

    def test_fourth_figure_is_the_speed(self, wire):
        assert self.read(wire, "3,0,8,135") == LoadReport(3, 0, 135)
        assert self.read(wire, "3,1,8") == LoadReport(3, 1)
        assert self.read(wire, "3,1") == LoadReport(3, 1)

    @pytest.mark.parametrize("figure", ["0", "999999", "1" * 12])
    def test_speed_out_of_range_is_ignored(self, wire, figure):
        """Guards against machines that seem idle or stopped."""
        assert self.read(wire, f"3,0,8,{figure}") == LoadReport(3, 0)

    @pytest.mark.parametrize(
        "text", ["3,0,8,x", "3,0,8,-5", "3,0,8,1.5", "9" * 5000 + ",0"]
    )
    def test_malformed_header_changes_nothing(self, wire, text):
        """Guards against exceptions in the middle of an exchange."""
        assert self.read(wire, text) is None


class TestHolds:
    @pytest.fixture
    def wire(self):
        return PlatformWire()

    def read(self, wire, status, **headers):
        named = [
            Header(name.replace("_", "-"), value)
            for name, value in headers.items()
        ]
        return wire.read_verdict(UpstreamAnswer(status, "", named, b""))

    def test_leaving_is_read_from_any_answer(self, wire):
        assert self.read(wire, 200, Server_Leaving="1").is_leaving
        assert self.read(wire, 500, server_leaving=" 1").is_leaving
        assert not self.read(wire, 200).is_leaving

    def test_departure_of_another_server_is_ignored(self, wire):
        assert not self.read(wire, 421, Server_Leaving="1").is_leaving

    @pytest.mark.parametrize("value", ["0", "true", "", "11"])
    def test_other_values_are_ignored_and_logged(self, wire, value, caplog):
        assert not self.read(wire, 200, Server_Leaving=value).is_leaving
        assert "Ignored" in caplog.text

    def test_hold_is_read_from_refusals_only(self, wire):
        assert self.read(wire, 503, Retry_After="0.5").retry_after_s == 0.5
        assert self.read(wire, 200, Retry_After="0.5").retry_after_s is None

    def test_log_of_ignored_values_is_bounded(self, wire, caplog):
        for _ in range(50):
            report = self.read(wire, 503, Retry_After="1e9")
            assert report.retry_after_s is None
        assert 0 < caplog.text.count("Ignored") <= 2
