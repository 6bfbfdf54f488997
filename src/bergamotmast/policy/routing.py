"""Predicted times at each upstream, and the choice among a few random ones.

Load pattern: many entries choose at the same time, each from reports that are seconds
old, among upstreams of different roles, one of which may be slow.

Without it: every entry sends to the upstream that looked idle in the last report
(herding), which is then the busiest until the next report. A slow upstream collects
streams because each request counts as one.

Thresholds: the load is taken from the last report plus this entry's own work since.
Only :data:`SAMPLED_PER_ROLE` random upstreams of each role are compared: two already
remove most of the imbalance of a random choice (power of two choices), and more would
bring herding back. :data:`ZONE_ROUND_TRIP_SECONDS` is the round trip between
availability zones: it decides among equals and never outweighs a queue. An upstream
whose attempts take longer than predicted, compared with its peers, has its predicted
times multiplied by that ratio, up to :data:`MAX_SLOWDOWN`.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random
import statistics

from ..model import Cost
from ..model import Priority
from ..model import Role
from ..model import SideReport
from .interfaces import Candidate

SAMPLED_PER_ROLE = 2
"""Random upstreams of each role compared for one request, besides those that are
believed to have its prefix cached."""

ZONE_ROUND_TRIP_SECONDS = 0.002
"""Round trip to another availability zone."""

HANDOFF_SECONDS = 0.05
"""Time to export and import a KV cache and to offer the decode stage."""

MIN_STAGED_TOKENS = 8
"""Shortest predicted answer that is worth a decode stage of its own."""

SLOWDOWN_WEIGHT = 0.1
"""Weight of one attempt in the moving average of measured to predicted time."""

MAX_SLOWDOWN = 8.0
"""Upper bound of that ratio."""

EMPTY_BATCH_SHARE = 0.5
"""Time between tokens with an empty batch, as a share of that with a full one."""

UPSTREAM_TIME_WEIGHT = 2.0
"""Weight of the upstream's time against the caller's.

If both are short, the caller's wait decides. Under load, the additional time that an
unsuitable role takes is missing for other requests and costs more than the one caller
gains.
"""

_EPSILON = 1e-9
"""Lower bound of divisors."""


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Predicted seconds of one stage at one upstream.

    :param first: until the first token of the stage.
    :param total: until its end.
    :param busy: the upstream's own time that it takes.
    """

    candidate: Candidate
    first: float
    total: float
    busy: float = 0.0

    @property
    def score(self) -> float:
        """Sort key of candidates: the caller's time plus the weighted upstream time."""
        return self.total + UPSTREAM_TIME_WEIGHT * self.busy


class SlowdownTracker:
    """Ratio of measured to predicted time of each upstream, relative to its peers."""

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}

    def learn(self, name: str, measured: float, predicted: float) -> None:
        """Add one attempt's times, in seconds."""
        ratio = min(MAX_SLOWDOWN, (measured + 0.02) / (predicted + 0.02))
        old = self.ratios.get(name, 1.0)
        self.ratios[name] = old + SLOWDOWN_WEIGHT * (ratio - old)

    def keep(self, names: cabc.Collection[str]) -> None:
        """Drop upstreams that are gone."""
        for name in [n for n in self.ratios if n not in names]:
            del self.ratios[name]

    def slowdown(self, name: str) -> float:
        """Return how many times slower than its peers an upstream is, at least 1."""
        if name not in self.ratios:
            return 1.0
        usual = statistics.median(self.ratios.values())
        return min(MAX_SLOWDOWN, max(1.0, self.ratios[name] / max(usual, _EPSILON)))


def wait_seconds(
    candidate: Candidate, report: SideReport, priority: Priority, now: float
) -> float:
    """Return the predicted wait for a place in the batch and for the prefills ahead.

    If the side predicts its waits, only this entry's work since the report is added.
    Otherwise the reported queue is reduced by what the upstream has processed since.
    """
    if report.waits_ms:
        own = candidate.own_since_report.prefill / max(report.prefill_rate, _EPSILON)
        return report.waits_ms[priority] / 1000.0 + own
    age = max(0.0, now - candidate.reported_at)
    since = candidate.own_since_report
    drained = max(0.0, report.queued_prefill - age * report.prefill_rate)
    prefill = (drained + since.prefill) / max(report.prefill_rate, _EPSILON)
    return max(prefill, _slot_seconds(candidate, report))


def _slot_seconds(candidate: Candidate, report: SideReport) -> float:
    active = max(report.running + report.queued, candidate.own_running)
    excess = active + 1 - report.max_streams
    if excess <= 0:
        return 0.0
    since = candidate.own_since_report
    decode = report.running_decode + report.queued_decode + since.decode
    return excess * decode / max(1, active) / max(report.decode_rate, _EPSILON)


def token_seconds(candidate: Candidate, report: SideReport) -> float:
    """Return the predicted seconds between tokens of one more stream."""
    if report.token_us:
        return report.token_us / 1e6
    full = report.max_streams / max(report.decode_rate, _EPSILON)
    active = max(report.running + report.queued, candidate.own_running) + 1
    filled = min(1.0, active / report.max_streams)
    return full * (EMPTY_BATCH_SHARE + (1.0 - EMPTY_BATCH_SHARE) * filled)


class Router:
    """Predicts times and samples the upstreams to compare.

    :param rng: draws the upstreams that are compared.
    :param zone: availability zone of the entry.
    :param choices: number of upstreams of each role to compare.
    """

    def __init__(
        self, rng: random.Random, zone: str, choices: int = SAMPLED_PER_ROLE
    ) -> None:
        self.rng = rng
        self.zone = zone
        self.choices = choices
        self.slowdowns = SlowdownTracker()

    def sample(
        self, candidates: cabc.Sequence[Candidate], favoured: cabc.Collection[str] = ()
    ) -> set[str]:
        """Return the sampled names of each role, plus the favoured ones.

        If the role were ignored, the sample might contain only upstreams that suit the
        work badly, and a prompt would be refused while prefill engines idle.
        """
        sampled = {c.name for c in candidates if c.name in favoured}
        for role in (None, *Role):
            names = [c.name for c in candidates if role_of(c) is role]
            sampled.update(self.rng.sample(names, min(len(names), self.choices)))
        return sampled

    def estimate(
        self,
        candidate: Candidate,
        work: Cost,
        priority: Priority,
        cached: int,
        now: float,
    ) -> Estimate:
        """Predict one stage of this work at one upstream with a report."""
        report = candidate.report
        assert report is not None
        slowdown = self.slowdowns.slowdown(candidate.name)
        wait = wait_seconds(candidate, report, priority, now)
        prefill = max(0, work.prefill - cached) / max(report.prefill_rate, _EPSILON)
        first = (wait + prefill) * slowdown
        if candidate.zone != self.zone:
            first += ZONE_ROUND_TRIP_SECONDS
        per_token = token_seconds(candidate, report) * slowdown
        busy = prefill + work.decode / max(report.decode_rate, _EPSILON)
        return Estimate(candidate, first, first + work.decode * per_token, busy)


def staged_names(candidates: cabc.Sequence[Candidate]) -> tuple[list[str], list[str]]:
    """Return the upstreams for a prefill stage and those for a decode stage."""
    prefill = [c.name for c in candidates if role_of(c) is Role.PREFILL]
    decode = [c.name for c in candidates if role_of(c) in (Role.DECODE, Role.MIXED)]
    return prefill, decode


def role_of(candidate: Candidate) -> Role | None:
    """Return the role an upstream reports; ``None`` for a plain service."""
    return candidate.report.role if candidate.report else None
