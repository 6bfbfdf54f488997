"""Baseline policies to compare the default ones with.

Each handles some load patterns well and fails at others: round robin ignores length and
state, random ignores state, least outstanding counts requests and not work, a static
split has the wrong roles once the mix changes, and a greedy threshold follows every
swing. Their only thresholds are the constants below.
"""

from __future__ import annotations

import collections.abc as cabc
import random

from ..errors import ResultCode
from ..model import Cost
from ..model import ModelCall
from ..model import Readiness
from ..model import Role
from ..model import ServiceCall
from .interfaces import Candidate
from .interfaces import Choice
from .interfaces import EngineView
from .interfaces import GroupSnapshot
from .interfaces import QueueItem
from .interfaces import RoleChange
from .interfaces import UpstreamSpeed
from .shifting import possible_changes
from .shifting import role_counts

GREEDY_RATIO = 2.0
"""Ratio of prefill to decode backlog, in seconds, above which greedy shifting acts."""

GREEDY_MIN_BACKLOG_SECONDS = 0.5
"""Backlog for each engine below which greedy shifting does nothing."""

BASELINE_RETRY_AFTER_SECONDS = 1.0
"""Delay after which a refused caller may retry."""


class BaselineEntryPolicy:
    """Common base: no prediction, no affinity, every retry allowed.

    :param rng: seeded random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.turn = rng.randrange(1 << 16)

    def predict(self, call: ModelCall) -> Cost:
        """Return the caller's ``max_tokens`` as the predicted output length."""
        return Cost(call.prompt_tokens, max(1, call.max_tokens))

    def choose(
        self,
        call: ModelCall | ServiceCall,
        candidates: cabc.Sequence[Candidate],
        now: float,
        resumed_tokens: int = 0,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice:
        """Choose among the ready upstreams whose role fits the next stage."""
        ready = [c for c in candidates if c.name not in excluded and _ready(c)]
        prefill = [c for c in ready if _role(c) is Role.PREFILL]
        others = [c for c in ready if _role(c) is not Role.PREFILL]
        staged = bool(prefill and others) and not resumed_tokens
        pool = prefill if staged else others or ready
        if not pool:
            return Choice(None, ResultCode.NO_UPSTREAM, BASELINE_RETRY_AFTER_SECONDS)
        return Choice(self.pick(pool).name, prefill_only=staged)

    def pick(self, pool: list[Candidate]) -> Candidate:
        """Return one of these upstreams."""
        raise NotImplementedError

    def may_retry(self, call: ModelCall | ServiceCall, now: float) -> bool:
        """Allow every retry."""
        return True

    def on_admitted(self, call: ModelCall | ServiceCall, now: float) -> None:
        """Do nothing."""

    def on_first_token(
        self, upstream: str, call: ModelCall, cached_tokens: int, now: float
    ) -> None:
        """Do nothing."""

    def on_ended(
        self,
        upstream: str,
        call: ModelCall | ServiceCall,
        code: ResultCode,
        output_tokens: int,
        now: float,
    ) -> None:
        """Do nothing."""


class RoundRobinEntryPolicy(BaselineEntryPolicy):
    """Chooses the upstreams in turn."""

    def pick(self, pool: list[Candidate]) -> Candidate:
        """Return the next upstream in the order of names."""
        self.turn += 1
        return sorted(pool, key=lambda c: c.name)[self.turn % len(pool)]


class RandomEntryPolicy(BaselineEntryPolicy):
    """Chooses any upstream at random."""

    def pick(self, pool: list[Candidate]) -> Candidate:
        """Return a random upstream."""
        return self.rng.choice(pool)


class LeastOutstandingEntryPolicy(BaselineEntryPolicy):
    """Chooses the upstream with the fewest known outstanding requests."""

    def pick(self, pool: list[Candidate]) -> Candidate:
        """Return an upstream with the fewest requests; ties are broken at random."""
        counts = [_outstanding(c) for c in pool]
        fewest = min(counts)
        return self.rng.choice(
            [c for c, n in zip(pool, counts, strict=True) if n == fewest]
        )


def _outstanding(candidate: Candidate) -> int:
    report = candidate.report
    known = report.running + report.queued if report else 0
    return max(known, candidate.own_running)


def _ready(candidate: Candidate) -> bool:
    report = candidate.report
    return report is not None and report.readiness is Readiness.READY


def _role(candidate: Candidate) -> Role | None:
    return candidate.report.role if candidate.report else None


class FifoSidePolicy:
    """First in, first out, as many at once as the batch holds."""

    def __init__(self) -> None:
        self.queue: dict[str, QueueItem] = {}
        self.started: dict[str, int] = {}
        self.max_streams = 1
        self.prefill_rate = 1.0

    def configure(
        self,
        max_streams: int,
        kv_capacity: int,
        prefill_rate: float,
        decode_rate: float,
        role: Role | None,
    ) -> None:
        """Set the batch size and the prefill rate."""
        self.max_streams = max(1, max_streams)
        self.prefill_rate = prefill_rate

    def offer(self, item: QueueItem, now: float) -> ResultCode:
        """Queue every item."""
        self.queue[item.attempt] = item
        return ResultCode.OK

    def next(self, now: float) -> QueueItem | None:
        """Return the oldest item if the batch has a free slot."""
        if not self.queue or len(self.started) >= self.max_streams:
            return None
        attempt = next(iter(self.queue))
        item = self.queue.pop(attempt)
        self.started[attempt] = item.cost.decode
        return item

    def on_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Update the output tokens still to come."""
        if attempt in self.started:
            self.started[attempt] = max(0, self.started[attempt] - tokens)

    def on_ended(self, attempt: str, now: float) -> None:
        """Free the item's slot."""
        self.started.pop(attempt, None)

    def withdraw(self, attempt: str) -> bool:
        """Remove a waiting item."""
        return self.queue.pop(attempt, None) is not None

    def expire(self, now: float) -> list[tuple[QueueItem, ResultCode]]:
        """Remove the items that are past their deadline."""
        expired = [i for i in self.queue.values() if now >= i.deadline]
        for item in expired:
            del self.queue[item.attempt]
        return [(item, ResultCode.EXPIRED_IN_QUEUE) for item in expired]

    def waiting(self) -> int:
        """Return the number of waiting items."""
        return len(self.queue)

    def waiting_cost(self) -> Cost:
        """Return the work of the waiting items."""
        items = self.queue.values()
        return Cost(
            sum(i.cost.prefill for i in items), sum(i.cost.decode for i in items)
        )

    def running_decode(self) -> int:
        """Return the output tokens still to come."""
        return sum(self.started.values())

    def kv_free(self) -> float:
        """Return the free share of the batch; memory is not tracked."""
        return max(0.0, 1.0 - len(self.started) / self.max_streams)

    def speed(self) -> UpstreamSpeed:
        """Return the configured rate."""
        return UpstreamSpeed(self.prefill_rate)


class FixedShiftPolicy:
    """Never changes a role."""

    def decide(self, snapshot: GroupSnapshot, now: float) -> RoleChange | None:
        """Return ``None``."""
        return None


class GreedyShiftPolicy:
    """Changes a role whenever one kind of backlog outweighs the other."""

    def decide(self, snapshot: GroupSnapshot, now: float) -> RoleChange | None:
        """Move one engine to the role with the longer backlog."""
        if any(e.changing for e in snapshot.engines):
            return None
        prefill = sum(_prefill_backlog(e) for e in snapshot.engines)
        decode = sum(_decode_backlog(e) for e in snapshot.engines)
        needed = GREEDY_MIN_BACKLOG_SECONDS * len(snapshot.engines)
        if prefill > needed and prefill > GREEDY_RATIO * decode:
            return self._move(snapshot, Role.DECODE, Role.PREFILL)
        if decode > needed and decode > GREEDY_RATIO * prefill:
            return self._move(snapshot, Role.PREFILL, Role.DECODE)
        return None

    def _move(
        self, snapshot: GroupSnapshot, source: Role, target: Role
    ) -> RoleChange | None:
        allowed = possible_changes(snapshot, role_counts(snapshot))
        for role in (source, Role.MIXED):
            if (role, target) in allowed:
                engine = min(e.name for e in snapshot.engines if e.role is role)
                return RoleChange(engine, target, "backlog")
        return None


def _prefill_backlog(engine: EngineView) -> float:
    report = engine.report
    return report.queued_prefill / max(report.prefill_rate, 1.0) if report else 0.0


def _decode_backlog(engine: EngineView) -> float:
    report = engine.report
    if report is None:
        return 0.0
    tokens = report.queued_decode + report.running_decode
    return tokens / max(report.decode_rate, 1.0)
