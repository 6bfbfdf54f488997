"""Fuzz tests of all input to a direct entry: callers, replicas, store and peers.

Examples are derived from the source of the tests, so that each run uses the same ones.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import time

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotmast.direct.events import EventSplitter
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.notices import NoticeExchange
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.direct.unix_clock import UnixClock
from bergamotmast.direct.usage_exchange import UsageExchange
from bergamotmast.errors import ReplyLostError
from bergamotmast.errors import RequestError
from bergamotmast.errors import SettingError
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.usage_ledger import Source
from bergamotmast.policy.usage_ledger import UsageLedger
from bergamotmast.ports import KeyValue
from bergamotmast.protocol.plan import ENGINES_PREFIX
from bergamotmast.settings import DirectEntrySettings
from bergamotmast.settings import declarations
from bergamotmast.settings import load_settings
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import head

MANY = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)

ODD = st.one_of(
    st.sampled_from([0, -1, 2**63, 0.5, 1e308, None, True, "", "ready", "9", "\x00"]),
    st.integers(),
    st.text(max_size=6),
    st.lists(st.integers(0, 3), max_size=2),
    st.dictionaries(st.text(max_size=2), st.none(), max_size=2),
)


@MANY
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(
            [
                "X-Request-Id",
                "X-Deadline-Ms",
                "X-Token-Count",
                "X-Prompt-Prefix",
                "X-Length-Hint",
                "Last-Event-Id",
            ]
        ),
        st.text(max_size=30) | st.from_regex(r"\A-?[0-9a-f:,.]{0,40}\Z"),
    )
)
def test_any_headers_of_a_caller_are_read_or_refused(headers):
    with contextlib.suppress(RequestError):
        traits = PlatformDialect().read_call(headers)
        assert traits.time_left is None or traits.time_left >= 0
        assert traits.prompt_tokens >= 0
        assert traits.last_event >= 0


@MANY
@hypothesis.given(st.integers(100, 599), st.dictionaries(st.text(), st.text()))
def test_any_headers_of_a_replica_are_read(status, headers):
    PlatformDialect().read_reply(status, headers)


@MANY
@hypothesis.given(
    st.binary(max_size=40)
    | st.fixed_dictionaries({"transfer-handle": ODD, "version": ODD}).map(
        lambda plain: json.dumps(plain).encode()
    )
)
def test_handle_that_is_none_is_refused(body):
    """A handle goes into a header and a path: a line break would split both."""
    dialect = PlatformDialect()
    with contextlib.suppress(ReplyLostError):
        prefilled = dialect.read_prefilled(body)
        assert prefilled.handle.isascii()
        assert prefilled.handle.isprintable()
        assert not set(prefilled.handle) & set(" /?#%")


def mutated(plain: dict, name: str, value: object) -> bytes:
    return json.dumps(plain | {name: value}).encode()


ENTRY = registration(engine("i-1", None)) | {"address": "10.1.1.1:80", "born": 7}


@MANY
@hypothesis.given(
    st.sampled_from(["servers/i-1", ENGINES_PREFIX + "i-1/plan", PRESENCE_PREFIX + "e"])
    | st.text(max_size=10),
    st.binary(max_size=60)
    | st.builds(mutated, st.just(ENTRY), st.sampled_from(sorted(ENTRY)), ODD)
    | st.builds(mutated, st.just(config()), st.sampled_from(["routes", "limits"]), ODD),
)
def test_no_entry_of_the_store_stops_the_fleet(key, value):
    """Another writer's entry is passed over; the others and the configuration hold."""

    async def main() -> None:
        fleet = Fleet(PlatformDirectory(), lambda: 0.0)
        fleet.put(KeyValue("op/config", json.dumps(config()).encode(), 1))
        fleet.put(KeyValue("servers/i-0", json.dumps(ENTRY).encode(), 2))
        fleet.put(KeyValue(key, value, 3))
        fleet.put(KeyValue("op/config", value, 4))
        assert fleet.generation >= 1
        assert "i-0" in {u.name for u in fleet.present("llm", 0.0)}
        for upstream in fleet.present("llm", 0.0):
            host, _, port = upstream.address.rpartition(":")
            assert host
            assert 0 < int(port) < 65536

    asyncio.run(main())


