"""Policy interfaces of the entry, the side and the planner, and their data types.

Times are seconds on the caller's monotonic clock, passed in with each call. Work is
counted in tokens: prompt tokens to prefill, output tokens to decode; a call of a plain
service counts as one token of each.
"""

from __future__ import annotations

import dataclasses
import typing as t

from ..config.document import RoleBounds
from ..errors import ResultCode
from ..model import Cost
from ..model import ModelCall
from ..model import Priority
from ..model import Role
from ..model import ServiceCall
from ..model import SideReport


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as one entry sees it.

    :param report: the side's last report; ``None`` before the first heartbeat.
    :param reported_at: when that report arrived.
    :param own_running: this entry's attempts there that have not ended.
    :param own_prefill: their prompt tokens not known to be prefilled.
    :param own_decode: their predicted output tokens still to come.
    :param own_since_report: this entry's (prefill, decode) tokens offered there since
        the last report was made, which the report can't include.
    """

    name: str
    zone: str
    report: SideReport | None
    reported_at: float
    own_running: int = 0
    own_prefill: int = 0
    own_decode: int = 0
    own_since_report: Cost = Cost(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Placement of an attempt, or its refusal.

    :param upstream: name of the upstream, or ``None`` if the request is refused.
    :param code: why it is refused.
    :param retry_after: seconds after which the caller may retry, if refused.
    :param prefill_only: end the attempt after the first token, export the KV cache and
        place the decode stage separately.
    """

    upstream: str | None
    code: ResultCode = ResultCode.OK
    retry_after: float | None = None
    prefill_only: bool = False


class EntryPolicy(t.Protocol):
    """Admission and placement of requests at an entry."""

    def predict(self, call: ModelCall) -> Cost:
        """Return the predicted work of a whole call."""
        ...

    def choose(
        self,
        call: ModelCall | ServiceCall,
        candidates: t.Sequence[Candidate],
        now: float,
        resumed_tokens: int = 0,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice:
        """Choose an upstream for a call's next attempt.

        :param resumed_tokens: output tokens the caller already has; above 0 the attempt
            continues from there, after a failure or a handoff.
        :param excluded: upstreams that already refused or failed this call.
        """
        ...

    def may_retry(self, call: ModelCall | ServiceCall, now: float) -> bool:
        """Spend one retry of the budget; ``False`` if there is none."""
        ...

    def on_admitted(self, call: ModelCall | ServiceCall, now: float) -> None:
        """Record that a fresh request was admitted."""
        ...

    def on_first_token(
        self, upstream: str, call: ModelCall, cached_tokens: int, now: float
    ) -> None:
        """Record how many prompt tokens an upstream found in its cache."""
        ...

    def on_ended(
        self,
        upstream: str,
        call: ModelCall | ServiceCall,
        code: ResultCode,
        output_tokens: int,
        now: float,
    ) -> None:
        """Record how an attempt ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QueueItem:
    """A request in a side's queue.

    :param cost: predicted remaining work, in tokens.
    :param weight: the tenant's weight in fair queueing.
    :param start_by: latest useful time of the first token; a point in time.
    :param deadline: latest useful end; a point in time.
    :param arrived_at: when it arrived at the side.
    :param resumed: whether it continues an earlier attempt.
    :param kv_tokens: KV cache tokens it will hold; 0 for the sum of its cost.
    :param goes_first: whether it starts before others of its tenant and priority.
    """

    attempt: str
    tenant: str
    weight: float
    request_class: str
    priority: Priority
    cost: Cost
    start_by: float
    deadline: float
    arrived_at: float
    resumed: bool = False
    kv_tokens: int = 0
    goes_first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Present speed of an upstream, as its side policy estimates it.

    :param prefill_rate: prompt tokens a second.
    :param waits: predicted seconds until new work of each priority would start; empty
        if they are not predicted.
    :param token_seconds: seconds between the tokens of one answer; 0 if not measured.
    """

    prefill_rate: float
    waits: tuple[float, ...] = ()
    token_seconds: float = 0.0


class SidePolicy(t.Protocol):
    """Queueing and scheduling of requests at a side."""

    def configure(
        self,
        max_streams: int,
        kv_capacity: int,
        prefill_rate: float,
        decode_rate: float,
        role: Role | None,
    ) -> None:
        """Set the upstream's capacity in its present role."""
        ...

    def offer(self, item: QueueItem, now: float) -> ResultCode:
        """Queue an item and return ``OK``, or refuse it at once with a code."""
        ...

    def next(self, now: float) -> QueueItem | None:
        """Remove and return the next item to start; ``None`` if none may start."""
        ...

    def on_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Record output tokens of a started item; the first ends its prefill."""
        ...

    def on_ended(self, attempt: str, now: float) -> None:
        """Record that a started item ended."""
        ...

    def withdraw(self, attempt: str) -> bool:
        """Remove a waiting item; ``False`` if it is not waiting."""
        ...

    def expire(self, now: float) -> list[tuple[QueueItem, ResultCode]]:
        """Remove the items that can no longer be answered in time."""
        ...

    def waiting(self) -> int:
        """Return the number of waiting items."""
        ...

    def waiting_cost(self) -> Cost:
        """Return the work of the waiting items."""
        ...

    def running_decode(self) -> int:
        """Return the predicted output tokens still to come of started items."""
        ...

    def kv_free(self) -> float:
        """Return the share of KV memory not promised to started items."""
        ...

    def speed(self) -> UpstreamSpeed:
        """Return the upstream's present speed."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the planner sees it.

    :param report: its side's last report; ``None`` before the first one.
    :param reported_at: when that report arrived.
    :param role: its role in the plan.
    :param fresh_until: until when the report may be used; ``None`` leaves it to the
        policy.
    :param changing: whether the engine's state differs from the plan.
    """

    name: str
    zone: str
    report: SideReport | None
    reported_at: float
    role: Role
    changing: bool
    fresh_until: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSnapshot:
    """State of a group of interchangeable engines at one time.

    :param bounds: minimum and maximum number of engines for each role, from the
        selector.
    :param change_seconds: seconds for which a role change takes an engine away.
    """

    group: str
    engines: tuple[EngineView, ...]
    bounds: dict[Role, RoleBounds]
    change_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """A role change requested by the shift policy."""

    engine: str
    role: Role
    reason: str


class ShiftPolicy(t.Protocol):
    """Decides when the roles of a group follow its mix of work."""

    def decide(self, snapshot: GroupSnapshot, now: float) -> RoleChange | None:
        """Return the one change to start now, or ``None``."""
        ...
