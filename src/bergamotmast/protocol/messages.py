"""Messages between an entry and a side.

Every message is a tagged msgpack array. A later protocol version may append fields with
defaults to a message, and add new messages: the decoders skip unknown fields and raise
:class:`UnknownMessageError` for unknown tags. Times on the wire are remaining budgets
in seconds, because the clocks of different instances differ; the receiver converts them
to deadlines.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..decoding import DecodingError
from ..decoding import MessagePackDecoder
from ..decoding import decode_msgpack
from ..errors import ResultCode
from ..model import Priority
from ..model import SideReport
from .timing import HEARTBEAT_INTERVAL_SECONDS

PROTOCOL_VERSION = 2
"""Version that this process speaks; 2 added :class:`VersionRefused`."""

MIN_PROTOCOL_VERSION = 1
"""Lowest version of a peer that is accepted."""

MAX_SECONDS = 1e9
"""Maximum duration in a message, in seconds; it also excludes infinity and NaN."""

Count: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0)]
Seconds: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
"""Remaining time in seconds; negative if the deadline has passed."""

Interval: t.TypeAlias = t.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
"""Seconds between heartbeats; a session with an interval of NaN would never expire."""

Weight: t.TypeAlias = t.Annotated[float, msgspec.Meta(gt=0, le=1e9)]


def negotiate_version(peer_version: int) -> int | None:
    """Return the version of a session, or ``None`` if the peer's is too old.

    :param peer_version: highest version that the peer speaks.
    """
    if peer_version < MIN_PROTOCOL_VERSION:
        return None
    return min(PROTOCOL_VERSION, peer_version)


class UnknownMessageError(DecodingError):
    """A frame holds a message of a later protocol version and is to be ignored.

    :param tag: tag of the message.
    """

    def __init__(self, tag: int) -> None:
        super().__init__(f"unknown message {tag}")
        self.tag = tag


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="type"):
    """Base class of all messages."""


class Hello(Message, frozen=True, tag=1):
    """Entry to side: open a session and end any earlier one of this incarnation.

    :param version: highest protocol version that the entry speaks.
    :param incarnation: random id drawn at each start of the entry.
    :param counter: increased with each hello of this incarnation.
    :param generation: generation of the configuration that the entry has in force.
    :param plan_epoch: epoch of the highest plan that a side of this upstream has
        reported.
    :param plan_revision: revision of the same plan.
    :param interval: seconds between heartbeats in this session, in both directions.
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

    :param version: highest protocol version that the side speaks.
    :param session: id of the session in every later message.
    :param incarnation: random id drawn at each start of the side.
    """

    version: int
    upstream: str
    session: str
    incarnation: str
    counter: int
    generation: int


class Heartbeat(Message, frozen=True, tag=3):
    """Entry to side: the entry is alive and has this generation in force."""

    session: str
    generation: int


class ReportHeartbeat(Message, frozen=True, tag=4):
    """Side to entry: the side is alive; carries its exact state.

    :param sequence: number of the heartbeat within the session.
    """

    session: str
    sequence: int
    generation: int
    report: SideReport


class SessionUnknown(Message, frozen=True, tag=5):
    """Side to entry: there is no such session; send a new hello."""

    session: str


class ModelWork(Message, frozen=True, tag=1):
    """Work offered to an engine."""

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
    """Work offered to a plain service."""

    route: str
    method: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    idempotency_key: str


class Offer(Message, frozen=True, tag=6):
    """Entry to side: run this work.

    :param attempt: id of the attempt, unique over the life of the system.
    :param budget: seconds left until the caller's deadline.
    :param credit: number of chunks that the side may send before it receives more
        credit.
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
    """Side to entry: not started; a tombstone prevents a later start."""

    attempt: str
    code: ResultCode
    retry_after: Seconds


class Started(Message, frozen=True, tag=8):
    """Side to entry: the work was handed to the upstream."""

    attempt: str


class Chunk(Message, frozen=True, tag=9):
    """Side to entry: consecutive tokens of a stream."""

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
    """Side to entry: the work was started but ended without its complete answer.

    :param crashed_boot: id of the upstream's incarnation that crashed while it ran the
        work; empty if it did not crash, or this is not known.
    """

    attempt: str
    code: ResultCode
    detail: str
    crashed_boot: str = ""


class Credit(Message, frozen=True, tag=12):
    """Entry to side: a number of further chunks may be sent."""

    session: str
    attempt: str
    chunks: Count


class Cancel(Message, frozen=True, tag=13):
    """Entry to side: end this attempt and reply with its state."""

    session: str
    attempt: str


class AttemptState(Message, frozen=True, tag=14):
    """Side to entry: state of a cancelled attempt.

    :param state: ``never_started`` (with a tombstone), ``started`` or ``done``.
    """

    attempt: str
    state: t.Literal["never_started", "started", "done"]


class ConfigPull(Message, frozen=True, tag=15):
    """Either direction: send the configuration if it is newer than this generation."""

    generation: int


class ConfigDocument(Message, frozen=True, tag=16):
    """Either direction: a whole configuration, as stored in the key-value service."""

    generation: int
    document: bytes


class VersionRefused(Message, frozen=True, tag=17):
    """Side to entry: the hello's version is too old; no session was opened.

    :param version: highest protocol version that the side speaks.
    :param oldest: lowest protocol version that the side accepts.
    :param counter: counter of the hello.
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
"""Tags of all messages in either direction."""

_ENCODER = msgspec.msgpack.Encoder()
_SIDE_DECODER = MessagePackDecoder[ToSide](ToSide)
_ENTRY_DECODER = MessagePackDecoder[ToEntry](ToEntry)


def encode(message: ToSide | ToEntry) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_to_side(frame: bytes) -> ToSide:
    """Decode a frame that a side received.

    :raises UnknownMessageError: for a message of a later version.
    :raises DecodingError: if the frame is not a valid message to a side.
    """
    try:
        return _SIDE_DECODER.decode(frame)
    except DecodingError:
        _raise_if_tag_unknown(frame)
        raise


def decode_to_entry(frame: bytes) -> ToEntry:
    """Decode a frame that an entry received.

    :raises UnknownMessageError: for a message of a later version.
    :raises DecodingError: if the frame is not a valid message to an entry.
    """
    try:
        return _ENTRY_DECODER.decode(frame)
    except DecodingError:
        _raise_if_tag_unknown(frame)
        raise


def _raise_if_tag_unknown(frame: bytes) -> None:
    """Distinguish a message of a later version from an invalid frame.

    :raises UnknownMessageError: if this version does not know the frame's tag.
    """
    match decode_msgpack(frame, object):
        case [int(tag), *_] if tag not in KNOWN_TAGS:
            raise UnknownMessageError(tag)
