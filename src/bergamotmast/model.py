"""Immutable data types that all parts of the package share."""

from __future__ import annotations

import dataclasses
import enum
import typing as t

import msgspec


class Role(enum.Enum):
    """Role of an engine: prefill, decode, or both."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaBounds:
    """Bounds of a group's number of replicas in each availability zone.

    :param boot_seconds: time from an order to a new replica's first request.
    """

    least: int
    most: int
    boot_seconds: float

    @property
    def are_valid(self) -> bool:
        """Whether some number is within the bounds, and the time is not negative."""
        return 0 <= self.least <= self.most and self.boot_seconds >= 0

    def clamp(self, count: int) -> int:
        """Return the nearest number within the bounds."""
        return min(max(count, self.least), self.most)


UNREADABLE_BOUNDS = ReplicaBounds(0, -1, 0.0)
"""Bounds that nothing meets, in place of those that can't be read."""


class UpstreamKind(enum.Enum):
    """Kind of upstream beside a side process."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(enum.IntEnum):
    """Priority of queued work; a lower value is scheduled first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


class Readiness(enum.Enum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    CHANGING = "changing"
    UNKNOWN = "unknown"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceInfo:
    """Entry of the instance list for one upstream.

    :param name: unique name of the upstream.
    :param kind: engine or plain service.
    :param zone: availability zone.
    :param side_address: listening address of its side process, ``host:port``.
    :param upstream_url: base URL of the upstream itself.
    :param leaving: whether the platform is about to remove it.
    """

    name: str
    kind: UpstreamKind
    zone: str
    side_address: str
    upstream_url: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A model request that the entry has admitted.

    :param request_id: id that is unique over the life of the system.
    :param tenant: tenant that the request is accounted to.
    :param request_class: name of the class in the configuration.
    :param priority: priority among queued work.
    :param model: name of the model, ``model`` or ``model:adapter``.
    :param prompt: the whole prompt.
    :param prompt_tokens: estimated length of the prompt in tokens.
    :param max_tokens: maximum number of output tokens that the caller accepts.
    :param prefix_key: hash of the prompt's shareable prefix; empty for none.
    :param first_token_deadline: deadline of the first token, seconds on the local
        monotonic clock.
    :param deadline: deadline of the whole response, seconds on the local monotonic
        clock.
    :param arrived_at: arrival time, seconds on the local monotonic clock.
    """

    request_id: str
    tenant: str
    request_class: str
    priority: Priority
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    prefix_key: str
    first_token_deadline: float
    deadline: float
    arrived_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request for a plain service that the entry has admitted.

    :param request_id: id that is unique over the life of the system.
    :param tenant: tenant that the request is accounted to.
    :param request_class: name of the class in the configuration.
    :param priority: priority among queued work.
    :param route: name of the route in the configuration.
    :param method: HTTP method.
    :param path: path at the service, including the query string.
    :param body: request body as received.
    :param content_type: media type of the body.
    :param repeatable: whether the call is idempotent and may run more than once.
    :param idempotency_key: idempotency key sent by the caller; empty for none.
    :param deadline: deadline of the response, seconds on the local monotonic clock.
    :param arrived_at: arrival time, seconds on the local monotonic clock.
    """

    request_id: str
    tenant: str
    request_class: str
    priority: Priority
    route: str
    method: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    idempotency_key: str
    deadline: float
    arrived_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete response of a plain service."""

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """One or more consecutive output tokens.

    :param index: position of the first token in the whole output, from 0.
    :param tokens: number of tokens in this chunk.
    :param text: text of these tokens.
    :param finish: ``stop`` or ``length`` on the last chunk, ``handoff`` where a
        prefill stage ends with its KV cache exported, else empty.
    :param cached_tokens: prompt tokens found in the engine's prefix cache.
    :param kv_handle: name of the exported KV cache; empty for none.
    """

    index: int
    tokens: int
    text: str
    finish: str = ""
    cached_tokens: int = 0
    kv_handle: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """Generation request that a side sends to its engine.

    :param stream_id: unique id by which the stream can be cancelled: the request's id,
        a slash, and the attempt's name.
    :param resume_text: output already sent to the caller, from which an interrupted
        stream continues; empty at the start.
    :param resume_tokens: number of tokens in ``resume_text``.
    :param kv_handle: exported KV cache to import; empty for none.
    :param prefill_only: stop after the first token and export the KV cache.
    """

    stream_id: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: Priority
    prefix_key: str = ""
    resume_text: str = ""
    resume_tokens: int = 0
    kv_handle: str = ""
    prefill_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FencingToken:
    """Fencing token of a plan: a higher one invalidates every lower one.

    :param epoch: incremented by each new holder of the planner's lease.
    :param revision: incremented by each write of the plan.
    """

    epoch: int
    revision: int


NO_FENCING_TOKEN = FencingToken(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Role, models and adapters assigned to one engine.

    :param role: assigned role.
    :param models: models to load, ``name@version``, sorted.
    :param adapters: adapters to load, ``name@version``, sorted.
    """

    role: Role
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Command to an engine to apply an assignment, with the plan's fencing token."""

    token: FencingToken
    assignment: Assignment


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    :param boot_id: id that changes when the engine restarts.
    :param assignment: current role, models and adapters; ``None`` while they change.
    :param changing: whether the engine is applying an order.
    :param token: fencing token of the last accepted order; ``NO_FENCING_TOKEN`` after a
        restart or if the engine doesn't store it.
    :param max_streams: maximum batch size in this role, streams.
    :param kv_capacity: capacity of the KV cache, tokens.
    :param prefill_rate: prompt tokens per second in this role, with an empty batch.
    :param decode_rate: output tokens per second in this role, with a full batch.
    """

    boot_id: str
    assignment: Assignment | None
    changing: bool
    token: FencingToken
    max_streams: int
    kv_capacity: int
    prefill_rate: float
    decode_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine, which lags behind by its reporting interval.

    :param measured_at: time of the measurement, seconds on the local monotonic clock.
    :param running: number of streams being decoded.
    :param waiting: number of streams not yet prefilled.
    :param kv_used: tokens in the KV cache.
    """

    measured_at: float
    running: int
    waiting: int
    kv_used: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Insertion of a prefix into an engine's cache, or its eviction.

    :param sequence: sequence number, counted by the engine from 1; a gap means that
        events were lost.
    :param present: whether the prefix is now cached.
    """

    sequence: int
    prefix_key: str
    present: bool


_Rate: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class SideReport(msgspec.Struct, frozen=True, array_like=True):
    """Status of a side and its upstream, sent with each heartbeat.

    All values are exact at the time of sending. Token counters are cumulative since the
    start of the side, so that a lost report loses no data.

    :param readiness: whether the side accepts new work.
    :param role: the engine's role; ``None`` for a plain service.
    :param models: models and adapters that the upstream has loaded.
    :param running: number of requests running at the upstream.
    :param queued: number of requests queued at the side.
    :param queued_prefill: prompt tokens of the queued work.
    :param queued_decode: predicted output tokens of the queued work.
    :param running_decode: predicted remaining output tokens of the running work.
    :param max_streams: maximum number of concurrent requests at the upstream.
    :param prefill_rate: prompt tokens per second, as the engine states or the side has
        measured.
    :param decode_rate: output tokens per second with a full batch.
    :param offered_prefill: prompt tokens offered, cumulative.
    :param offered_decode: predicted output tokens offered, cumulative.
    :param done_prefill: prompt tokens prefilled, cumulative.
    :param done_decode: output tokens produced, cumulative.
    :param shed: refused requests, cumulative.
    :param kv_free: free share of the KV cache, 0 to 1.
    :param waits_ms: predicted queueing delay of new work by priority, milliseconds;
        empty if the side makes no prediction.
    :param token_us: inter-token latency of a stream, microseconds; 0 if not measured.
    :param plan_epoch: epoch of the plan that the side follows; 0 before the first.
    :param plan_revision: revision of the same plan.
    """

    readiness: Readiness
    role: Role | None
    models: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    queued_prefill: int = 0
    queued_decode: int = 0
    running_decode: int = 0
    max_streams: t.Annotated[int, msgspec.Meta(ge=1)] = 1
    prefill_rate: _Rate = 1.0
    decode_rate: _Rate = 1.0
    offered_prefill: int = 0
    offered_decode: int = 0
    done_prefill: int = 0
    done_decode: int = 0
    shed: int = 0
    kv_free: t.Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)] = 1.0
    waits_ms: tuple[int, ...] = ()
    token_us: int = 0
    plan_epoch: int = 0
    plan_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Predicted cost of a request: prompt and output tokens."""

    prefill: int
    decode: int