WITHOUT_VALUE = {
    "log_level",
    "memory_mb",
    "store_recovery_ms",
    "switched_off",
    "learned_capacity",
    "tenant_shares",
}
"""Settings that keep their default, as they don't take the value of the others."""

SETTINGS = {
    declaration.variable: "127.0.0.1:1" if "ADDRESS" in declaration.variable else "1"
    for declaration in declarations(DirectEntrySettings)
    if declaration.field not in WITHOUT_VALUE
}


@MANY
@hypothesis.given(
    st.sampled_from([d.variable for d in declarations(DirectEntrySettings)]),
    st.text(max_size=20)
    | st.sampled_from(["nan", "inf", "-1", "1e400", "0", "a:b", ":1", "h:99999", "٣"]),
)
def test_setting_is_taken_or_its_name_and_value_are_told(variable, value):
    """No value leads to a crash, or to a process that runs on what makes no sense."""
    try:
        loaded = load_settings(
            DirectEntrySettings, argparse.Namespace(), SETTINGS | {variable: value}
        )
    except SettingError as error:
        assert error.name == variable
        assert error.value == value
        return
    for number in (loaded.shutdown_seconds, loaded.retry_share, loaded.retry_free):
        assert 0 <= number < float("inf")
    for address in (loaded.store_address, loaded.listen_address, loaded.peer_address):
        host, _, port = address.rpartition(":")
        assert host
        assert 0 <= int(port) < 65536


@MANY
@hypothesis.given(st.binary(max_size=80))
def test_no_datagram_stops_an_entry(data):
    async def main() -> None:
        fleet = Fleet(PlatformDirectory(), lambda: 0.0)
        placer = RequestPlacer(fleet, "e", "z", random.Random(1))
        clock = UnixClock(lambda: 0.0, lambda: 1e9)
        ledger = UsageLedger(5.0)
        inbox = PeerInbox()
        NoticeExchange("e", placer, list, lambda data, address: None).listen(inbox)
        UsageExchange(
            Source("e", 1), ledger, clock, dict, lambda data, address: None
        ).listen(inbox)
        inbox.receive(data, ("127.0.0.1", 1))

    asyncio.run(main())


@MANY
@hypothesis.given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=5))
def test_events_do_not_depend_on_how_their_bytes_arrive(data, cuts):
    """Nothing is lost or doubled, and an id that is no number is none."""
    data = data.replace(b"\x00", b"\n\n").replace(b"\x01", b"id: ")
    whole = EventSplitter()
    expected = whole.feed(data)
    split = EventSplitter()
    found = []
    at = 0
    for cut in [*sorted(cuts), len(data)]:
        found += split.feed(data[at:cut] if cut > at else b"")
        at = max(at, cut)
    assert found == expected
    assert b"".join(e.data for e in expected) + whole.rest == data


def test_event_with_an_id_too_long_to_be_one():
    splitter = EventSplitter()
    (found,) = splitter.feed(b"id: " + b"9" * 5000 + b"\n\n")
    assert found.number is None


@pytest.mark.parametrize("seed", range(6))
async def test_request_is_forwarded_unchanged_or_refused(seed):
    """Guards against changing paths, queries and header values with unusual bytes.

    A request is forwarded unchanged or refused with a 400.
    """
    rng = random.Random(seed)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        for number in range(25):
            target = "/read/" + odd_text(rng, 0x21, 0xFF, 12)
            value = odd_text(rng, 0x20, 0xFF, 12).strip()
            replica.received.clear()
            got = await ask_raw(entry, target, f"id-{number}", value)
            if got == 200:
                (received,) = replica.received
                assert received.target == target
                assert received.headers["x-odd"] == value
            else:
                assert got == 400
                assert replica.received == []


def odd_text(rng: random.Random, first: int, last: int, most: int) -> str:
    """Return random text of single-byte characters, mostly printable ones."""
    top = 0x7E if rng.random() < 0.7 else last
    return "".join(chr(rng.randint(first, top)) for _ in range(rng.randint(1, most)))


