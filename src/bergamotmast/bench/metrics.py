"""Results of a run: outcomes and latencies of requests, and use of the fleet."""

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

DECIMAL_PLACES = 6
"""Precision of numbers in results."""


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request as its caller saw it.

    :param code: final result.
    :param first_at: time of the first token, seconds after the start of the trace.
    :param ended_at: time of the final result, seconds after the start of the trace.
    :param tokens: output tokens received.
    :param attempts: how often the caller sent the request.
    """

    request: TraceRequest
    code: ResultCode = ResultCode.INTERNAL
    first_at: float | None = None
    ended_at: float = 0.0
    tokens: int = 0
    attempts: int = 1

    @property
    def status(self) -> str:
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
    """Number of requests by final status.

    :param met: answered by the deadline.
    :param late: answered after the deadline, or ended by it.
    :param refused: not executed.
    :param unknown: ended without a known outcome.
    :param failed: executed without success.
    :param met_share: share of the sent requests that were met.
    """

    sent: int
    met: int
    late: int
    refused: int
    unknown: int
    failed: int
    met_share: float


class Quantiles(msgspec.Struct, frozen=True):
    """Percentiles of times in seconds; ``None`` without any sample."""

    p50: float | None
    p95: float | None
    p99: float | None


class ClassResult(msgspec.Struct, frozen=True):
    """Counts and latencies of one request class.

    :param first_token: time to the first token.
    :param between_tokens: mean time between tokens of each answer.
    :param first_token_kept: share of the sent requests whose first token arrived within
        the class's objective.
    """

    counts: Counts
    first_token: Quantiles
    between_tokens: Quantiles
    first_token_kept: float


class TimelinePoint(msgspec.Struct, frozen=True):
    """State of the fleet over one step of the timeline.

    :param at: end of the step, seconds after the start of the trace.
    :param prompt_rate: prompt tokens of arriving requests, a second.
    :param output_rate: output tokens that arriving requests ask for, a second.
    :param goodput: output tokens of requests met in the step, a second.
    :param running: requests running at engines.
    :param queued: requests queued at sides.
    :param roles: ready engines in each role.
    :param changing: engines in a role change.
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
    """Result of one policy on one trace with one seed.

    :param seconds: duration of the trace.
    :param goodput: output tokens of met requests a second, over the trace's duration.
    :param oracle: upper bound of the goodput; see :mod:`.oracle`.
    :param oracle_share: goodput as a share of that bound.
    :param counts: requests by final status.
    :param codes: requests by result code.
    :param engine_seconds_lost: time that engines spent in role changes.
    :param wasted_tokens: processed tokens that served no met request.
    :param wasted_share: the same as a share of all processed tokens.
    :param shed_share: share of all processed tokens that was spent on requests refused
        or late.
    :param fairness: Jain's index of the tenants' met shares.
    :param least_tenant: lowest met share of any tenant.
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
    timeline: list[TimelinePoint]


def counts(records: cabc.Sequence[RequestRecord]) -> Counts:
    """Count requests by final status."""
    by = collections.Counter(record.status for record in records)
    share = by["met"] / len(records) if records else 1.0
    return Counts(
        len(records),
        by["met"],
        by["late"],
        by["refused"],
        by["unknown"],
        by["failed"],
        round(share, DECIMAL_PLACES),
    )


def useful_tokens(records: cabc.Iterable[RequestRecord]) -> int:
    """Return the output tokens of the model requests that were met."""
    return sum(
        record.request.output_tokens
        for record in records
        if record.status == "met" and record.request.model
    )


def by_class(
    records: cabc.Sequence[RequestRecord], first_token: cabc.Mapping[str, float]
) -> dict[str, ClassResult]:
    """Return the results by request class.

    :param first_token: first-token objective of each class, seconds.
    """
    groups = _grouped(records, lambda record: record.request.klass)
    return {
        name: _class_result(group, first_token.get(name, math.inf))
        for name, group in groups.items()
    }


def by_tenant(records: cabc.Sequence[RequestRecord]) -> dict[str, Counts]:
    """Return the counts by tenant."""
    groups = _grouped(records, lambda record: record.request.tenant)
    return {name: counts(group) for name, group in groups.items()}


def jain(shares: cabc.Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all are equal, 1/n if one has all."""
    sum_of_squares = sum(s * s for s in shares)
    if sum_of_squares == 0.0:
        return 1.0
    return float(
        round(sum(shares) ** 2 / (len(shares) * sum_of_squares), DECIMAL_PLACES)
    )


def quantiles(values: cabc.Sequence[float]) -> Quantiles:
    """Return the 50th, 95th and 99th percentile."""
    if not values:
        return Quantiles(None, None, None)
    if len(values) == 1:
        only = round(values[0], DECIMAL_PLACES)
        return Quantiles(only, only, only)
    percentiles = statistics.quantiles(values, n=100, method="inclusive")
    return Quantiles(*(round(percentiles[p - 1], DECIMAL_PLACES) for p in (50, 95, 99)))


def _grouped(
    records: cabc.Sequence[RequestRecord], key: cabc.Callable[[RequestRecord], str]
) -> dict[str, list[RequestRecord]]:
    groups: dict[str, list[RequestRecord]] = {}
    for record in records:
        groups.setdefault(key(record), []).append(record)
    return dict(sorted(groups.items()))


def _class_result(records: list[RequestRecord], objective: float) -> ClassResult:
    waits = [
        record.first_at - record.request.at
        for record in records
        if record.first_at is not None
    ]
    gaps = [
        (record.ended_at - record.first_at) / (record.tokens - 1)
        for record in records
        if record.first_at is not None and record.tokens > 1
    ]
    kept = sum(wait <= objective for wait in waits) / len(records)
    return ClassResult(
        counts(records), quantiles(waits), quantiles(gaps), round(kept, DECIMAL_PLACES)
    )
