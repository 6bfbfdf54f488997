"""Fuzz tests of invalid input: frames between processes and requests of callers.

Examples are derandomized: they are derived from the code of each test, so every run
sees the same ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import hypothesis
import looptime
import msgspec
import pytest
from aiohttp.test_utils import TestServer
from hypothesis import strategies as st

from bergamotmast.config.document import encode_configuration
from bergamotmast.entry.http import CallerLimits
from bergamotmast.entry.http import EntryHttp
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.model import InstanceInfo
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.model import UpstreamKind
from bergamotmast.policy.entry_policy import LoadAwareEntryPolicy
from bergamotmast.policy.side_policy import FairSidePolicy
from bergamotmast.protocol import messages
from support import MODEL
from support import Fleet
from support import ScriptedEngine
from support import answer_of
from support import configuration
from support import expected_text
from support import fleet

FEW = hypothesis.settings(
    max_examples=100, derandomize=True, deadline=None, database=None
)

ODD = st.one_of(
    st.sampled_from([0, -1, 2**63 - 1, -(2**63), 0.0, -1.0, 1e308, 5e-324]),
    st.sampled_from([float("nan"), float("inf"), float("-inf"), None, True, "", b""]),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=5),
    st.lists(st.integers(0, 5), max_size=3),
    st.dictionaries(st.text(max_size=2), st.none(), max_size=2),
)

SESSION, ATTEMPT = "SESSION", "ATTEMPT"
DOCUMENT = encode_configuration(configuration(2))
MODEL_WORK = messages.ModelWork(MODEL, "p", 2, 3, 3, "", 5.0, "", 0, "", False)
SERVICE_WORK = messages.ServiceWork("counter", "POST", "/", b"", "", True, "")
TO_SIDE = [
    messages.Hello(2, "e", "other", 1, 1),
    messages.Heartbeat(SESSION, 1),
    messages.Offer(SESSION, "a1", "r", "t", 1.0, "c", 1, 9.0, 4, MODEL_WORK),
    messages.Offer(SESSION, "a2", "r", "t", 1.0, "c", 2, 9.0, 4, SERVICE_WORK),
    messages.Credit(SESSION, "a1", 3),
    messages.Cancel(SESSION, "a1"),
    messages.ConfigPull(0),
    messages.ConfigDocument(2, DOCUMENT),
]
REPORT = SideReport(Readiness.READY, Role.MIXED, (f"{MODEL}@1",), waits_ms=(1, 2, 3))
TO_ENTRY = [
    messages.Welcome(2, "engine-2", SESSION, "i", 1, 1),
    messages.ReportHeartbeat(SESSION, 1, 1, REPORT),
    messages.SessionUnknown(SESSION),
    messages.Refused(ATTEMPT, ResultCode.QUEUE_FULL, 1.0),
    messages.Started(ATTEMPT),
    messages.Chunk(ATTEMPT, 0, 1, "x", "", 0, ""),
    messages.ServiceDone(ATTEMPT, 200, b"", ""),
    messages.Failed(ATTEMPT, ResultCode.UPSTREAM_FAILED, ""),
    messages.AttemptState(ATTEMPT, "done"),
    messages.ConfigPull(0),
    messages.ConfigDocument(2, DOCUMENT),
    messages.VersionRefused(2, 1, 1),
]


@st.composite
def changed(draw, valid):
    """Draw a message, as plain data, some of whose fields have other values."""
    message = msgspec.to_builtins(draw(st.sampled_from(valid)), builtin_types=(bytes,))
    for _ in range(draw(st.integers(0, 2))):
        place = message
        index = draw(st.integers(1, len(place) - 1))
        if isinstance(place[index], list) and place[index] and draw(st.booleans()):
            place = place[index]
            index = draw(st.integers(0, len(place) - 1))
        place[index] = draw(ODD)
    return message


def frames(valid):
    return st.lists(changed(valid) | st.binary(max_size=40), min_size=1, max_size=8)


def frame_of(content, names):
    """Encode a drawn message with the actual names; bytes stay as they are."""
    if isinstance(content, bytes):
        return content
    put = [names.get(x, x) if isinstance(x, str) else x for x in content]
    return msgspec.msgpack.encode(put)


def run_virtually(coroutine):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(coroutine)


async def whole_answer(f, entry):
    """Check that a valid request is answered whole within its deadline."""
    async with asyncio.timeout(60):
        await f.ready()
        assert await answer_of(entry, f.model_call(5)) == expected_text(5)


def start_entry(f):
    entry = f.add_entry("entry-1")
    entry.policy = LoadAwareEntryPolicy(random.Random(1), "zone-a")
    return entry


async def side_goes_on(contents):
    f = Fleet()
    f.add_upstream("engine-1", ScriptedEngine(), FairSidePolicy())
    link = f.network.dial("engine-1")
    await link.send(messages.encode(messages.Hello(2, "e", "hostile", 1, 1)))
    session = messages.decode_to_entry(await link.receive()).session
    for content in contents:
        await link.send(frame_of(content, {SESSION: session}))
    await asyncio.sleep(1.0)
    await whole_answer(f, start_entry(f))
    await asyncio.sleep(10.0)
    assert not f.tasks["engine-1"].done()
    await f.close()


@FEW
@hypothesis.given(frames(TO_SIDE))
def test_a_side_goes_on_whatever_frames_come(contents):
    # A peer with its own session sends partly invalid frames. Afterwards a request of
    # another entry is answered whole.
    run_virtually(side_goes_on(contents))


async def hostile_side(listener, contents):
    """Welcome each hello, then reply to offers and heartbeats with drawn frames."""
    while True:
        peer, frame = await listener.receive()
        names = {SESSION: "s", ATTEMPT: "none"}
        answers = []
        match messages.decode_to_side(frame):
            case messages.Hello(counter=counter):
                welcome = messages.Welcome(2, "engine-2", "s", "i", counter, 1)
                beat = messages.ReportHeartbeat("s", 1, 1, REPORT)
                answers = [messages.encode(welcome), messages.encode(beat)]
            case messages.Offer(attempt=attempt):
                names[ATTEMPT] = attempt
                answers = contents
            case messages.Heartbeat():
                answers = contents
        for content in answers:
            with contextlib.suppress(NotReachedError):
                await listener.send(peer, frame_of(content, names))


async def entry_goes_on(contents):
    f = Fleet()
    listener = f.network.listen("engine-2")
    info = InstanceInfo("engine-2", UpstreamKind.ENGINE, "zone-a", "engine-2", "")
    f.list.infos.append(info)
    hostile = asyncio.create_task(hostile_side(listener, contents))
    entry = start_entry(f)
    await asyncio.sleep(0.7)
    async with asyncio.timeout(60):
        with contextlib.suppress(RequestError):
            await answer_of(entry, f.model_call(5, total=10.0, first_token=5.0))
    assert not any(task.done() for task in entry.membership.tasks.values())
    hostile.cancel()
    listener.close()
    f.list.infos.clear()
    f.add_upstream("engine-1", ScriptedEngine())
    await f.settle()
    await whole_answer(f, entry)
    assert not f.tasks["entry-1"].done()
    await f.close()


@FEW
@hypothesis.given(frames(TO_ENTRY))
def test_an_entry_goes_on_whatever_frames_come(contents):
    # A side replies to offers and heartbeats with partly invalid frames. The request
    # that it was offered ends in time with its answer or a result code; the next one is
    # answered whole by another side.
    run_virtually(entry_goes_on(contents))


# Requests of callers

LIMITS = CallerLimits(body_bytes=4096, context_tokens=64)


@pytest.fixture(scope="module")
def served():
    """Run an entry with HTTP on an event loop that is shared by all examples."""
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        runner.run(stack.__aenter__())
        f = runner.run(stack.enter_async_context(fleet(engines=1, services=1)))
        for upstream in f.upstreams.values():
            upstream.pace = 0
        server = TestServer(EntryHttp(f.entries["entry-1"], LIMITS).application())
        runner.run(server.start_server())
        yield runner, server
        runner.run(server.close())
        runner.run(stack.aclose())


async def exchange(server, path, body, headers):
    """Send a request as raw bytes, without an HTTP client, and read its response."""
    lines = [b"POST " + path + b" HTTP/1.1", b"Host: x", b"Connection: close"]
    lines += [b"Content-Length: %d" % len(body)]
    lines += [name + b": " + value for name, value in headers.items()]
    async with asyncio.timeout(20):
        reader, writer = await asyncio.open_connection(server.host, server.port)
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        head, _, rest = (await reader.read(-1)).partition(b"\r\n\r\n")
        writer.close()
    return int(head.split()[1]), rest


def check(served, path, body, headers):
    runner, server = served
    status, rest = runner.run(exchange(server, path, body, headers))
    if status != 200:
        error = json.loads(rest)["error"]
        assert error["code"] in list(ResultCode)
        assert error["code"] != ResultCode.INTERNAL
        assert status < 500
    good = json.dumps({"model": MODEL, "prompt": "a", "max_tokens": 2}).encode()
    status, rest = runner.run(exchange(server, b"/v1/completions", good, {}))
    assert status == 200
    assert json.loads(rest)["choices"][0]["text"] == expected_text(2)


VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9)
    | st.sampled_from([MODEL, "user", 1, 64, 2**63, "\ud800"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["role", "content", "x"]), inner, max_size=3)
    ),
    max_leaves=6,
)
MESSAGE = st.fixed_dictionaries({"role": st.just("user"), "content": st.text() | VALUE})
GOOD = {
    "model": st.just(MODEL),
    "prompt": st.text(),
    "messages": st.lists(MESSAGE, min_size=1, max_size=3),
    "max_tokens": st.integers(1, 9),
    "stream": st.booleans(),
}
BODY = st.one_of(
    st.binary(max_size=60),
    VALUE.map(lambda value: json.dumps(value).encode()),
    st.fixed_dictionaries(
        {}, optional={name: value | VALUE for name, value in GOOD.items()}
    ).map(lambda value: json.dumps(value).encode()),
)
MODELS = st.sampled_from([b"/v1/completions", b"/v1/chat/completions"])


@FEW
@hypothesis.given(path=MODELS, body=BODY)
def test_any_body_gets_an_answer_or_a_code(served, path, body):
    check(served, path, body, {})


@FEW
@hypothesis.given(path=MODELS, start=st.integers(0, 60), change=st.binary(max_size=4))
def test_any_change_of_a_good_body_gets_an_answer_or_a_code(
    served, path, start, change
):
    body = {"model": MODEL, "prompt": "a", "messages": [{"role": "u", "content": "b"}]}
    good = json.dumps(body | {"max_tokens": 3}).encode()
    check(served, path, good[:start] + change + good[start + 2 :], {})


HEADERS = [
    b"X-Tenant",
    b"X-Request-Class",
    b"X-Request-Id",
    b"Idempotency-Key",
    b"Authorization",
    b"Content-Type",
    b"Accept",
]
# The HTTP library refuses control characters before the entry sees the request.
CHARACTER = st.integers(0x20, 0xFF).filter(lambda byte: byte != 0x7F)
HEADER_VALUE = st.lists(CHARACTER, max_size=12).map(bytes)
BEARER = HEADER_VALUE.map(lambda value: b"Bearer " + value)


@FEW
@hypothesis.given(
    path=MODELS | st.sampled_from([b"/services/counter/x", b"/nowhere"]),
    headers=st.dictionaries(
        st.sampled_from(HEADERS), HEADER_VALUE | BEARER, min_size=1, max_size=3
    ),
)
@hypothesis.example(path=b"/v1/completions", headers={b"X-Request-Id": b"\x80"})
@hypothesis.example(path=b"/nowhere", headers={b"X-Request-Id": b"\x80"})
@hypothesis.example(path=b"/v1/completions", headers={b"Authorization": b"Bearer \x80"})
@hypothesis.example(
    path=b"/services/counter/x", headers={b"Content-Type": b"text/\x80"}
)
def test_any_header_gets_an_answer_or_a_code(served, path, headers):
    body = {"model": MODEL, "prompt": "a", "messages": [{"role": "u", "content": "b"}]}
    body = json.dumps(body | {"max_tokens": 1}).encode()
    check(served, path, body, headers)
