"""Compatibility of processes that speak different versions of the protocol.

The first part is a frozen copy of version 1, which must not follow changes of the
code. The later version is simulated by changed frames of the present one.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import msgspec
import pytest

from bergamotmast.adapters.memory import MemoryNetwork
from bergamotmast.errors import Outcome
from bergamotmast.errors import RequestError
from bergamotmast.model import InstanceInfo
from bergamotmast.model import UpstreamKind
from bergamotmast.protocol import messages
from bergamotmast.protocol import timing
from bergamotmast.telemetry import NullTelemetry
from support import MODEL
from support import Fleet
from support import ScriptedEngine
from support import ScriptedService
from support import answer_of
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime

# Version 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="type"):
    pass


class Hello(Message, frozen=True, tag=1):
    version: int
    entry: str
    incarnation: str
    counter: int
    generation: int
    interval: float = 0.5


class Welcome(Message, frozen=True, tag=2):
    version: int
    upstream: str
    session: str
    incarnation: str
    counter: int
    generation: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    readiness: str
    role: str | None
    models: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    queued_prefill: int = 0
    queued_decode: int = 0
    running_decode: int = 0
    max_streams: int = 1
    prefill_rate: float = 1.0
    decode_rate: float = 1.0
    offered_prefill: int = 0
    offered_decode: int = 0
    done_prefill: int = 0
    done_decode: int = 0
    shed: int = 0
    kv_free: float = 1.0
    waits_ms: tuple[int, ...] = ()
    token_us: int = 0


class Heartbeat(Message, frozen=True, tag=3):
    session: str
    generation: int


class ReportHeartbeat(Message, frozen=True, tag=4):
    session: str
    sequence: int
    generation: int
    report: Report


class SessionUnknown(Message, frozen=True, tag=5):
    session: str


class ModelWork(Message, frozen=True, tag=1):
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    predicted_tokens: int
    prefix_key: str
    first_token_budget: float
    resume_text: str
    resume_tokens: int
    kv_handle: str
    prefill_only: bool


class ServiceWork(Message, frozen=True, tag=2):
    route: str
    method: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    idempotency_key: str


class Offer(Message, frozen=True, tag=6):
    session: str
    attempt: str
    request_id: str
    tenant: str
    weight: float
    request_class: str
    priority: int
    budget: float
    credit: int
    work: ModelWork | ServiceWork


class Refused(Message, frozen=True, tag=7):
    attempt: str
    code: int
    retry_after: float


class Started(Message, frozen=True, tag=8):
    attempt: str


class Chunk(Message, frozen=True, tag=9):
    attempt: str
    index: int
    tokens: int
    text: str
    finish: str
    cached_tokens: int
    kv_handle: str


class ServiceDone(Message, frozen=True, tag=10):
    attempt: str
    status: int
    body: bytes
    content_type: str


class Failed(Message, frozen=True, tag=11):
    attempt: str
    code: int
    detail: str


class Credit(Message, frozen=True, tag=12):
    session: str
    attempt: str
    chunks: int


class Cancel(Message, frozen=True, tag=13):
    session: str
    attempt: str


class AttemptState(Message, frozen=True, tag=14):
    attempt: str
    state: t.Literal["never_started", "started", "done"]


class ConfigPull(Message, frozen=True, tag=15):
    generation: int


class ConfigDocument(Message, frozen=True, tag=16):
    generation: int
    document: bytes


ToSide: t.TypeAlias = (
    Hello | Heartbeat | Offer | Credit | Cancel | ConfigPull | ConfigDocument
)
ToEntry: t.TypeAlias = (
    Welcome
    | ReportHeartbeat
    | SessionUnknown
    | Refused
    | Started
    | Chunk
    | ServiceDone
    | Failed
    | AttemptState
    | ConfigPull
    | ConfigDocument
)


encode = msgspec.msgpack.Encoder().encode
decode_to_side = msgspec.msgpack.Decoder(ToSide).decode
decode_to_entry = msgspec.msgpack.Decoder(ToEntry).decode


class EntryVersion1:
    """An entry of version 1: opens a session, makes one offer and reads messages."""

    def __init__(self, network, address):
        self.link = network.dial(address)
        self.session = ""
        self.beats = 0

    async def next(self, kind):
        while True:
            message = decode_to_entry(await self.link.receive())
            self.beats += isinstance(message, ReportHeartbeat)
            if isinstance(message, kind):
                return message

    async def open(self):
        await self.link.send(encode(Hello(1, "entry-1", "old", 1, 1)))
        welcome = await self.next(Welcome)
        assert welcome.counter == 1
        self.session = welcome.session
        await self.link.send(encode(Heartbeat(self.session, 1)))

    async def offer(self, work):
        offer = Offer(self.session, "a1", "r1", "t", 1.0, "c", 1, 60.0, 2, work)
        await self.link.send(encode(offer))
        assert (await self.next(Started | Refused)).attempt == "a1"


class SideVersion1:
    """A side of version 1 that answers every offer completely and at once."""

    def __init__(self, network, address):
        self.listener = network.listen(address)
        self.sessions = 0
        self.heartbeats = 0
        self.unknown = 0

    async def run(self):
        while True:
            peer, frame = await self.listener.receive()
            try:
                message = decode_to_side(frame)
            except msgspec.ValidationError:
                self.unknown += 1
                continue
            for answer in self.answers(message):
                await self.listener.send(peer, encode(answer))

    def answers(self, message):
        match message:
            case Hello():
                self.sessions += 1
                yield Welcome(1, "u", "s1", "old", message.counter, 1)
                yield ReportHeartbeat(
                    "s1", 1, 1, Report("ready", "mixed", (f"{MODEL}@1",))
                )
            case Heartbeat():
                self.heartbeats += 1
                report = Report("ready", "mixed", (f"{MODEL}@1",))
                yield ReportHeartbeat("s1", 1 + self.heartbeats, 1, report)
            case Offer(work=ModelWork()):
                yield Started(message.attempt)
                for i in range(message.work.max_tokens):
                    last = i == message.work.max_tokens - 1
                    finish = "length" if last else ""
                    yield Chunk(message.attempt, i, 1, f"w{i} ", finish, 0, "")
            case Offer():
                yield Started(message.attempt)
                body = b"old " + message.work.body
                yield ServiceDone(message.attempt, 200, body, "text/plain")


@contextlib.asynccontextmanager
async def side_version_1(kind):
    """Run an entry of the present version with a side of version 1."""
    name = "engine-1" if kind is UpstreamKind.ENGINE else "service-1"
    fleet_of_this_version = Fleet()
    side = SideVersion1(fleet_of_this_version.network, name)
    task = asyncio.create_task(side.run())
    fleet_of_this_version.list.infos.append(
        InstanceInfo(name, kind, "zone-a", name, "")
    )
    entry = fleet_of_this_version.add_entry("entry-1")
    await fleet_of_this_version.ready()
    try:
        yield fleet_of_this_version, entry, side
    finally:
        await fleet_of_this_version.close()
        task.cancel()


async def test_a_side_streams_a_whole_answer_to_an_entry_of_version_1():
    async with fleet(entries=0, engines=1) as f:
        entry = EntryVersion1(f.network, "engine-1")
        await entry.open()
        await entry.offer(
            ModelWork(MODEL, "a b", 2, 4, 4, "", 30.0, "", 0, "", False),
        )
        chunks = []
        while not chunks or not chunks[-1].finish:
            chunks.append(await entry.next(Chunk))
            await entry.link.send(encode(Credit(entry.session, "a1", 1)))
        assert "".join(chunk.text for chunk in chunks) == expected_text(4)
        (session,) = f.sides["engine-1"].sessions.by_name.values()
        assert session.version == 1


async def test_a_side_answers_a_call_of_an_entry_of_version_1():
    async with fleet(entries=0, services=1) as f:
        entry = EntryVersion1(f.network, "service-1")
        await entry.open()
        await entry.offer(
            ServiceWork("counter", "POST", "/counter", b"box", "", True, ""),
        )
        assert (await entry.next(ServiceDone)).body == b"ok box"
        await entry.link.send(encode(Cancel(entry.session, "a1")))
        assert (await entry.next(AttemptState)).state == "done"


async def test_an_entry_streams_a_whole_answer_of_a_side_of_version_1():
    async with side_version_1(UpstreamKind.ENGINE) as (f, entry, side):
        # More chunks than the initial credit allows, so that credit is granted too.
        tokens = timing.CHUNK_CREDIT * 2
        assert await answer_of(entry, f.model_call(tokens)) == expected_text(tokens)
        assert entry.membership.peers["engine-1"].version == 1
        await f.settle()
        assert (side.sessions, side.unknown) == (1, 0)
        assert side.heartbeats > 4


async def test_an_entry_calls_a_service_behind_a_side_of_version_1():
    async with side_version_1(UpstreamKind.SERVICE) as (f, entry, side):
        answer = await entry.submit_service(f.service_call(body=b"box"))
        assert answer.body == b"old box"
        assert side.unknown == 0


# A simulated later version

UNKNOWN = msgspec.msgpack.encode([99, {"later": [1, 2]}, b"x"])


def later(frame):
    """Return a frame as a later version might send it."""
    message = msgspec.msgpack.decode(frame)
    if message[0] in (1, 2):
        message[1] = messages.PROTOCOL_VERSION + 1
    for field in message:
        if isinstance(field, list):
            field.append({"later": True})
    return msgspec.msgpack.encode([*message, ["later"], None])


class LaterNetwork(MemoryNetwork):
    """Carries every frame, in both directions, as a later version would send it."""

    def carry(self, address, queue, frame):
        peer, content = frame
        super().carry(address, queue, (peer, UNKNOWN))
        super().carry(address, queue, (peer, later(content)))


class CountingTelemetry(NullTelemetry):
    """Counts unknown messages only."""

    def __init__(self):
        self.unknown = 0

    def on_unknown_message(self):
        self.unknown += 1


async def test_fields_and_messages_of_a_later_version_are_ignored(caplog):
    # Both ends receive a later version: unknown messages, longer messages and a higher
    # version number. They speak their own version, answer completely, keep their one
    # session and count the unknown messages.
    f = Fleet()
    f.network = LaterNetwork()
    f.add_upstream("engine-1", ScriptedEngine())
    f.add_upstream("service-1", ScriptedService())
    entry = f.add_entry("entry-1")
    entry.telemetry = CountingTelemetry()
    sides = list(f.sides.values())
    for side in sides:
        side.telemetry = side.server.telemetry = CountingTelemetry()
    await f.ready()
    assert await answer_of(entry, f.model_call(70)) == expected_text(70)
    answer = await entry.submit_service(f.service_call(body=b"box"))
    assert answer.body == b"ok box"
    await f.settle()
    for side in sides:
        (session,) = side.sessions.by_name.values()
        assert session.counter <= len(sides)
        assert session.version == messages.PROTOCOL_VERSION
        peer = entry.membership.peers[side.name]
        assert peer.version == messages.PROTOCOL_VERSION
    assert all(p.telemetry.unknown > 5 for p in [entry, *sides])
    assert caplog.records == []
    await f.close()


# Incompatible versions


async def test_entry_with_an_old_protocol_version_is_refused(monkeypatch, caplog):
    # The side does not accept version 1 any more. The entry's hello opens no session:
    # the reply names the versions that the side accepts, and its log names the entry.
    monkeypatch.setattr(messages, "MIN_PROTOCOL_VERSION", 2)
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        await link.send(encode(Hello(1, "entry-1", "old", 7, 1)))
        answer = messages.decode_to_entry(await link.receive())
        assert answer == messages.VersionRefused(messages.PROTOCOL_VERSION, 2, 7)
        assert not f.sides["service-1"].sessions.by_name
        assert "entry entry-1 speaks protocol 1" in caplog.text
        with pytest.raises(msgspec.ValidationError):
            decode_to_entry(messages.encode(answer))


async def test_refused_entry_offers_nothing_and_retries_slowly(caplog):
    # A side of a much later version refuses the hello. The call ends as "not run", the
    # log gives the reason, and the entry does not flood the log with attempts.
    f = Fleet()
    listener = f.network.listen("service-1")
    info = InstanceInfo("service-1", UpstreamKind.SERVICE, "zone-a", "service-1", "")
    f.list.infos.append(info)
    entry = f.add_entry("entry-1")
    for _ in range(3):
        peer, frame = await listener.receive()
        counter = messages.decode_to_side(frame).counter
        refused = messages.VersionRefused(9, 8, counter)
        await listener.send(peer, messages.encode(refused))
        await asyncio.sleep(timing.VERSION_RETRY_SECONDS - 0.1)
        assert listener.incoming.empty()
    assert caplog.text.count("it takes protocol 8 to 9") == 3
    with pytest.raises(RequestError) as caught:
        await entry.submit_service(f.service_call())
    assert caught.value.info.outcome is Outcome.NOT_RUN
    await f.close()


async def test_side_with_an_old_protocol_version_gets_no_work(monkeypatch, caplog):
    monkeypatch.setattr(messages, "MIN_PROTOCOL_VERSION", 2)
    f = Fleet()
    side = SideVersion1(f.network, "service-1")
    task = asyncio.create_task(side.run())
    info = InstanceInfo("service-1", UpstreamKind.SERVICE, "zone-a", "service-1", "")
    f.list.infos.append(info)
    entry = f.add_entry("entry-1")
    await f.settle()
    assert entry.membership.peers["service-1"].session is None
    assert "side service-1: it speaks protocol 1, this entry takes 2" in caplog.text
    task.cancel()
    await f.close()


def test_the_tags_of_all_messages_are_known():
    kinds = t.get_args(messages.ToSide | messages.ToEntry)
    assert {kind.__struct_config__.tag for kind in kinds} == messages.KNOWN_TAGS
