"""Predicted times at each upstream, and the choice among a few of them.

Load pattern: many entries choose at the same moments, each from reports that are
seconds old, among upstreams of different roles of which one may be slow.

Without it: every entry sends to the one that looked idle in the last report (herding),
which is then the busiest until the next; a slow upstream collects streams because each
request counts as one.

Thresholds: the picture is the last report, drained for its age, plus this entry's own
work since. Only :data:`CHOICES` upstreams drawn at random are compared: two already
remove most of the imbalance of a random choice, the third covers one that is slow or
changing, and more would bring herding back. :data:`ZONE_SECONDS` is the round trip
between availability zones: it decides among equals and never outweighs a queue. An
upstream whose attempts take longer than predicted, compared with its neighbours, has
its times multiplied by that ratio, up to :data:`MOST_SLOWNESS`.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random
import statistics

from ..model import Cost
from ..model import Role
from ..model import SideReport
from .interfaces import Candidate

CHOICES = 3
"""Upstreams compared for one request, beside those believed to hold its prefix."""

ZONE_SECONDS = 0.002
"""Round trip to another availability zone."""

HANDOFF_SECONDS = 0.05
"""Exporting and importing a KV cache and offering the second stage."""

LEAST_STAGED_TOKENS = 8
"""Shortest predicted answer that is worth a stage of its own."""

SPEED_WEIGHT = 0.1
"""Weight of one attempt in an upstream's ratio of measured to predicted time."""

MOST_SLOWNESS = 8.0
"""Largest ratio believed."""

EMPTY_SHARE = 0.5
"""Time between tokens with an empty batch, as a share of that with a full one."""

_TINY = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Predicted seconds of one stage at one upstream.

    :param first: until the first token of the stage.
    :param total: until its end.
    """

    candidate: Candidate
    first: float
    total: float


class SpeedBook:
    """Ratio of measured to predicted time for each upstream, against its peers."""

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}

    def learn(self, name: str, measured: float, predicted: float) -> None:
        """Take in one attempt's times, in seconds."""
        ratio = min(MOST_SLOWNESS, (measured + 0.02) / (predicted + 0.02))
        old = self.ratios.get(name, 1.0)
        self.ratios[name] = old + SPEED_WEIGHT * (ratio - old)

    def keep(self, names: cabc.Collection[str]) -> None:
        """Forget upstreams that are gone."""
        for name in [n for n in self.ratios if n not in names]:
            del self.ratios[name]

    def slowness(self, name: str) -> float:
        """Return how many times slower than its peers an upstream is, at least 1."""
        if name not in self.ratios:
            return 1.0
        usual = statistics.median(self.ratios.values())
        return min(MOST_SLOWNESS, max(1.0, self.ratios[name] / max(usual, _TINY)))


def wait_seconds(candidate: Candidate, report: SideReport, now: float) -> float:
    """Return the predicted wait for a place in the batch and for the prefills ahead.

    The report is drained for its age: what it counted as queued has been worked on
    since. What this entry offered since is added in full, as no report has it.
    """
    age = max(0.0, now - candidate.reported_at)
    since = candidate.own_since_report
    drained = max(0.0, report.queued_prefill - age * report.prefill_rate)
    prefill = (drained + since.prefill) / max(report.prefill_rate, _TINY)
    return max(prefill, _slot_seconds(candidate, report))


def _slot_seconds(candidate: Candidate, report: SideReport) -> float:
    active = max(report.running + report.queued, candidate.own_running)
    excess = active + 1 - report.max_streams
    if excess <= 0:
        return 0.0
    since = candidate.own_since_report
    decode = report.running_decode + report.queued_decode + since.decode
    return excess * decode / max(1, active) / max(report.decode_rate, _TINY)


def token_seconds(candidate: Candidate, report: SideReport) -> float:
    """Return the predicted seconds between tokens of one more stream."""
    full = report.max_streams / max(report.decode_rate, _TINY)
    active = max(report.running + report.queued, candidate.own_running) + 1
    filled = min(1.0, active / report.max_streams)
    return full * (EMPTY_SHARE + (1.0 - EMPTY_SHARE) * filled)


class Router:
    """Predicts and chooses.

    :param rng: draws the upstreams that are compared.
    :param zone: availability zone of the process that chooses.
    :param choices: how many are compared.
    """

    def __init__(self, rng: random.Random, zone: str, choices: int = CHOICES) -> None:
        self.rng = rng
        self.zone = zone
        self.choices = choices
        self.speeds = SpeedBook()

    def sample(
        self, names: list[str], favoured: cabc.Collection[str] = ()
    ) -> list[str]:
        """Return the few that are compared, the favoured ones among them."""
        if len(names) <= self.choices:
            return names
        drawn = self.rng.sample(names, self.choices)
        return drawn + [n for n in names if n in favoured and n not in drawn]

    def estimate(
        self, candidate: Candidate, work: Cost, cached: int, now: float
    ) -> Estimate:
        """Predict one stage of this work at one upstream with a report."""
        report = candidate.report
        assert report is not None
        slowness = self.speeds.slowness(candidate.name)
        wait = wait_seconds(candidate, report, now)
        prefill = max(0, work.prefill - cached) / max(report.prefill_rate, _TINY)
        first = (wait + prefill) * slowness
        if candidate.zone != self.zone:
            first += ZONE_SECONDS
        per_token = token_seconds(candidate, report) * slowness
        return Estimate(candidate, first, first + work.decode * per_token)


def staged_names(candidates: cabc.Sequence[Candidate]) -> tuple[list[str], list[str]]:
    """Return the upstreams for a prefill stage and those for a decode stage."""
    prefill = [c.name for c in candidates if _role(c) is Role.PREFILL]
    decode = [c.name for c in candidates if _role(c) in (Role.DECODE, Role.MIXED)]
    return prefill, decode


def _role(candidate: Candidate) -> Role | None:
    return candidate.report.role if candidate.report else None
