"""What callers got, and what it cost the fleet."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import math
import statistics

import msgspec

from ..errors import CODE_INFO
from ..errors import Outcome
from ..errors import ResultCode
from .trace import TraceRequest

DIGITS = 6
"""Decimals kept in results."""


@dataclasses.dataclass(slots=True)
class RequestLog:
    """What one caller saw.

    :param code: final result.
    :param first_at: first token; seconds after the start of the trace.
    :param ended_at: final answer; likewise.
    :param tokens: output tokens received.
    :param tries: how often the caller sent it.
    """

    request: TraceRequest
    code: ResultCode = ResultCode.INTERNAL
    first_at: float | None = None
    ended_at: float = 0.0
    tokens: int = 0
    tries: int = 1

    @property
    def verdict(self) -> str:
        """``met``, ``late``, ``refused``, ``unknown`` or ``failed``."""
        if self.code is ResultCode.OK:
            due = self.request.at + self.request.deadline
            return "met" if self.ended_at <= due else "late"
        if self.code is ResultCode.DEADLINE_EXCEEDED:
            return "late"
        outcome = CODE_INFO[self.code].outcome
        if outcome is Outcome.NOT_RUN:
            return "refused"
        return "unknown" if outcome is Outcome.UNKNOWN else "failed"


class Counts(msgspec.Struct, frozen=True):
    """How the requests of a class or tenant ended."""

    sent: int
    met: int
    late: int
    refused: int
    unknown: int
    failed: int
    met_share: float


class Quantiles(msgspec.Struct, frozen=True):
    """Times in seconds; ``None`` where there was none to measure."""

    p50: float | None
    p95: float | None
    p99: float | None


class ClassResult(msgspec.Struct, frozen=True):
    """One class's counts and times.

    :param first_token_kept: share of all sent whose first token came in time.
    """

    counts: Counts
    first_token: Quantiles
    between_tokens: Quantiles
    first_token_kept: float


class Point(msgspec.Struct, frozen=True):
    """The fleet over one step of the timeline.

    :param at: end of the step, seconds after the start of the trace.
    :param prompt_rate: prompt tokens that arrived, a second.
    :param output_rate: output tokens asked for by what arrived, a second.
    :param goodput: useful output tokens that were completed, a second.
    :param roles: engines in each role that take work.
    """

    at: float
    prompt_rate: float
    output_rate: float
    goodput: float
    running: int
    queued: int
    roles: dict[str, int]
    changing: int


class RunResult(msgspec.Struct, frozen=True):
    """One policy on one trace with one seed.

    :param goodput: useful output tokens a second, over the trace's length.
    :param oracle_share: the same as a share of the oracle bound.
    :param engine_seconds_lost: time engines took no work because of changes.
    :param wasted_share: share of all tokens spent that served no met request.
    :param shed_share: share spent on what was then refused or expired.
    :param fairness: Jain's index of the tenants' met shares.
    :param least_tenant: met share of the tenant that fared worst.
    """

    policy: str
    seed: int
    scenario: str
    seconds: float
    goodput: float
    oracle: float
    oracle_share: float
    counts: Counts
    codes: dict[str, int]
    classes: dict[str, ClassResult]
    tenants: dict[str, Counts]
    role_changes: int
    engine_seconds_lost: float
    wasted_tokens: int
    wasted_share: float
    shed_share: float
    fairness: float
    least_tenant: float
    timeline: list[Point]


def counts(logs: cabc.Sequence[RequestLog]) -> Counts:
    """Count how requests ended."""
    by = collections.Counter(log.verdict for log in logs)
    share = by["met"] / len(logs) if logs else 1.0
    return Counts(
        len(logs),
        by["met"],
        by["late"],
        by["refused"],
        by["unknown"],
        by["failed"],
        round(share, DIGITS),
    )


def useful_tokens(logs: cabc.Iterable[RequestLog]) -> int:
    """Return the output tokens of requests met."""
    return sum(
        log.request.output_tokens
        for log in logs
        if log.verdict == "met" and log.request.model
    )


def by_class(
    logs: cabc.Sequence[RequestLog], first_token: cabc.Mapping[str, float]
) -> dict[str, ClassResult]:
    """Return each class's result.

    :param first_token: seconds each class allows to its first token.
    """
    groups = _grouped(logs, lambda log: log.request.klass)
    return {
        name: _class_result(group, first_token.get(name, math.inf))
        for name, group in groups.items()
    }


def by_tenant(logs: cabc.Sequence[RequestLog]) -> dict[str, Counts]:
    """Return each tenant's counts."""
    groups = _grouped(logs, lambda log: log.request.tenant)
    return {name: counts(group) for name, group in groups.items()}


def jain(shares: cabc.Sequence[float]) -> float:
    """Return Jain's index of fairness: 1 if all are equal, 1/n if one has all."""
    squares = sum(s * s for s in shares)
    if squares == 0.0:
        return 1.0
    return float(round(sum(shares) ** 2 / (len(shares) * squares), DIGITS))


def quantiles(values: cabc.Sequence[float]) -> Quantiles:
    """Return the usual quantiles."""
    if not values:
        return Quantiles(None, None, None)
    if len(values) == 1:
        only = round(values[0], DIGITS)
        return Quantiles(only, only, only)
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return Quantiles(*(round(cuts[p - 1], DIGITS) for p in (50, 95, 99)))


def _grouped(
    logs: cabc.Sequence[RequestLog], key: cabc.Callable[[RequestLog], str]
) -> dict[str, list[RequestLog]]:
    groups: dict[str, list[RequestLog]] = {}
    for log in logs:
        groups.setdefault(key(log), []).append(log)
    return dict(sorted(groups.items()))


def _class_result(logs: list[RequestLog], allowed: float) -> ClassResult:
    waits = [log.first_at - log.request.at for log in logs if log.first_at is not None]
    gaps = [
        (log.ended_at - log.first_at) / (log.tokens - 1)
        for log in logs
        if log.first_at is not None and log.tokens > 1
    ]
    kept = sum(wait <= allowed for wait in waits) / len(logs)
    return ClassResult(
        counts(logs), quantiles(waits), quantiles(gaps), round(kept, DIGITS)
    )
