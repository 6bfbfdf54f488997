"""Summary of results by scenario and policy, as medians over seeds."""

from __future__ import annotations

import collections.abc as cabc
import statistics

import msgspec

from .metrics import DECIMAL_PLACES
from .metrics import RunResult


class PolicySummary(msgspec.Struct, frozen=True):
    """Results of one policy on one scenario, as medians over its seeds.

    :param seeds: number of seeds.
    :param most_role_changes: maximum over the seeds.
    :param kept: share of requests of each class whose first token arrived within the
        class's objective.
    """

    scenario: str
    policy: str
    seeds: int
    goodput: float
    oracle_share: float
    met_share: float
    role_changes: float
    most_role_changes: int
    engine_seconds_lost: float
    wasted_share: float
    shed_share: float
    fairness: float
    least_tenant: float
    kept: dict[str, float]


def summarise(results: cabc.Sequence[RunResult]) -> list[PolicySummary]:
    """Return a summary of each scenario and policy, in order of first appearance."""
    groups: dict[tuple[str, str], list[RunResult]] = {}
    for result in results:
        groups.setdefault((result.scenario, result.policy), []).append(result)
    return [_summary(group) for group in groups.values()]


def _summary(group: list[RunResult]) -> PolicySummary:
    names = sorted({name for result in group for name in result.classes})
    return PolicySummary(
        group[0].scenario,
        group[0].policy,
        len(group),
        _median([r.goodput for r in group]),
        _median([r.oracle_share for r in group]),
        _median([r.counts.met_share for r in group]),
        _median([float(r.role_changes) for r in group]),
        max(r.role_changes for r in group),
        _median([r.engine_seconds_lost for r in group]),
        _median([r.wasted_share for r in group]),
        _median([r.shed_share for r in group]),
        _median([r.fairness for r in group]),
        _median([r.least_tenant for r in group]),
        {name: _median(_kept(group, name)) for name in names},
    )


def _kept(group: list[RunResult], name: str) -> list[float]:
    return [r.classes[name].first_token_kept for r in group if name in r.classes]


def _median(values: cabc.Sequence[float]) -> float:
    return round(statistics.median(values), DECIMAL_PLACES)


def format_table(summaries: cabc.Sequence[PolicySummary]) -> str:
    """Return the summaries as a text table."""
    header = (
        f"{'scenario':28} {'policy':18} {'goodput':>8} {'oracle':>7} {'met':>6} "
        f"{'changes':>7} {'lost s':>7} {'wasted':>7} {'shed':>6} {'least':>6}  kept"
    )
    return "\n".join([header, *(_row(s) for s in summaries)])


def _row(s: PolicySummary) -> str:
    kept = " ".join(f"{name}={share:.3f}" for name, share in s.kept.items())
    return (
        f"{s.scenario:28} {s.policy:18} {s.goodput:8.0f} {s.oracle_share:7.3f} "
        f"{s.met_share:6.3f} {s.role_changes:7.1f} {s.engine_seconds_lost:7.0f} "
        f"{s.wasted_share:7.4f} {s.shed_share:6.4f} {s.least_tenant:6.3f}  {kept}"
    )
