"""Data model of a direct entry: routes, groups of upstreams and requests."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import math
import typing as t

from ..crashes.fingerprint import part_name
from ..model import ReplicaBounds
from ..model import Role
from ..policy.priority import SINGLE_BAND
from ..policy.priority import Rank
from ..policy.size_shares import SizedPrompt
from .shares.share_ticket import ShareTicket
from .tenants import Tenant
from .tenants import TenantIndex

UNKNOWN_BUILD = ""
"""Build of the upstreams that register no software version. They are taken for equal:
otherwise, no stream of a group without versions could go on at another upstream."""

UNREGISTERED_PREFIX = "?"
"""First character of the names of builds that no registration has told. A software
version that begins with it is hashed."""

UNTOLD_BOOT = "0"
"""Boot of an upstream whose registration doesn't tell its start. There is nothing to
compare with what the upstream itself tells."""

MAX_BUILD_CHARACTERS = 64
"""Longest name of a build. Entries send it in datagrams; a longer one is hashed."""


class CallKind(enum.Enum):
    """Whether a route's requests may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A group that receives a share of a route's requests.

    :param group: value of the upstreams' group label.
    :param weight: weight relative to the route's other targets.
    """

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule that assigns requests to groups of upstreams.

    :param host: value of the request's ``Host`` header, without a port.
    :param prefix: prefix of the path, with a slash at both ends.
    :param timeout: maximum duration of a request in seconds.
    :param objective: latency objective in seconds, to the response or to a stream's
        first event.
    :param gap_objective: objective for the time between two events of a stream, in
        seconds; 0 for none.
    :param patience: seconds after which a caller disconnects from a stream that has
        sent no event.
    :param max_attempts: maximum number of upstreams that a request may be sent to.
    :param rank: priority rank; 0 is the most urgent.
    :param resumable: whether a stream may be resumed at another upstream.
    :param public: whether callers need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    timeout: float
    objective: float
    max_attempts: int = 1
    rank: int = 0
    resumable: bool = False
    gap_objective: float = 0.0
    patience: float = math.inf
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Capacity of each engine of a group.

    :param slots: maximum number of requests in one batch.
    :param kv_capacity: KV memory in tokens.
    :param handle_seconds: how long an exported KV cache is kept.
    """

    slots: int
    kv_capacity: int
    handle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group of interchangeable upstreams.

    :param engine: traits of the engines; ``None`` for plain services.
    :param scaling: bounds of the replicas that are ordered; ``None`` to order none.
    """

    name: str
    engine: EngineTraits | None = None
    scaling: ReplicaBounds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and the idle time of connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """One version of the routing configuration.

    :param generation: version number, which increases with each version.
    :param tenants: the tenants and their API keys; ``None`` if callers need no key.
    """

    generation: int
    routes: tuple[Route, ...]
    groups: dict[str, Group]
    limits: CallerLimits
    tenants: TenantIndex | None = None


UpstreamKey: t.TypeAlias = tuple[str, str]
"""Name and boot of an upstream, as its load and caches are lost in a restart."""


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """The registration of one upstream.

    :param boot: id of the incarnation, which changes with each restart.
    :param group: value of the group label.
    :param slots: maximum number of concurrent requests.
    :param leaving: whether it is draining and must get no new requests.
    :param role: role of an engine; ``None`` for a plain service.
    :param build: version of its software. What two builds have written, events of a
        stream or a KV cache, can't be combined.
    """

    name: str
    boot: str
    group: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    role: Role | None = None
    build: str = UNKNOWN_BUILD

    @property
    def key(self) -> UpstreamKey:
        """Key of its incarnation."""
        return self.name, self.boot


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallTraits:
    """Information from a request's headers.

    :param request_id: the caller's id of the request; empty if missing.
    :param time_left: seconds to the caller's deadline; ``None`` if not given.
    :param last_event: number of the last event that the caller received; 0 for none.
    :param prompt_tokens: length of the prompt.
    :param max_tokens: limit on the output.
    :param expected_tokens: the caller's estimate of the output; 0 for none.
    :param parts: parts of the prompt, in order.
    """

    request_id: str
    time_left: float | None
    last_event: int = 0
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An admitted request; points in time are on the local monotonic clock.

    :param target: path and query as received.
    :param headers: headers to forward, without hop-by-hop headers.
    :param deadline: when the response must be complete.
    :param caller: address that the caller's connection comes from; empty if unknown.
    :param began_as: id of the caller's request that brought the first event of the
        stream; its own id unless it resumes a stream.
    :param build: build at which a resumed stream must go on; ``None`` for any.
    :param has_begun: whether the stream is taken to have begun before, so that it
        precedes new ones.
    :param parts: hash and length of the parts of the prompt, in order.
    :param sized_prompt: the prompt in its size class; ``None`` for a request without
        one.
    :param tenant: the tenant that sent it; ``None`` if it needed no API key.
    :param share: its account under the shares of tenants; ``None`` without one.
    """

    traits: CallTraits
    route: Route
    group: Group
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float
    deadline: float
    caller: str = ""
    began_as: str = ""
    build: str | None = None
    has_begun: bool = False
    parts: tuple[tuple[int, int], ...] = ()
    sized_prompt: SizedPrompt | None = None
    tenant: Tenant | None = None
    share: ShareTicket | None = None

    @property
    def shared_part_names(self) -> tuple[str, ...]:
        """Names of the parts of the prompt that other prompts may share.

        The last part belongs to the request itself or to its session.
        """
        keys = dict.fromkeys(part.key for part in self.traits.parts[:-1])
        return tuple(part_name(key) for key in keys)

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty if there is none."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def rank(self) -> Rank:
        """Priority rank: the tenant's band first, then the route's rank."""
        band = self.tenant.band if self.tenant is not None else SINGLE_BAND
        return Rank(self.route.rank, band)

    @property
    def goes_first(self) -> bool:
        """Whether the prompt is prefilled before all others of its priority rank."""
        return self.has_begun or self.has_size_precedence

    @property
    def has_size_precedence(self) -> bool:
        """Whether the prompt goes first as its size class has a deficit."""
        return self.sized_prompt is not None and self.sized_prompt.goes_first

    @property
    def caller_timeout_at(self) -> float:
        """Point in time at which the caller disconnects if it has received no event."""
        return min(self.deadline, self.arrived_at + self.route.patience)


def build_name(version: str) -> str:
    """Return the name of a build from a registration's software version."""
    is_taken = version.startswith(UNREGISTERED_PREFIX)
    if len(version) <= MAX_BUILD_CHARACTERS and not is_taken:
        return version
    return hashlib.sha256(version.encode(errors="surrogatepass")).hexdigest()
