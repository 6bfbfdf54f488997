"""An upper bound of the goodput that any scheduler could reach on a trace.

The bound is the optimum of a relaxed problem, so no real schedule can beat it:

* an engine takes any role at any moment without cost, and works at the best rate that
  any role has for what it does (prefill alone, or decode with a full batch);
* a shared prompt head is prefilled once for the whole run;
* work may be split among engines and interrupted freely, and parts of a request count
  for its parts;
* every arrival, length and fault is known beforehand;
* a request that could not be answered in time on an idle fleet counts nothing.

What is left is one resource, engine-seconds, in steps of :data:`STEP_SECONDS`. Work
must lie between a request's arrival and its deadline, both rounded outwards. For such
windows the work that fits is a polymatroid: the work of all windows inside an interval
may not exceed the interval's engine-seconds. Taking requests by output tokens for each
engine-second, each as far as all intervals around it allow, is then optimal.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import typing as t

from ..model import Role
from .fleet import Fleet
from .fleet import UpstreamPart
from .trace import TraceRequest

if t.TYPE_CHECKING:
    import numpy as np

STEP_SECONDS = 5.0
"""Length of a step; longer ones only loosen the bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """An engine that is away, or works at a share of its speed, for a while."""

    engine: str
    start: float
    end: float
    speed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BestRates:
    """The best rates any role of an engine has, in tokens a second.

    :param step: shortest seconds between two tokens of one answer.
    """

    prefill: float
    decode: float
    step: float


def best_rates(fleet: Fleet, upstream: UpstreamPart) -> BestRates:
    """Return the best rates of one engine."""
    rates = [fleet.role_rates(upstream, role) for role in Role]
    return BestRates(
        max(r.prefill_rate for r in rates),
        max(r.decode_rate for r in rates),
        min(r.step_seconds(1, False) for r in rates),
    )


def overlap(fleet: Fleet, upstream: UpstreamPart, best: BestRates) -> float:
    """Return how much more than one kind of work at a time an engine does, at least 1.

    A role may prefill and decode at once; measured by the best rates of each, that can
    come to more than an engine-second a second.
    """
    both = [
        r.prefill_rate * r.prefill_share / best.prefill
        + r.decode_rate / r.interference / best.decode
        for r in (fleet.role_rates(upstream, role) for role in Role)
    ]
    return max(1.0, *both)


def engine_seconds(prompt: float, output: float, rates: BestRates) -> float:
    """Return the least engine-seconds that a request takes."""
    return prompt / rates.prefill + output / rates.decode


def oracle_tokens(
    requests: cabc.Sequence[TraceRequest],
    fleet: Fleet,
    outages: cabc.Sequence[Outage] = (),
) -> float:
    """Return the most useful output tokens of a trace."""
    engines = fleet.engines()
    model_requests = [r for r in requests if r.model]
    if not engines or not model_requests:
        return 0.0
    rates = _fleet_rates(fleet)
    works = _works(model_requests, rates, fleet.shared_share)
    end = max(r.at + r.deadline for r in model_requests)
    most = max(overlap(fleet, engine, rates) for engine in engines)
    slack = most * _slack(fleet, end, outages)
    return _fill(works, slack)


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    first: int
    last: int
    seconds: float
    tokens: int


def _fleet_rates(fleet: Fleet) -> BestRates:
    each = [best_rates(fleet, engine) for engine in fleet.engines()]
    return BestRates(
        max(r.prefill for r in each),
        max(r.decode for r in each),
        min(r.step for r in each),
    )


def _works(
    requests: cabc.Sequence[TraceRequest], rates: BestRates, shared: float
) -> list[_Work]:
    seen: set[str] = set()
    works = []
    for request in requests:
        prompt = float(request.prompt_tokens)
        if request.prefix and request.prefix in seen:
            prompt *= 1.0 - shared
        if request.prefix:
            seen.add(request.prefix)
        quickest = prompt / rates.prefill + (request.output_tokens - 1) * rates.step
        if quickest > request.deadline:
            continue
        works.append(
            _Work(
                int(request.at // STEP_SECONDS),
                math.ceil((request.at + request.deadline) / STEP_SECONDS),
                engine_seconds(prompt, request.output_tokens, rates),
                request.output_tokens,
            )
        )
    return sorted(works, key=lambda w: (-w.tokens / w.seconds, w.first, w.last))


def _slack(
    fleet: Fleet, end: float, outages: cabc.Sequence[Outage]
) -> np.ndarray[t.Any, np.dtype[np.float64]]:
    """Return engine-seconds between the beginning of step i and that of step j."""
    import numpy as np

    steps = math.ceil(end / STEP_SECONDS) + 1
    each = np.full(steps, len(fleet.engines()) * STEP_SECONDS)
    for outage in outages:
        for step in range(steps):
            start = max(outage.start, step * STEP_SECONDS)
            until = min(outage.end, (step + 1) * STEP_SECONDS)
            each[step] -= (1.0 - outage.speed) * max(0.0, until - start)
    total = np.concatenate([[0.0], np.cumsum(each)])
    slack = total[None, :] - total[:, None]
    return np.where(slack > 0.0, slack, np.inf)


def _fill(
    works: cabc.Sequence[_Work], slack: np.ndarray[t.Any, np.dtype[np.float64]]
) -> float:
    tokens = 0.0
    for work in works:
        around = slack[: work.first + 1, work.last :]
        room = max(0.0, float(around.min()))
        taken = min(work.seconds, room)
        if taken > 0.0:
            around -= taken
            tokens += work.tokens * taken / work.seconds
    return tokens
