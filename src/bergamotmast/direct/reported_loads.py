"""Loads that upstreams have reported to this entry, kept while they are fresh."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from .model import Upstream
from .model import UpstreamKey
from .ports import LoadHint

FRESH_SECONDS = 5.0
"""Age up to which a report counts. An entry of thirty hears of an upstream in another
zone some seconds apart."""

MIN_FRESH_SHARE = 1 / 3
"""Least share of the upstreams that must have a fresh report: the others are taken to
be as loaded as these."""

MAX_LOAD = 4.0
"""Highest load counted for an upstream, relative to what it takes; a header may be
false."""

Capacity = cabc.Callable[[Upstream], float]
"""Returns how many requests an upstream takes at a time."""


def slots_of(upstream: Upstream) -> float:
    """Return the slots that an upstream has registered."""
    return max(1, upstream.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    requests: int
    sent_at: float


class ReportedLoads:
    """The latest load that each upstream has reported, by its incarnation."""

    def __init__(self) -> None:
        self.reports: dict[UpstreamKey, _Report] = {}

    def add(self, upstream: Upstream, load: LoadHint, sent_at: float) -> None:
        """Record a report.

        :param sent_at: when the request that it replies to was sent; a point in time.
        """
        if upstream.key not in self.reports:
            self._forget_before(sent_at - FRESH_SECONDS)
        self.reports[upstream.key] = _Report(load.running + load.waiting, sent_at)

    def total(
        self, upstreams: cabc.Sequence[Upstream], capacity: Capacity, now: float
    ) -> float | None:
        """Return the requests at upstreams; ``None`` if too few have a fresh report."""
        fresh = [u for u in upstreams if self._is_fresh(u, now)]
        if not fresh or len(fresh) < MIN_FRESH_SHARE * len(upstreams):
            return None
        known = sum(
            min(self.reports[u.key].requests, MAX_LOAD * capacity(u)) for u in fresh
        )
        return known / sum(map(capacity, fresh)) * sum(map(capacity, upstreams))

    def _is_fresh(self, upstream: Upstream, now: float) -> bool:
        report = self.reports.get(upstream.key)
        return report is not None and now - report.sent_at <= FRESH_SECONDS

    def _forget_before(self, time: float) -> None:
        self.reports = {k: r for k, r in self.reports.items() if r.sent_at >= time}
