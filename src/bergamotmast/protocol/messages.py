"""Messages between an entry and a side.

Every message is a tagged msgpack array. A later protocol version may add fields at the
end of one, with defaults, and new messages: the decoders skip fields they don't know
and raise :class:`UnknownMessageError` for tags they don't know. Times on the wire are
budgets in seconds, because the clocks of different instances differ; they become
deadlines at receipt.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..errors import ResultCode
from ..model import Priority
from ..model import SideReport
from .timing import HEARTBEAT_INTERVAL_SECONDS

PROTOCOL_VERSION = 2
"""What this end speaks; 2 added :class:`VersionRefused`."""

MIN_PROTOCOL_VERSION = 1
"""What the other end must speak at least."""

MAX_SECONDS = 1e9
"""Most seconds in any message; what is endless or no number is refused with it."""

Count: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0)]
Seconds: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
"""A budget; negative where the deadline has passed."""

Interval: t.TypeAlias = t.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
"""Seconds between beats. A session whose interval is no number would never expire."""

Weight: t.TypeAlias = t.Annotated[float, msgspec.Meta(gt=0, le=1e9)]


def negotiate_version(theirs: int) -> int | None:
    """Return the version of a session, or ``None`` if theirs is too old.

    :param theirs: highest version that the other end speaks.
    """
    if theirs < MIN_PROTOCOL_VERSION:
        return None
    return min(PROTOCOL_VERSION, theirs)


class UnknownMessageError(msgspec.ValidationError):
    """A frame is a message that only a later version knows: to be left alone.

    :param tag: its tag.
    """

    def __init__(self, tag: int) -> None:
        super().__init__(f"unknown message {tag}")
        self.tag = tag


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="type"):
    """Base of every message."""


class Hello(Message, frozen=True, tag=1):
    """Entry to side: open a session, ending any earlier one of this incarnation.

    :param version: highest that the entry speaks.
    :param incarnation: random for each start of the entry.
    :param counter: raised with each hello of this incarnation.
    :param generation: configuration the entry has in force.
    :param plan_epoch: of the highest plan that a side of this upstream told of.
    :param plan_revision: of the same plan.
    :param interval: seconds between heartbeats in this session, both ways.
    """

    version: int
    entry: str
    incarnation: str
    counter: int
    generation: int
    interval: Interval = HEARTBEAT_INTERVAL_SECONDS
    plan_epoch: Count = 0
    plan_revision: Count = 0


class Welcome(Message, frozen=True, tag=2):
    """Side to entry: the session is open.

    :param version: highest that the side speaks.
    :param session: names the session in every later message.
    :param incarnation: random for each start of the side.
    """

    version: int
    upstream: str
    session: str
    incarnation: str
    counter: int
    generation: int


class Heartbeat(Message, frozen=True, tag=3):
    """Entry to side: alive, and how far the entry's knowledge goes."""

    session: str
    generation: int


class ReportHeartbeat(Message, frozen=True, tag=4):
    """Side to entry: alive, with its exact state.

    :param sequence: counts beats of the session.
    """

    session: str
    sequence: int
    generation: int
    report: SideReport


class SessionUnknown(Message, frozen=True, tag=5):
    """Side to entry: no such session; say hello again."""

    session: str


class ModelWork(Message, frozen=True, tag=1):
    """The work of an offer to an engine."""

    model: str
    prompt: str
    prompt_tokens: Count
    max_tokens: Count
    predicted_tokens: Count
    prefix_key: str
    first_token_budget: Seconds
    resume_text: str
    resume_tokens: Count
    kv_handle: str
    prefill_only: bool


class ServiceWork(Message, frozen=True, tag=2):
    """The work of an offer to a plain service."""

    route: str
    method: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    idempotency_key: str


class Offer(Message, frozen=True, tag=6):
    """Entry to side: run this.

    :param attempt: unique over the life of the system.
    :param budget: seconds left until the caller's deadline.
    :param credit: chunks the side may send before it hears more.
    """

    session: str
    attempt: str
    request_id: str
    tenant: str
    weight: Weight
    request_class: str
    priority: Priority
    budget: Seconds
    credit: Count
    work: ModelWork | ServiceWork


class Refused(Message, frozen=True, tag=7):
    """Side to entry: not started, and a tombstone keeps it from starting."""

    attempt: str
    code: ResultCode
    retry_after: Seconds


class Started(Message, frozen=True, tag=8):
    """Side to entry: handed to the upstream."""

    attempt: str


class Chunk(Message, frozen=True, tag=9):
    """Side to entry: a run of tokens."""

    attempt: str
    index: Count
    tokens: Count
    text: str
    finish: str
    cached_tokens: int
    kv_handle: str


class ServiceDone(Message, frozen=True, tag=10):
    """Side to entry: the whole answer of a plain service."""

    attempt: str
    status: int
    body: bytes
    content_type: str


class Failed(Message, frozen=True, tag=11):
    """Side to entry: started, and ended without its whole answer."""

    attempt: str
    code: ResultCode
    detail: str


class Credit(Message, frozen=True, tag=12):
    """Entry to side: so many more chunks may be sent."""

    session: str
    attempt: str
    chunks: Count


class Cancel(Message, frozen=True, tag=13):
    """Entry to side: end this attempt and say what became of it."""

    session: str
    attempt: str


class AttemptState(Message, frozen=True, tag=14):
    """Side to entry: what became of a cancelled attempt.

    :param state: ``never_started`` (with a tombstone), ``started`` or ``done``.
    """

    attempt: str
    state: t.Literal["never_started", "started", "done"]


class ConfigPull(Message, frozen=True, tag=15):
    """Either way: send the configuration if it is newer than this."""

    generation: int


class ConfigDocument(Message, frozen=True, tag=16):
    """Either way: a whole configuration, as the key-value service held it."""

    generation: int
    document: bytes


class VersionRefused(Message, frozen=True, tag=17):
    """Side to entry: the hello's version is too old; no session is open.

    :param version: highest that the side speaks.
    :param oldest: lowest that the side speaks.
    :param counter: of the hello.
    """

    version: int
    oldest: int
    counter: int


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
    | VersionRefused
)

KNOWN_TAGS = frozenset(range(1, 18))
"""Tags of all messages, both ways."""

_ENCODER = msgspec.msgpack.Encoder()
_SIDE_DECODER = msgspec.msgpack.Decoder(ToSide)
_ENTRY_DECODER = msgspec.msgpack.Decoder(ToEntry)


def encode(message: ToSide | ToEntry) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_to_side(frame: bytes) -> ToSide:
    """Decode a frame that a side received.

    :raises UnknownMessageError: for a message of a later version.
    :raises msgspec.ValidationError: for anything that is no message to a side.
    """
    try:
        return _SIDE_DECODER.decode(frame)
    except msgspec.ValidationError:
        _check_tag(frame)
        raise


def decode_to_entry(frame: bytes) -> ToEntry:
    """Decode a frame that an entry received.

    :raises UnknownMessageError: for a message of a later version.
    :raises msgspec.ValidationError: for anything that is no message to an entry.
    """
    try:
        return _ENTRY_DECODER.decode(frame)
    except msgspec.ValidationError:
        _check_tag(frame)
        raise


def _check_tag(frame: bytes) -> None:
    """Tell a message of a later version from a frame that is wrong.

    :raises UnknownMessageError: if its tag is one that this version has not.
    """
    match msgspec.msgpack.decode(frame):
        case [int(tag), *_] if tag not in KNOWN_TAGS:
            raise UnknownMessageError(tag)
