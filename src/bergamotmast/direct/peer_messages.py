"""Messages between entries, and their dispatch."""

from __future__ import annotations

import collections.abc as cabc
import logging
import typing as t

import msgspec

from ..decoding import DecodingError
from ..decoding import MessagePackDecoder
from ..policy.response_samples import STEPS
from ..policy.scarcity import Report
from ..policy.unresponsive_engines import MAX_NAMED
from .prefill_notice import MeasuredPrefillNotice
from .prefill_notice import PrefillNotice

logger = logging.getLogger(__name__)

Address: t.TypeAlias = tuple[str, int]

Send: t.TypeAlias = cabc.Callable[[bytes, Address], None]
"""Sends a datagram without blocking."""


class SentNoticeBatch(msgspec.Struct, frozen=True, array_like=True, tag="notices"):
    """A batch of notices as an entry sends it, each with the fields that it needs.

    :param sender: name of the entry.
    """

    sender: str
    notices: tuple[PrefillNotice, ...]


class NoticeBatch(msgspec.Struct, frozen=True, array_like=True, tag="notices"):
    """A batch of notices from one entry, as received.

    :param sender: name of the entry.
    """

    sender: str
    notices: tuple[MeasuredPrefillNotice, ...]


class UsageCounts(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """Part of the counts of one source in one window.

    :param sender: name of the entry that sends it; the source's own or another one.
    :param entry: name of the source.
    :param boot: random number of the source's incarnation.
    :param counts: requests by tenant.
    :param total: requests of all tenants, to recognize that parts are missing.
    :param final: whether the source's counts of the window will not grow any more.
    """

    sender: str
    entry: str
    boot: int
    window: int
    counts: dict[str, t.Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]]
    total: int
    final: bool = False


class UsageQuery(msgspec.Struct, frozen=True, array_like=True, tag="usage-query"):
    """Asks an entry for all counts that it knows of one window.

    :param sender: name of the entry that asks.
    """

    sender: str
    window: int


class StreamBuildCopies(msgspec.Struct, frozen=True, array_like=True, tag="builds"):
    """Builds at which streams began.

    :param copies: group and build, by the hash of the stream.
    """

    copies: dict[int, tuple[str, str]]


class StreamBuildQuery(msgspec.Struct, frozen=True, array_like=True, tag="build-query"):
    """Asks an entry for the build at which a stream began.

    :param stream: hash of the stream.
    :param group: group in which it is to go on.
    """

    stream: int
    group: str


class GroupBuilds(msgspec.Struct, frozen=True, array_like=True, tag="group-builds"):
    """Builds of a group, from an entry that doesn't know a stream.

    :param seconds: for how many seconds each build may still have streams.
    :param stream: hash of the stream; 0 from an entry of an earlier version.
    """

    group: str
    seconds: dict[str, t.Annotated[float, msgspec.Meta(ge=0, le=60)]]
    stream: int = 0


Rate: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0)]

Seconds: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0)]


class SlotQuery(msgspec.Struct, frozen=True, array_like=True, tag="slot-query"):
    """Asks an entry when a request may be sent to an upstream that limits its requests.

    :param number: number of the query, which the reply repeats.
    :param upstream: hash of the upstream's incarnation.
    :param share: share of the limit that the entry is to assign.
    :param wait: for how many seconds the request can wait.
    :param rate: the limit as the asking entry knows it, in requests a second.
    :param age: for how many seconds it has known that limit.
    """

    number: int
    upstream: int
    share: t.Annotated[float, msgspec.Meta(gt=0, le=1)]
    wait: Seconds
    rate: Rate
    age: Seconds


class SlotReply(msgspec.Struct, frozen=True, array_like=True, tag="slot"):
    """Tells when a request may be sent.

    :param wait: in how many seconds it may be; ``None`` if not in time.
    :param next_wait: in how many seconds the next one may be, at the earliest.
    :param rate: the limit as the replying entry knows it, in requests a second.
    :param age: for how many seconds it has known that limit.
    """

    number: int
    upstream: int
    wait: Seconds | None
    next_wait: Seconds
    rate: Rate
    age: Seconds


