"""The frozen data that every part of the package speaks of."""

from __future__ import annotations

import dataclasses
import enum
import typing as t

import msgspec


class Role(enum.Enum):
    """What an engine does with its time."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class UpstreamKind(enum.Enum):
    """What stands behind a side process."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(enum.IntEnum):
    """Order in which waiting work is taken; lower goes first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


class Readiness(enum.Enum):
    """Whether an upstream may be given new work."""

    READY = "ready"
    CHANGING = "changing"
    UNKNOWN = "unknown"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceInfo:
    """One upstream as the instance list names it.

    :param name: unique name of the upstream.
    :param kind: engine or plain service.
    :param zone: availability zone.
    :param side_address: where its side process listens, ``host:port``.
    :param upstream_url: where the upstream itself listens.
    :param leaving: whether the platform is about to take it away.
    """

    name: str
    kind: UpstreamKind
    zone: str
    side_address: str
    upstream_url: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A request for a model, as the entry admitted it.

    :param request_id: unique over the life of the system.
    :param tenant: who pays.
    :param request_class: name of the class in the configuration.
    :param priority: order among waiting work.
    :param model: name of the model, ``model`` or ``model:adapter``.
    :param prompt: the whole prompt.
    :param prompt_tokens: estimated length of the prompt in tokens.
    :param max_tokens: the most tokens the caller takes.
    :param prefix_key: hash of the shareable head of the prompt; empty for none.
    :param first_token_by: point on the local monotonic clock, seconds.
    :param deadline: point on the local monotonic clock, seconds.
    :param arrived_at: point on the local monotonic clock, seconds.
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
    first_token_by: float
    deadline: float
    arrived_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request for a plain service, as the entry admitted it.

    :param request_id: unique over the life of the system.
    :param tenant: who pays.
    :param request_class: name of the class in the configuration.
    :param priority: order among waiting work.
    :param route: name of the route in the configuration.
    :param method: HTTP method.
    :param path: path at the service, with its query.
    :param body: body as received.
    :param content_type: media type of the body.
    :param repeatable: whether the call may run more than once.
    :param idempotency_key: the caller's key; empty for none.
    :param deadline: point on the local monotonic clock, seconds.
    :param arrived_at: point on the local monotonic clock, seconds.
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
    """The whole answer of a plain service."""

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """A run of generated tokens.

    :param index: position of the first token in the whole answer, from 0.
    :param tokens: how many tokens the text stands for.
    :param text: the text itself.
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
    """What a side asks of its engine.

    :param stream_id: unique name by which the stream can be cancelled: the request's
        id, a slash, and the attempt's name.
    :param resume_text: text already given to the caller; empty at the start.
    :param resume_tokens: how many tokens that text stands for.
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
    """Authority of a plan: a higher one makes every lower one void.

    :param epoch: raised by each new holder of the planner's lease.
    :param revision: raised by each write of the plan.
    """

    epoch: int
    revision: int


NO_TOKEN = FencingToken(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """What one engine should be and carry.

    :param role: the role it should have.
    :param models: models it should carry, ``name@version``, sorted.
    :param adapters: adapters it should carry, ``name@version``, sorted.
    """

    role: Role
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One instruction to an engine: be this, under this authority."""

    token: FencingToken
    assignment: Assignment


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says it is.

    :param boot_id: changes when the engine restarts.
    :param assignment: what it is and carries now; ``None`` while that is not settled.
    :param changing: whether an order is being carried out.
    :param token: authority of the last order taken; ``NO_TOKEN`` after a restart or
        where the engine does not keep it.
    :param max_streams: the most streams it batches in this role.
    :param kv_capacity: tokens its KV memory holds.
    :param prefill_rate: prompt tokens a second in this role, with an empty batch.
    :param decode_rate: output tokens a second in this role, with a full batch.
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
    """A load report, as old as the engine's reporting lag.

    :param measured_at: point on the local monotonic clock, seconds.
    :param running: streams being decoded.
    :param waiting: streams not yet prefilled.
    :param kv_used: tokens held in KV memory.
    """

    measured_at: float
    running: int
    waiting: int
    kv_used: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One prefix entering or leaving an engine's cache.

    :param sequence: counted by the engine from 1; a gap means lost events.
    """

    sequence: int
    prefix_key: str
    present: bool


_Rate: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class SideReport(msgspec.Struct, frozen=True, array_like=True):
    """What a side says of itself on each heartbeat; exact when sent.

    Token counters are cumulative since the side started, so that a lost report
    loses nothing.

    :param readiness: whether it takes new work.
    :param role: the engine's role; ``None`` for a plain service.
    :param models: models and adapters the upstream carries now.
    :param running: requests handed to the upstream and not ended.
    :param queued: requests waiting at the side.
    :param queued_prefill: prompt tokens of the queued work.
    :param queued_decode: predicted output tokens of the queued work.
    :param running_decode: predicted output tokens still to come of running work.
    :param max_streams: most requests the upstream takes at once.
    :param prefill_rate: prompt tokens a second, as engine states or side measured.
    :param decode_rate: output tokens a second with a full batch.
    :param offered_prefill: prompt tokens offered, cumulative.
    :param offered_decode: predicted output tokens offered, cumulative.
    :param done_prefill: prompt tokens prefilled, cumulative.
    :param done_decode: output tokens produced, cumulative.
    :param shed: requests refused, cumulative.
    :param kv_free: free share of KV memory, 0 to 1.
    :param waits_ms: predicted milliseconds until new work of each priority would begin;
        empty where the side does not predict.
    :param token_us: microseconds between the tokens of one answer; 0 if not measured.
    :param plan_epoch: of the plan that the side obeys; 0 before the first.
    :param plan_revision: of the same plan.
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
    """Predicted work of one request, in tokens."""

    prefill: int
    decode: int
