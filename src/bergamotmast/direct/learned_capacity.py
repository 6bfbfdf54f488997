"""Capacity of upstreams as learned from their answers."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import math
import random

from ..policy.response_samples import MAX_FILL
from ..policy.response_samples import Fill
from ..policy.response_samples import ResponseSums
from ..policy.response_times import GroupResponseTimes
from ..telemetry import Telemetry
from .features import Features
from .fleet import Fleet
from .model import Route
from .model import Upstream
from .model import UpstreamKey
from .ports import LoadHint

logger = logging.getLogger(__name__)

REVIEW_SECONDS = 1.0
"""Time between two reviews of a group: whether upstreams are slow, or gone."""

SLOW_RATIO = 1.5
"""Ratio to its group's time from which on an upstream is called slow in the log."""

NOT_SLOW_RATIO = 1.2
"""Ratio below which it is no longer called slow."""

MIN_VERDICT_SECONDS = 5.0
"""Shortest time between two log lines about one upstream, which bounds their number."""


class LearnedCapacity:
    """What an entry knows of the load that upstreams handle well.

    :param mode: the setting: ``on``, ``off``, or ``auto`` for the groups that need it.
    :param groups: response times, by group.
    :param has_groups: set once there is any of them.
    :param reporting: groups whose upstreams report how slow their machines are.
    :param reviewed_at: last review of each group; points in time.
    :param slow: upstreams that are called slow.
    :param verdict_at: last log line about each upstream; points in time.
    """

    def __init__(
        self,
        fleet: Fleet,
        mode: str,
        features: Features,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.mode = mode
        self.features = features
        self.telemetry = telemetry
        self.rng = rng
        self.groups: dict[str, GroupResponseTimes] = {}
        self.has_groups = asyncio.Event()
        self.reporting: set[str] = set()
        self.reviewed_at: dict[str, float] = {}
        self.slow: set[UpstreamKey] = set()
        self.verdict_at: dict[UpstreamKey, float] = {}

    def is_on(self, group: str) -> bool:
        """Return whether the capacity of a group's upstreams is learned."""
        if self.mode != "auto":
            return self.mode == "on"
        return self.features.scarcity or group in self.reporting

    def on_load(self, upstream: Upstream, load: LoadHint, now: float) -> None:
        """Apply the load that an upstream has reported in a reply."""
        if load.slowness is None or not self.fleet.is_registered(upstream.key):
            return
        if self.mode == "auto" and upstream.group not in self.reporting:
            self.reporting.add(upstream.group)
            logger.info(
                "upstreams report how slow they are", extra={"group": upstream.group}
            )
        if self.is_on(upstream.group):
            known = self._group(upstream.group).upstream(upstream.key, now)
            known.slowness.report(load.slowness, now)

    def on_answer(
        self,
        upstream: Upstream,
        route: Route,
        seconds: float,
        running: float,
        now: float,
    ) -> None:
        """Learn from a complete, successful answer.

        :param seconds: time that it took.
        :param running: requests that the upstream ran meanwhile, this one included.
        """
        if not self.is_on(upstream.group) or not self.fleet.is_registered(upstream.key):
            return
        group = self._group(upstream.group)
        fill = Fill.of(running, upstream.slots)
        group.on_answer(upstream.key, route.name, seconds, fill, now)
        self._review(upstream.group, now)

    def on_failure(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream has failed or rejected a request."""
        if self.is_on(upstream.group) and self.fleet.is_registered(upstream.key):
            self._group(upstream.group).upstream(upstream.key, now).failed(now)

    def expected_seconds(
        self, upstream: Upstream, route: Route, running: float, now: float
    ) -> float:
        """Return the expected time of an answer; 0 if nothing is known of the route.

        :param running: requests that the upstream would run, this one included.
        """
        group = self._group(upstream.group)
        fill = Fill.of(running, upstream.slots)
        usual = group.usual_seconds(route.name)
        # A longer queue than times are learned for takes proportionally longer.
        beyond = max(1.0, running / (MAX_FILL * max(1, upstream.slots)))
        return usual * group.expected_ratio(upstream.key, fill, now) * beyond

    def possible_ratio(self, upstream: Upstream, running: float, now: float) -> float:
        """Return a possible time of an answer, relative to the usual time of its route.

        It is drawn by how much is known, so that an upstream that gets no requests is
        tried again.

        :param running: requests that the upstream would run, this one included.
        """
        fill = Fill.of(running, upstream.slots)
        group = self._group(upstream.group)
        return group.possible_ratio(upstream.key, fill, now, self.rng)

    def likely_ratio(self, upstream: Upstream, running: float, now: float) -> float:
        """Return the expected time of an answer, relative to the usual of its route.

        Failures of the upstream lengthen it.

        :param running: requests that the upstream would run, this one included.
        """
        fill = Fill.of(running, upstream.slots)
        return self._group(upstream.group).likely_ratio(upstream.key, fill, now)

    def takes(self, upstream: Upstream, now: float) -> float:
        """Return how many concurrent requests an upstream handles well.

        These are the requests that it answers in at most 1.5 times its time when idle,
        at most its slots. Failures don't lower the number: an upstream that rejects
        requests under overload would otherwise cause more of them to be refused.
        """
        group = self._group(upstream.group)
        return group.takes(upstream.key, upstream.slots, now)

    def forget(self, keys: cabc.Iterable[UpstreamKey]) -> None:
        """Drop all that was learned of incarnations that are gone."""
        gone = set(keys)
        for group in self.groups.values():
            group.forget(gone)
        for key in gone & self.verdict_at.keys():
            del self.verdict_at[key]
        if gone & self.slow:
            self.slow -= gone
            self.telemetry.on_slow_upstreams(len(self.slow))

    def forget_departed(self) -> None:
        """Drop all that was learned of upstreams that are no longer registered."""
        present = {
            record.upstream.key for record in self.fleet.upstream_records.values()
        }
        known = {key for group in self.groups.values() for key in group.upstreams}
        if known - present:
            self.forget(known - present)

    def take_unsent(self, now: float) -> dict[UpstreamKey, ResponseSums]:
        """Return the samples that other entries are told of now."""
        return {
            key: known.take_unsent(now)
            for group in self.groups.values()
            for key, known in group.upstreams.items()
            if known.unsent.weight_sum
        }

    def combine(
        self, upstream: Upstream, sums: ResponseSums, now: float
    ) -> ResponseSums | None:
        """Add samples to those of all entries, as their keeper.

        :returns: those of all entries; ``None`` if the incarnation has gone.
        """
        if not self.fleet.is_registered(upstream.key):
            return None
        combined = self._group(upstream.group).upstream(upstream.key, now).combined
        combined.merge(sums.steps(), now)
        return combined

    def apply_combined(self, now: float) -> None:
        """Apply the samples of all entries that this entry is the keeper of."""
        for group in self.groups.values():
            for known in group.upstreams.values():
                if known.combined.weight_sum:
                    known.combined.decay(now)
                    known.share(known.combined, now)

    def on_shared(self, upstream: Upstream, sums: ResponseSums, now: float) -> None:
        """Apply the samples of all entries."""
        if not self.is_on(upstream.group) or not self.fleet.is_registered(upstream.key):
            return
        self._group(upstream.group).upstream(upstream.key, now).share(sums, now)

    def _group(self, name: str) -> GroupResponseTimes:
        group = self.groups.get(name)
        if group is None:
            group = self.groups[name] = GroupResponseTimes()
            self.has_groups.set()
        return group

    def _review(self, name: str, now: float) -> None:
        """Forget departed upstreams, and log which of a group are slow."""
        if now < self.reviewed_at.get(name, -math.inf) + REVIEW_SECONDS:
            return
        self.reviewed_at[name] = now
        self.forget_departed()
        group = self.groups[name]
        for key in group.upstreams:
            self._judge(name, key, group.relative_time(key, now), now)

    def _judge(self, group: str, key: UpstreamKey, ratio: float, now: float) -> None:
        was_slow = key in self.slow
        is_slow = ratio >= (NOT_SLOW_RATIO if was_slow else SLOW_RATIO)
        last = self.verdict_at.get(key, -math.inf)
        if is_slow == was_slow or now < last + MIN_VERDICT_SECONDS:
            return
        self.verdict_at[key] = now
        fields = {"upstream": key[0], "group": group, "ratio": round(ratio, 2)}
        if is_slow:
            self.slow.add(key)
            logger.info("upstream is slower than its group", extra=fields)
        else:
            self.slow.discard(key)
            logger.info("upstream is not slower than its group", extra=fields)
        self.telemetry.on_slow_upstreams(len(self.slow))
