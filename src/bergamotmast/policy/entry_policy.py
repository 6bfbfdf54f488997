"""Default entry policy: admission, placement, retries and ejection combined."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import random

from ..errors import ResultCode
from ..model import Cost
from ..model import ModelCall
from ..model import Priority
from ..model import Readiness
from ..model import Role
from ..model import ServiceCall
from .admission import ENTRY_SLACK
from .admission import exceeds_entry_deadline
from .admission import retry_after
from .affinity import PrefixMap
from .cost import OutputPredictor
from .interfaces import Candidate
from .interfaces import Choice
from .retries import OutlierEjector
from .retries import RetryBudget
from .routing import HANDOFF_SECONDS
from .routing import MIN_STAGED_TOKENS
from .routing import Estimate
from .routing import Router
from .routing import role_of
from .routing import staged_names

MAX_ATTEMPTS = 16384
"""Attempts tracked until they end; the oldest one is dropped first."""

STALE_SECONDS = 5.0
"""Age above which a report no longer proves that its upstream accepts work."""

UPSTREAM_FAULTS = frozenset(
    {ResultCode.UPSTREAM_FAILED, ResultCode.OUTCOME_UNKNOWN, ResultCode.NOT_HANDED_OVER}
)
"""Result codes of an attempt that count as a failure of its upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPrediction:
    """Prediction for an attempt at the time it was placed.

    :param first_at: predicted first token; a point in time.
    :param chosen_at: when the upstream was chosen; a point in time.
    :param resumed: output tokens that the caller already had.
    :param prefill_only: whether the attempt ends after the prefill stage.
    """

    chosen_at: float
    first_at: float
    resumed: int
    prefill_only: bool