StepSums: t.TypeAlias = dict[
    t.Annotated[int, msgspec.Meta(ge=0, lt=STEPS)],
    tuple[
        t.Annotated[float, msgspec.Meta(ge=0, le=1e6)],
        t.Annotated[float, msgspec.Meta(ge=-1e7, le=1e7)],
    ],
]
"""Weight and weighted total of the logarithms of response times, by range of fill."""


class CapacitySamples(msgspec.Struct, frozen=True, array_like=True, tag="capacity"):
    """New response times of an upstream, from one entry to the upstream's keeper.

    :param upstream: hash of the upstream's incarnation.
    """

    upstream: int
    sums: StepSums


class CombinedCapacity(msgspec.Struct, frozen=True, array_like=True, tag="capacities"):
    """Response times of an upstream at all entries, from the upstream's keeper.

    :param upstream: hash of the upstream's incarnation.
    """

    upstream: int
    sums: StepSums


Fraction: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0, le=1)]


class ShareReport(Report, frozen=True, array_like=True, tag="share-report"):
    """Tells the keeper of a group what an entry has seen of it.

    The fields of the report follow these two in the datagram.

    :param sender: key under which the entry registers.
    """

    sender: str
    group: str


class ShareNotice(msgspec.Struct, frozen=True, array_like=True, tag="shares"):
    """Tells an entry what to admit of each tenant's requests to a group.

    :param sender: key under which the keeper registers.
    :param watched: whether the entry should report what it sees of the group.
    :param short: whether the group is short of capacity.
    :param fractions: admitted fraction by hash of the tenant.
    :param rest: admitted fraction of tenants that are not named.
    :param judged: whether the sender has judged the group; it may still wait for the
        first reports.
    """

    sender: str
    group: str
    watched: bool
    short: bool
    fractions: t.Annotated[dict[int, Fraction], msgspec.Meta(max_length=128)]
    rest: Fraction
    judged: bool = True


ProbeAges: t.TypeAlias = t.Annotated[
    dict[int, t.Annotated[float, msgspec.Meta(ge=0, le=60)]],
    msgspec.Meta(max_length=MAX_NAMED + 1),
]
"""Age in seconds of an event, by hash of the engine's incarnation. One more than an
entry may name tells that it names too many."""


class LivenessNotice(msgspec.Struct, frozen=True, array_like=True, tag="liveness"):
    """Tells which engines don't respond to an entry, or do respond to it.

    :param sender: key under which the entry registers.
    :param unresponsive: engines whose probe failed, since the probe was sent.
    :param responsive: engines that others find unresponsive, since their last reply.
    """

    sender: str
    unresponsive: ProbeAges
    responsive: ProbeAges


PeerMessage: t.TypeAlias = (
    NoticeBatch
    | UsageCounts
    | UsageQuery
    | StreamBuildCopies
    | StreamBuildQuery
    | GroupBuilds
    | SlotQuery
    | SlotReply
    | CapacitySamples
    | CombinedCapacity
    | ShareReport
    | ShareNotice
    | LivenessNotice
)


class PeerInbox:
    """Decodes datagrams from other entries and passes each to its receiver.

    :param receivers: receiver of each type of message.
    """

    def __init__(self) -> None:
        self.receivers: dict[type, cabc.Callable[[t.Any, Address], None]] = {}
        self.decoder = MessagePackDecoder[PeerMessage](PeerMessage)

    def receive(self, data: bytes, address: Address) -> None:
        """Handle a datagram; invalid data is dropped."""
        try:
            message = self.decoder.decode(data)
        except DecodingError as error:
            logger.warning("datagram cannot be decoded", extra={"error": str(error)})
            return
        receiver = self.receivers.get(type(message))
        if receiver is not None:
            receiver(message, address)
