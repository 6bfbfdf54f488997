"""Upper bound of the goodput that any scheduler can reach on a trace.

The bound is the optimum of a relaxed problem, so that no real schedule exceeds it:

* an engine changes roles instantly and at no cost, and works at the best rate that any
  role has for the work (prefill alone, or decode with a full batch);
* a shared prompt prefix is prefilled once in the whole run;
* work can be split among engines and preempted freely, and a request served in part
  counts by that part;
* every arrival, length and fault is known in advance;
* a request that an idle fleet could not answer by its deadline counts nothing.

This leaves one resource, engine-seconds, in steps of :data:`STEP_SECONDS`. Work must
lie between a request's arrival and its deadline, both rounded outwards. The feasible
amounts of work for such windows form a polymatroid: the work of all windows within an
interval may not exceed the interval's engine-seconds. The greedy algorithm is then
optimal: take requests in descending order of output tokens per engine-second, each as
far as all intervals that contain its window allow.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import typing as t

from ..model import Role
from .fleet import Fleet
from .fleet import FleetUpstream
from .trace import TraceRequest

if t.TYPE_CHECKING:
    import numpy as np

STEP_SECONDS = 5.0
"""Length of a time step; longer steps loosen the bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Period in which an engine is down or runs at a fraction of its speed.

    :param start: seconds after the start of the trace.
    :param end: seconds after the start of the trace.
    :param speed: fraction of its speed that the engine keeps.
    """

    engine: str
    start: float
    end: float
    speed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BestRates:
    """Maximum rates of an engine over all roles, tokens a second.

    :param step: minimum seconds between two tokens of one answer.
    """

    prefill: float
    decode: float
    step: float


def best_rates(fleet: Fleet, upstream: FleetUpstream) -> BestRates:
    """Return the maximum rates of an engine over all roles."""
    rates = [fleet.role_rates(upstream, role) for role in Role]
    return BestRates(
        max(r.prefill_rate for r in rates),
        max(r.decode_rate for r in rates),
        min(r.step_seconds(1, False) for r in rates),
    )


def concurrency_factor(fleet: Fleet, upstream: FleetUpstream, best: BestRates) -> float:
    """Return the engine-seconds of work that an engine can do in a second, at least 1.

    A role can prefill and decode concurrently. Measured by the best rates of each, this
    can exceed one engine-second a second.
    """
    both = [
        r.prefill_rate * r.prefill_share / best.prefill
        + r.decode_rate / r.interference / best.decode
        for r in (fleet.role_rates(upstream, role) for role in Role)
    ]
    return max(1.0, *both)


def engine_seconds(prompt: float, output: float, rates: BestRates) -> float:
    """Return the minimum engine-seconds of a request.

    :param prompt: tokens to prefill.
    :param output: tokens to decode.
    """
    return prompt / rates.prefill + output / rates.decode


def oracle_tokens(
    requests: cabc.Sequence[TraceRequest],
    fleet: Fleet,
    outages: cabc.Sequence[Outage] = (),
) -> float:
    """Return the maximum output tokens of requests met on a trace."""
    engines = fleet.engines()
    model_requests = [r for r in requests if r.model]
    if not engines or not model_requests:
        return 0.0
    rates = _fleet_rates(fleet)
    works = _feasible_work(model_requests, rates, fleet.shared_share)
    end = max(r.at + r.deadline for r in model_requests)
    max_factor = max(concurrency_factor(fleet, engine, rates) for engine in engines)
    slack = max_factor * _slack(fleet, end, outages)
    return _greedy_fill(works, slack)


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    first_step: int
    last_step: int
    seconds: float
    tokens: int


def _fleet_rates(fleet: Fleet) -> BestRates:
    each = [best_rates(fleet, engine) for engine in fleet.engines()]
    return BestRates(
        max(r.prefill for r in each),
        max(r.decode for r in each),
        min(r.step for r in each),
    )


def _feasible_work(
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
        min_seconds = prompt / rates.prefill + (request.output_tokens - 1) * rates.step
        if min_seconds > request.deadline:
            continue
        works.append(
            _Work(
                int(request.at // STEP_SECONDS),
                math.ceil((request.at + request.deadline) / STEP_SECONDS),
                engine_seconds(prompt, request.output_tokens, rates),
                request.output_tokens,
            )
        )
    return sorted(
        works, key=lambda w: (-w.tokens / w.seconds, w.first_step, w.last_step)
    )


def _slack(
    fleet: Fleet, end: float, outages: cabc.Sequence[Outage]
) -> np.ndarray[t.Any, np.dtype[np.float64]]:
    """Return the engine-seconds from the start of step i to the start of step j."""
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


def _greedy_fill(
    works: cabc.Sequence[_Work], slack: np.ndarray[t.Any, np.dtype[np.float64]]
) -> float:
    tokens = 0.0
    for work in works:
        containing = slack[: work.first_step + 1, work.last_step :]
        available = max(0.0, float(containing.min()))
        used = min(work.seconds, available)
        if used > 0.0:
            containing -= used
            tokens += work.tokens * used / work.seconds
    return tokens