class LoadAwareEntryPolicy:
    """The default entry policy.

    :param rng: seeded random source.
    :param zone: availability zone of the entry.
    """

    def __init__(self, rng: random.Random, zone: str) -> None:
        self.rng = rng
        self.predictor = OutputPredictor()
        self.prefixes = PrefixMap()
        self.budget = RetryBudget()
        self.ejector = OutlierEjector(rng)
        self.router = Router(rng, zone)
        self.attempts: collections.OrderedDict[tuple[str, str], AttemptPrediction] = (
            collections.OrderedDict()
        )

    def predict(self, call: ModelCall) -> Cost:
        """Return the predicted work of a whole call."""
        return self.predictor.cost(call)

    def choose(
        self,
        call: ModelCall | ServiceCall,
        candidates: cabc.Sequence[Candidate],
        now: float,
        resumed_tokens: int = 0,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice:
        """Choose an upstream for a call's next attempt, or refuse the call."""
        names = [c.name for c in candidates]
        self.ejector.observe(names, now)
        ready = _ready(candidates, excluded, now)
        if not ready:
            wait = retry_after(0.0, self.rng)
            return Choice(None, ResultCode.NO_UPSTREAM, wait)
        eligible = set(self.ejector.eligible([c.name for c in ready], now))
        ready = [c for c in ready if c.name in eligible]
        if isinstance(call, ServiceCall):
            return self._choose_service(call, ready, now)
        return self._choose_engine(call, ready, now, resumed_tokens)

    def _choose_service(
        self, call: ServiceCall, ready: list[Candidate], now: float
    ) -> Choice:
        estimates = self._estimates(ready, Cost(1, 1), call.priority, {}, now)
        best = min(estimates, key=lambda e: e.total)
        if exceeds_entry_deadline(best.total, call.deadline - now):
            return self._refuse(best.total - (call.deadline - now))
        self._remember(call.request_id, best, now, 0, False)
        return Choice(best.candidate.name)

    def _choose_engine(
        self, call: ModelCall, ready: list[Candidate], now: float, resumed: int
    ) -> Choice:
        work = self.predict(call)
        if resumed:
            work = Cost(0, max(1, work.decode - resumed))
            ready = [c for c in ready if not _is_prefill(c)] or ready
        cached = self.prefixes.expected(
            call.prefix_key, [c.name for c in ready], call.prompt_tokens, now
        )
        best, staged = self._best(work, call.priority, ready, cached, now, resumed)
        overshoot = best.first - (call.first_token_deadline - now)
        if not resumed and exceeds_entry_deadline(
            best.first, call.first_token_deadline - now
        ):
            return self._refuse(overshoot)
        # No later check can refuse the request before the prefill is spent.
        slack = 1.0 if staged else ENTRY_SLACK
        if exceeds_entry_deadline(best.total, call.deadline - now, slack):
            return self._refuse(best.total - (call.deadline - now))
        self._remember(call.request_id, best, now, resumed, staged)
        return Choice(best.candidate.name, prefill_only=staged)

    def _best(
        self,
        work: Cost,
        priority: Priority,
        ready: list[Candidate],
        cached: dict[str, int],
        now: float,
        resumed: int,
    ) -> tuple[Estimate, bool]:
        """Return the best estimate, and whether it is a prefill stage only.

        If both stages have engines of their own, running a long answer on one of them
        alone takes several times as much of its time, which delays all who wait there.
        It is only used where the two stages would be too late.
        """
        single_stage = self._estimates(ready, work, priority, cached, now)
        if resumed:
            return min(single_stage, key=lambda e: e.score), False
        staged = self._staged(work, priority, ready, cached, now)
        if staged is None:
            return min(single_stage, key=lambda e: e.score), False
        if work.decode < MIN_STAGED_TOKENS:
            suited = [
                e for e in single_stage if role_of(e.candidate) is not Role.DECODE
            ]
            return min(suited, key=lambda e: e.score), False
        mixed = [e for e in single_stage if role_of(e.candidate) is Role.MIXED]
        best = min([staged, *mixed], key=lambda e: e.score)
        return best, best is staged

    def _staged(
        self,
        work: Cost,
        priority: Priority,
        ready: list[Candidate],
        cached: dict[str, int],
        now: float,
    ) -> Estimate | None:
        """Predict a prefill stage and a decode stage at separate engines."""
        prefill_names, decode_names = staged_names(ready)
        first_stage = [c for c in ready if c.name in prefill_names]
        second_stage = [c for c in ready if c.name in decode_names]
        if not first_stage or not second_stage:
            return None
        prefill = min(
            self._estimates(first_stage, Cost(work.prefill, 0), priority, cached, now),
            key=lambda e: e.first,
        )
        decode = min(
            self._estimates(second_stage, Cost(0, work.decode - 1), priority, {}, now),
            key=lambda e: e.total,
        )
        total = prefill.first + HANDOFF_SECONDS + decode.total
        busy = prefill.busy + decode.busy
        return Estimate(prefill.candidate, prefill.first, total, busy)

    def _estimates(
        self,
        candidates: list[Candidate],
        work: Cost,
        priority: Priority,
        cached: dict[str, int],
        now: float,
    ) -> list[Estimate]:
        sampled = self.router.sample(candidates, cached)
        return [
            self.router.estimate(c, work, priority, cached.get(c.name, 0), now)
            for c in candidates
            if c.name in sampled
        ]

    def _refuse(self, overshoot: float) -> Choice:
        wait = retry_after(overshoot, self.rng)
        return Choice(None, ResultCode.DEADLINE_UNREACHABLE, wait)

    def _remember(
        self, request: str, best: Estimate, now: float, resumed: int, staged: bool
    ) -> None:
        attempt = AttemptPrediction(now, now + best.first, resumed, staged)
        self.attempts[request, best.candidate.name] = attempt
        if len(self.attempts) > MAX_ATTEMPTS:
            self.attempts.popitem(last=False)

    def may_retry(self, call: ModelCall | ServiceCall, now: float) -> bool:
        """Spend one retry of the budget; ``False`` if there is none."""
        return self.budget.spend()

    def on_admitted(self, call: ModelCall | ServiceCall, now: float) -> None:
        """Credit the retry budget with a fresh request."""
        self.budget.earn()

    def on_first_token(
        self, upstream: str, call: ModelCall, cached_tokens: int, now: float
    ) -> None:
        """Learn the cached tokens and the slowdown of an upstream."""
        attempt = self.attempts.get((call.request_id, upstream))
        if attempt is None:
            return
        if call.prefix_key and not attempt.resumed:
            self.prefixes.learn(
                call.prefix_key, upstream, cached_tokens, call.prompt_tokens, now
            )
        measured = now - attempt.chosen_at
        predicted = attempt.first_at - attempt.chosen_at
        self.router.slowdowns.learn(upstream, measured, predicted)

    def on_ended(
        self,
        upstream: str,
        call: ModelCall | ServiceCall,
        code: ResultCode,
        output_tokens: int,
        now: float,
    ) -> None:
        """Learn the output length and the upstream's health from a finished attempt."""
        attempt = self.attempts.pop((call.request_id, upstream), None)
        if code in UPSTREAM_FAULTS:
            self.ejector.failed(upstream, now)
            return
        if code is not ResultCode.OK:
            return
        self.ejector.succeeded(upstream)
        if attempt is None or attempt.prefill_only:
            return
        if isinstance(call, ModelCall):
            total_tokens = attempt.resumed + output_tokens
            self.predictor.learn(call.request_class, total_tokens)


def _ready(
    candidates: cabc.Sequence[Candidate], excluded: frozenset[str], now: float
) -> list[Candidate]:
    """Return the candidates that accept work, preferably with fresh reports."""
    ready = [c for c in candidates if c.name not in excluded and _accepts_work(c)]
    fresh = [c for c in ready if now - c.reported_at <= STALE_SECONDS]
    return fresh or ready


def _accepts_work(candidate: Candidate) -> bool:
    report = candidate.report
    return report is not None and report.readiness is Readiness.READY


def _is_prefill(candidate: Candidate) -> bool:
    return candidate.report is not None and candidate.report.role is Role.PREFILL
