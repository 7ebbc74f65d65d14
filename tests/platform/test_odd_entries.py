"""Odd entries among those of the servers do not spoil the others."""

from json import dumps

import pytest

from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.copies import build_copy
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import encode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.store import StoreClient
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream
from tests.platform.doubles import build_server

GOOD_ADDRESS = "10.0.0.1:80"
DEEP = "[" * 5000 + "]" * 5000
LONG_NUMBER = "9" * 5000


def encode_entry(name, specification, revision=5):
    """Return the JSON text of an object; the specification is a text."""
    metadata = dumps({"name": name, "revision": revision})
    return f'{{"metadata":{metadata},"specification":{specification}}}'


def change(**fields):
    """Return the specification of a server with raw JSON fields."""
    specification = build_server("10.0.0.9:80")
    for name in fields:
        specification.pop(name, None)
    text = dumps(specification)[:-1]
    for name, value in fields.items():
        text += f',"{name}":{value}'
    return text + "}"


# The odd entries; each is encoded as a whole.
ODD_ENTRIES = {
    "deep_specification": encode_entry("odd", DEEP),
    "deep_field": encode_entry("odd", change(slots=DEEP)),
    "deep_but_loadable": encode_entry(
        "odd", change(slots="[" * 600 + "]" * 600)
    ),
    "deep_metadata": f'{{"metadata":{DEEP},"specification":{{}}}}',
    "deep_entry": DEEP,
    "deep_with_brackets_in_text": encode_entry(
        "odd", '["]]]\\"[[",' + DEEP + "]"
    ),
    "long_slots": encode_entry("odd", change(slots=LONG_NUMBER)),
    "long_born": encode_entry("odd", change(born=LONG_NUMBER)),
    "long_sequence": encode_entry("odd", change(sequence=LONG_NUMBER)),
    "long_revision": (
        f'{{"metadata":{{"name":"odd","revision":{LONG_NUMBER}}}}}'
    ),
    "large_slots": encode_entry("odd", change(slots="9" * 18)),
    "large_born": encode_entry("odd", change(born="9" * 18)),
    "large_cold": encode_entry("odd", change(coldRemainingS="1e300")),
    "infinite_cold": encode_entry("odd", change(coldRemainingS="1e999")),
    "port_out_of_range": encode_entry(
        "odd", change(address='"10.0.0.9:99999"')
    ),
    "port_zero": encode_entry("odd", change(address='"10.0.0.9:0"')),
    "port_in_other_digits": encode_entry(
        "odd", change(address='"10.0.0.9:\u0663\u0663"')
    ),
    "no_host": encode_entry("odd", change(address='":80"')),
    "host_name": encode_entry("odd", change(address='"server.example:80"')),
    "lone_surrogate": encode_entry("odd", change(version='"\\ud800"')),
    "no_object": "7",
}


def build_body(entry, *, is_watch):
    good = encode_entry("good", dumps(build_server(GOOD_ADDRESS)))
    if not is_watch:
        return f'{{"items":[{entry},{good}],"at":9}}'
    events = ",".join(f'{{"object":{item}}}' for item in (entry, good))
    return f'{{"events":[{events}],"at":9}}'


async def receive(body, *, is_watch):
    """Return the listing that a client makes of an answer of the store."""

    async def answer(reader, writer):
        await read_request(reader)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async with ScriptedUpstream(answer) as upstream:
        client = StoreClient(upstream.address)
        try:
            if is_watch:
                return await client.watch(Kind.UPSTREAM, 1, 0.1)
            return await client.list(Kind.UPSTREAM)
        finally:
            await client.close()


def apply(listing):
    """Return a replica that has applied a listing."""
    replica = Replica(StoreClient("127.0.0.1:1"), FreshnessProof(4.0))
    replica.apply_listing(Kind.UPSTREAM, listing, 0.0)
    return replica


class TestOddEntries:
    @pytest.mark.parametrize("is_watch", [False, True])
    @pytest.mark.parametrize("name", ODD_ENTRIES)
    async def test_only_the_good_entry_is_used(self, name, is_watch):
        """Guards against one entry that makes the whole list unreadable."""
        body = build_body(ODD_ENTRIES[name], is_watch=is_watch).encode()
        replica = apply(await receive(body, is_watch=is_watch))
        used = {
            record.name: record.address
            for record in replica.upstreams.values()
        }
        odd_fields = ("lone_surrogate",)
        if name not in odd_fields:
            assert used == {"good": GOOD_ADDRESS}
        assert used["good"] == GOOD_ADDRESS

    async def test_bytes_that_are_no_text_spoil_one_entry_only(self):
        body = build_body('{"metadata":"\xff"}', is_watch=False)
        listing = await receive(body.encode("latin-1"), is_watch=False)
        assert [record.name for record in listing.records] == ["good"]

    @pytest.mark.parametrize("name", ODD_ENTRIES)
    async def test_peers_pass_the_good_entry_on(self, name):
        body = build_body(ODD_ENTRIES[name], is_watch=False).encode()
        replica = apply(await receive(body, is_watch=False))
        copy = decode_copy(encode_copy(build_copy(replica, 1, NO_CURSOR, 0.0)))
        receiver = apply(copy.kinds[0].listing)
        assert receiver.upstreams["good"].address == GOOD_ADDRESS
        assert receiver.upstreams.keys() == replica.upstreams.keys()


class TestOddAnswers:
    """An answer without a list is not taken for one without objects."""

    @pytest.mark.parametrize("items", ["", '"items":null,', '"items":{},'])
    async def test_list_needs_its_items(self, items):
        """Guards against the removal of all records, evacuations too."""
        body = f'{{{items}"hasMore":false,"at":9}}'.encode()
        with pytest.raises(StoreUnavailable):
            await receive(body, is_watch=False)

    @pytest.mark.parametrize("events", ["", '"events":null,'])
    async def test_watch_needs_its_events(self, events):
        """Guards against a cursor that passes over changes."""
        body = f'{{{events}"at":9}}'.encode()
        with pytest.raises(StoreUnavailable):
            await receive(body, is_watch=True)

    async def test_list_ends_with_its_last_page_only(self):
        """Guards against the removal of records on pages not yet read."""
        body = b'{"items":[],"hasMore":true,"at":9}'
        with pytest.raises(StoreUnavailable):
            await receive(body, is_watch=False)

    async def test_empty_lists_are_empty(self):
        listing = await receive(b'{"items":[],"at":9}', is_watch=False)
        assert listing.records == ()
        listing = await receive(b'{"events":[],"at":9}', is_watch=True)
        assert listing.records == ()
