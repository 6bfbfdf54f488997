"""What the entry, the side and the planner ask of a policy, and in which terms.

Times are points on the caller's monotonic clock in seconds, handed in with each
call. Work is counted in tokens: prompt tokens to prefill, output tokens to decode;
a call of a plain service counts as one token of each.
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
    """An upstream as one entry knows it.

    :param report: the side's last word; ``None`` before the first heartbeat.
    :param reported_at: when that word arrived.
    :param own_running: this entry's attempts there that have not ended.
    :param own_prefill: their prompt tokens not known to be prefilled.
    :param own_decode: their predicted output tokens still to come.
    :param own_since_report: this entry's (prefill, decode) tokens offered there since
        the last report was made, which the report can't know.
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
    """Where an attempt goes.

    :param upstream: name of the upstream, or ``None`` where the request is refused.
    :param code: why it is refused.
    :param retry_after: seconds after which the caller may come back, if refused.
    :param prefill_only: end the attempt after the first token, export the KV cache
        and ask again for a place to decode.
    """

    upstream: str | None
    code: ResultCode = ResultCode.OK
    retry_after: float | None = None
    prefill_only: bool = False


class EntryPolicy(t.Protocol):
    """What is let in at an entry and where it goes."""

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

        :param resumed_tokens: output tokens the caller already has; above 0 the
            attempt goes on from there, after a failure or a handoff.
        :param excluded: upstreams that already refused or failed this call.
        """
        ...

    def may_retry(self, call: ModelCall | ServiceCall, now: float) -> bool:
        """Spend one retry of the budget; ``False`` if there is none."""
        ...

    def on_admitted(self, call: ModelCall | ServiceCall, now: float) -> None:
        """Learn that a fresh request was let in."""
        ...

    def on_first_token(
        self, upstream: str, call: ModelCall, cached_tokens: int, now: float
    ) -> None:
        """Learn how many prompt tokens an upstream found in its cache."""
        ...

    def on_ended(
        self,
        upstream: str,
        call: ModelCall | ServiceCall,
        code: ResultCode,
        output_tokens: int,
        now: float,
    ) -> None:
        """Learn how an attempt ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QueueItem:
    """A request waiting at a side.

    :param cost: predicted work left, in tokens.
    :param weight: the tenant's weight.
    :param start_by: latest useful start of a first token; a point in time.
    :param deadline: latest useful end; a point in time.
    :param arrived_at: when it arrived at the side.
    :param resumed: whether it goes on from an earlier attempt.
    :param kv_tokens: KV memory it will hold; 0 for as much as it costs.
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
    """How fast an upstream is now, as its side policy sees it.

    :param prefill_rate: prompt tokens a second.
    :param waits: predicted seconds until new work of each priority would begin; empty
        where they are not predicted.
    :param token_seconds: seconds between the tokens of one answer; 0 if not measured.
    """

    prefill_rate: float
    waits: tuple[float, ...] = ()
    token_seconds: float = 0.0


class SidePolicy(t.Protocol):
    """What waits at a side, for how long, and what starts next."""

    def configure(
        self,
        max_streams: int,
        kv_capacity: int,
        prefill_rate: float,
        decode_rate: float,
        role: Role | None,
    ) -> None:
        """Learn the upstream's size in its present role."""
        ...

    def offer(self, item: QueueItem, now: float) -> ResultCode:
        """Queue an item and return ``OK``, or refuse it at once with a code."""
        ...

    def next(self, now: float) -> QueueItem | None:
        """Take the next item to start, or ``None`` if none may start now."""
        ...

    def on_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Learn of output tokens of a started item; the first ends its prefill."""
        ...

    def on_ended(self, attempt: str, now: float) -> None:
        """Learn that a started item ended."""
        ...

    def withdraw(self, attempt: str) -> bool:
        """Take a waiting item out; ``False`` if it is not waiting."""
        ...

    def expire(self, now: float) -> list[tuple[QueueItem, ResultCode]]:
        """Take out the items that can no longer be answered in time."""
        ...

    def waiting(self) -> int:
        """Return how many items wait."""
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
        """Return how fast the upstream is now."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the planner knows it.

    :param report: its side's last word; ``None`` if never heard.
    :param reported_at: when that word arrived.
    :param role: the role the plan gives it.
    :param fresh_until: until when that word may be acted on; ``None`` leaves it to the
        policy.
    :param changing: whether the plan and the engine differ.
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
    """One group of engines that may stand in for each other.

    :param bounds: least and most engines for each role, from the selector.
    :param change_seconds: how long a role change takes an engine away.
    """

    group: str
    engines: tuple[EngineView, ...]
    bounds: dict[Role, RoleBounds]
    change_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """A role change that the shift policy asks for."""

    engine: str
    role: Role
    reason: str


class ShiftPolicy(t.Protocol):
    """How fast the roles of a group follow its mix."""

    def decide(self, snapshot: GroupSnapshot, now: float) -> RoleChange | None:
        """Return the one change to begin now, or ``None``."""
        ...