async def ask_raw(entry, target: str, request_id: str, value: str) -> int:
    reader, writer = await entry.connect()
    sent = request("TARGET", request_id=request_id, X_Odd="VALUE").decode()
    sent = sent.replace("TARGET", target).replace("VALUE", value)
    writer.write(sent.encode("latin-1"))
    try:
        return (await asyncio.wait_for(read_answer(reader), 3)).status
    finally:
        writer.close()


async def test_header_that_is_no_utf8_is_refused_and_not_changed():
    """Guards against a changed value: the HTTP library drops invalid UTF-8."""
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        assert await ask_raw(entry, "/read/x", "id-1", "caf\xe9") == 400
        assert await ask_raw(entry, "/read/x", "id-2", "caf\xc3\xa9") == 200
    assert [r.headers["x-odd"] for r in replica.received] == ["caf\xc3\xa9"]


async def test_response_is_sent_without_a_header_of_invalid_utf8(caplog):
    """Guards against losing a response because of one header with invalid UTF-8."""

    async def script(replica: Replica, received: Received, writer) -> None:
        lines = head(200, received.request_id, "Content-Length: 2", "X-Sound: 1")
        writer.write(lines[:-2] + b"X-Odd: caf\xe9\r\n\r\nok")

    async with serving(Replica("i-1", script)) as entry:
        got = await entry.ask("/read/x")
    assert (got.status, got.body, got.headers["x-sound"]) == (200, b"ok", "1")
    assert "x-odd" not in got.headers
    assert "headers are left out" in {record.message for record in caplog.records}


PLAIN = head(200, "ID", "Content-Length: 12") + b"twelve bytes"
STREAM = (
    head(200, "ID", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    + b"".join(chunk(event(number)) for number in range(1, 5))
    + b"0\r\n\r\n"
)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/talk/x"])
async def test_spoilt_answer_ends_its_request_and_no_other(path, seed):
    """Guards against corrupted replies: truncated, changed, repeated or extended.

    The caller's request ends, and a success always has a signature. The next request
    gets its own response.
    """
    rng = random.Random(f"{path}{seed}")
    template = STREAM if path == "/talk/x" else PLAIN
    corrupts = True

    async def script(replica: Replica, received: Received, writer) -> None:
        whole = template.replace(b"ID", received.request_id.encode())
        writer.write(corrupted(rng, whole) if corrupts else whole)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        if corrupts:
            writer.close()

    service = "llm" if path == "/talk/x" else "plain"
    replica = Replica("i-1", script, service=service)
    replica.entry |= {"stage": "decode"} if service == "llm" else {}
    async with serving(replica) as entry:
        for number in range(12):
            corrupts = True
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                got = await asyncio.wait_for(
                    entry.ask(path, request_id=f"bad-{number}", X_Deadline_Ms="600"), 3
                )
                if 200 <= got.status < 300 and got.complete:
                    assert "x-response-signature" in got.headers
                    assert got.headers["x-request-id"] == f"bad-{number}"
            corrupts = False
            entry.core.context.placer.engine_loads.clear()
            entry.core.context.placer.plain_loads.clear()
            got = await entry.ask(path, request_id=f"good-{number}")
            assert (got.status, got.complete) == (200, True)
            assert got.headers["x-request-id"] == f"good-{number}"


def corrupted(rng: random.Random, whole: bytes) -> bytes:
    """Return a reply with one random fault."""
    at = rng.randrange(len(whole))
    fault = rng.randrange(5)
    if fault == 0:
        return whole[:at]
    if fault == 1:
        return whole[:at] + bytes([rng.randrange(256)]) + whole[at + 1 :]
    if fault == 2:
        return whole + whole[at:]
    if fault == 3:
        return whole[:at] + rng.randbytes(rng.randint(1, 20)) + whole[at:]
    return rng.randbytes(rng.randint(1, 200))


async def test_stream_of_an_engine_without_faults_is_complete():
    """The stand-in's own replies are valid: the test above fails by corruption only."""
    async with serving(engine("i-1", EngineScript())) as entry:
        got = await entry.ask("/talk/x", X_Token_Count="400,80")
    assert got.complete


def test_events_are_split_in_linear_time():
    """Guards against tiny events that keep the event loop from other requests."""
    data = b": a\n\n" * 100_000
    began = time.monotonic()
    assert len(EventSplitter().feed(data)) == 100_000
    assert time.monotonic() - began < 2.0
