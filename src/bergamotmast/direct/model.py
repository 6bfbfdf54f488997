"""What a direct entry knows: routes, groups of upstreams, requests."""

from __future__ import annotations

import dataclasses
import enum
import math

from ..model import Role
from ..policy.size_shares import SizedPrompt


class CallKind(enum.Enum):
    """What of a route's requests may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A group that gets a share of a route's requests.

    :param group: value of the upstreams' group label.
    :param weight: share against the weights of the route's other targets.
    """

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests belong to which groups, and what their callers may expect.

    :param host: value of the request's ``Host``, without a port.
    :param prefix: beginning of the path, with a slash at both ends.
    :param timeout: seconds after which a request is ended.
    :param objective: seconds to the answer, or to a stream's first event.
    :param gap_objective: seconds between two events of a stream; 0 for none.
    :param patience: seconds after which a caller leaves a stream without an event.
    :param max_attempts: most upstreams that one request may be sent to.
    :param rank: urgency; 0 is the most urgent.
    :param resumable: whether a stream may go on at another upstream.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """What all engines of a group have in common.

    :param slots: most requests in one batch.
    :param kv_capacity: tokens of KV memory.
    :param handle_seconds: how long an exported KV cache is kept.
    """

    slots: int
    kv_capacity: int
    handle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Upstreams that carry the same; with ``engine`` they serve models."""

    name: str
    engine: EngineTraits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and how long a connection may be idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """One version of the operators' configuration.

    :param generation: rises with each version.
    """

    generation: int
    routes: tuple[Route, ...]
    groups: dict[str, Group]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as it has registered itself.

    :param boot: changes when it restarts under the same name.
    :param group: value of its group label.
    :param slots: most requests it takes at once.
    :param role: an engine's role; ``None`` for a plain service.
    """

    name: str
    boot: str
    group: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    role: Role | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallTraits:
    """What a caller's headers say of its request.

    :param request_id: empty where there is none.
    :param time_left: seconds the caller waits; ``None`` where it does not say.
    :param last_event: number of the last event that the caller has; 0 for none.
    :param expected_tokens: the caller's estimate of the output; 0 for none.
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
    """A request let in, with all points in time on the local monotonic clock.

    :param target: path and query as received.
    :param headers: headers to pass on, without those of one connection.
    :param deadline: when the answer must be out.
    :param parts: hash and length of the parts of its prompt, in order.
    :param sized: its prompt among those of its route; ``None`` without one.
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
    parts: tuple[tuple[int, int], ...] = ()
    sized: SizedPrompt | None = None

    @property
    def goes_first(self) -> bool:
        """Whether its prompt is read before the others of its rank."""
        return self.sized is not None and self.sized.goes_first

    @property
    def leaves_at(self) -> float:
        """When the caller leaves if it has no event by then; a point in time."""
        return min(self.deadline, self.arrived_at + self.route.patience)
