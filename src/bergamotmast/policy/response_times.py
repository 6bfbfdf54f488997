"""Times that upstreams take to answer, as a function of the requests that they run.

Load pattern: upstreams of one group that differ in speed, slow down long before they
are full, or share their machines with others, so that their speed comes and goes.

Without it: requests are placed by their number alone, and a slow upstream gets as many
as a fast one.

All times are logarithms relative to the usual time of their group and route. A time is
the sum of the usual time of its route, a shape by fill, the level of the upstream, and
the slowness that its machine reports. What an upstream has shown in each range of fill
outweighs shape and level as samples come in, and decays within seconds.
"""

from __future__ import annotations

import collections.abc as cabc
import math
import operator
import random
import typing as t

from .reported_slowness import ReportedSlowness
from .response_samples import MAX_LOG_RATIO
from .response_samples import SHAPE
from .response_samples import Fill
from .response_samples import ResponseSums

FAILURE_DECAY_SECONDS = 2.0
"""Time constant of failures, that of an ejection: a failed upstream gets no answers
that could show its recovery."""

MAX_FAILURES = 5.0
"""Weight of failures up to which they count: five end to count within some 6 s."""

USUAL_SECONDS = 0.5
"""Time constant of a route's usual time. It is a tenth of that of the samples, so that
a slowdown of all upstreams changes the usual time and not their capacities. With 2 s,
answers of 2.5 times the usual time halved the learned capacity."""

MAX_USUAL_GAIN = 0.2
"""Largest weight of one answer in the usual time, as for a route with few answers."""


PRIOR_WEIGHT = 3.0
"""Weight of the expected value beside the samples of one range of fill."""


WELL_HANDLED_RATIO = 1.5
"""Ratio to its time when idle up to which an upstream handles its requests well."""


UNCERTAINTY = 0.4
"""Deviation of the logarithm of an expected time of which nothing is known."""


CURVE_SECONDS = 0.2
"""How long an upstream's curve is used before it is worked out again."""

LEVEL_SECONDS_PER_UPSTREAM = 0.01
"""Time per upstream of a group for which their levels are used. It bounds the cost of
working them out at any number of upstreams."""

MIN_LEVEL_SECONDS = 0.1
"""Shortest time for which the levels are used."""


Key: t.TypeAlias = tuple[str, str]
"""Key of an upstream's incarnation."""


class UsualTime:
    """Moving average of the logarithm of a route's time.

    :param value: the logarithm of seconds.
    """

    def __init__(self, value: float, now: float) -> None:
        self.value = value
        self.at = now
        self.count = 1

    def update(self, value: float, now: float) -> None:
        """Add one time."""
        self.count += 1
        by_age = 1.0 - math.exp(min(0.0, self.at - now) / USUAL_SECONDS)
        gain = max(1.0 / self.count, min(MAX_USUAL_GAIN, by_age))
        self.value += gain * (value - self.value)
        self.at = now


class UpstreamTimes:
    """What is known of one incarnation of an upstream.

    :param own: samples of this entry.
    :param unsent: those that other entries have not been told of.
    :param shared: samples of all entries, as last received, and newer own ones.
    :param combined: samples of all entries, collected here for all of them.
    :param level: logarithm of its time relative to its group.
    :param curve: logarithm of its time by range of fill, on the scale of its samples.
    :param uncertainty: deviation of the logarithm of its time.
    :param curve_until: when the curve is worked out again; a point in time.
    """

    def __init__(self, now: float) -> None:
        self.own = ResponseSums(now)
        self.unsent = ResponseSums(now)
        self.shared = ResponseSums(now)
        self.combined = ResponseSums(now)
        self.slowness = ReportedSlowness()
        self.level = 0.0
        self.curve: t.Sequence[float] = SHAPE
        self.uncertainty = UNCERTAINTY
        self.curve_until = -math.inf
        self.failures = 0.0
        self.failures_at = now

    def add(self, step: int, value: float, now: float) -> None:
        """Add a sample of this entry."""
        self.own.add(step, value, now)
        self.unsent.add(step, value, now)
        self.shared.add(step, value, now)

    def shift(self, value: float) -> None:
        """Change the scale of all samples by the logarithm of a factor."""
        for sums in (self.own, self.unsent, self.shared, self.combined):
            sums.shift(value)
        self.curve_until = -math.inf

    def take_unsent(self, now: float) -> ResponseSums:
        """Return the samples that other entries are told of now."""
        taken, self.unsent = self.unsent, ResponseSums(now)
        taken.decay(now)
        return taken

    def share(self, sums: ResponseSums, now: float) -> None:
        """Apply the samples of all entries.

        Fewer than are known are ignored: they come from an entry that has just begun to
        collect them.
        """
        received = ResponseSums(now)
        received.merge(sums.steps(), now)
        self.unsent.decay(now)
        received.merge(self.unsent.steps(), now)
        self.shared.decay(now)
        if received.weight >= self.shared.weight:
            self.shared = received

    def samples(self, now: float) -> ResponseSums:
        """Return the samples of all entries, or this entry's if these weigh more.

        What other entries tell decays without news, so that an entry that hears nothing
        returns to its own samples.
        """
        self.own.decay(now)
        self.shared.decay(now)
        return self.own if self.own.weight >= self.shared.weight else self.shared

    def failed(self, now: float) -> None:
        """Count a failure."""
        self.failures = min(MAX_FAILURES, self.recent_failures(now) + 1.0)
        self.failures_at = now

    def recent_failures(self, now: float) -> float:
        """Return the weight of the failures."""
        if not self.failures:
            return 0.0
        age = max(0.0, now - self.failures_at)
        return self.failures * math.exp(-age / FAILURE_DECAY_SECONDS)


class GroupResponseTimes:
    """Response times of the upstreams of one group.

    :param usual: usual time of an idle upstream, by route.
    :param upstreams: what is known of each upstream, by key.
    :param mean_level: mean of the upstreams' levels.
    :param levels_until: when the levels are worked out again; a point in time.
    """

    def __init__(self) -> None:
        self.usual: dict[str, UsualTime] = {}
        self.upstreams: dict[Key, UpstreamTimes] = {}
        self.mean_level = 0.0
        self.levels_until = -math.inf

    def upstream(self, key: Key, now: float) -> UpstreamTimes:
        """Return what is known of an upstream."""
        known = self.upstreams.get(key)
        if known is None:
            known = self.upstreams[key] = UpstreamTimes(now)
        return known

    def forget(self, keys: cabc.Container[Key]) -> None:
        """Drop all that was learned of some upstreams."""
        gone = [key for key in self.upstreams if key in keys]
        for key in gone:
            del self.upstreams[key]
        if gone:
            self._center()

    def _center(self) -> None:
        """Let the mean level of the upstreams be zero again.

        Otherwise, the usual time would keep a part of what has gone for seconds, and
        new upstreams would be compared with samples of another scale.
        """
        if not self.upstreams:
            return
        levels = [known.level for known in self.upstreams.values()]
        shift = sum(levels) / len(levels)
        for known in self.upstreams.values():
            known.shift(-shift)
            known.level -= shift
        self.mean_level = 0.0
        for usual in self.usual.values():
            usual.value += shift
        self.levels_until = -math.inf

    def on_answer(
        self, key: Key, route: str, seconds: float, fill: Fill, now: float
    ) -> None:
        """Learn from a complete, successful answer."""
        known = self.upstream(key, now)
        value = math.log(max(seconds, 1e-6))
        expected = self._log_ratio(known, fill, now)
        usual = self.usual.get(route)
        if usual is None:
            self.usual[route] = UsualTime(value - expected, now)
            return
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, value - usual.value))
        known.slowness.learn(known.slowness.reported(now), ratio, now)
        known.add(fill.step, ratio - known.slowness.expected(now), now)
        usual.update(value - expected, now)

    def expected_ratio(self, key: Key, fill: Fill, now: float) -> float:
        """Return the expected time of an answer, relative to the usual time."""
        return math.exp(self._log_ratio(self.upstream(key, now), fill, now))

    def possible_ratio(
        self, key: Key, fill: Fill, now: float, rng: random.Random
    ) -> float:
        """Return a possible time of an answer, drawn by how much is known.

        An upstream that gets no requests, as it was slow, becomes uncertain and is
        tried again. Failures lengthen the time, as their requests are sent again.
        """
        known = self.upstream(key, now)
        ratio = self._log_ratio(known, fill, now) + rng.gauss(0.0, known.uncertainty)
        return math.exp(ratio) * (1.0 + known.recent_failures(now))

    def likely_ratio(self, key: Key, fill: Fill, now: float) -> float:
        """Return the expected time of an answer, lengthened by failures."""
        known = self.upstream(key, now)
        ratio = self._log_ratio(known, fill, now)
        return math.exp(ratio) * (1.0 + known.recent_failures(now))

    def usual_seconds(self, route: str) -> float:
        """Return the usual time of a route; 0 while none is known."""
        usual = self.usual.get(route)
        return math.exp(usual.value) if usual is not None else 0.0

    def takes(self, key: Key, slots: int, now: float) -> float:
        """Return the number of requests that an upstream handles well at once."""
        curve = self._curve(self.upstream(key, now), now)
        limit = Fill.of(1, slots).value(curve) + math.log(WELL_HANDLED_RATIO)
        for running in range(2, max(1, slots) + 1):
            if Fill.of(running, slots).value(curve) > limit:
                return float(running - 1)
        return float(max(1, slots))

    def relative_time(self, key: Key, now: float) -> float:
        """Return an upstream's time relative to its group, at the same fill."""
        self._refresh(now)
        known = self.upstreams.get(key)
        return math.exp(known.level - self.mean_level) if known is not None else 1.0

    def _log_ratio(self, known: UpstreamTimes, fill: Fill, now: float) -> float:
        ratio = fill.value(self._curve(known, now)) - self.mean_level
        return ratio + known.slowness.expected(now)

    def _curve(self, known: UpstreamTimes, now: float) -> t.Sequence[float]:
        self._refresh(now)
        if now >= known.curve_until:
            known.curve_until = now + CURVE_SECONDS
            self._update_curve(known, now)
        return known.curve

    def _update_curve(self, known: UpstreamTimes, now: float) -> None:
        samples = known.samples(now)
        known.uncertainty = UNCERTAINTY / math.sqrt(1.0 + samples.weight)
        # The sums are not scaled here, but the prior is scaled to them.
        prior = PRIOR_WEIGHT / samples.scale
        level = known.level
        values = [
            (total + prior * (usual + level)) / (weight + prior)
            for total, weight, usual in zip(
                samples.totals, samples.weights, SHAPE, strict=True
            )
        ]
        if not all(map(operator.le, values, values[1:])):
            weights = [weight + prior for weight in samples.weights]
            values = non_decreasing(values, weights)
        known.curve = values

    def _refresh(self, now: float) -> None:
        """Work out the levels, unless they are recent."""
        if now < self.levels_until:
            return
        pause = LEVEL_SECONDS_PER_UPSTREAM * len(self.upstreams)
        self.levels_until = now + max(MIN_LEVEL_SECONDS, pause)
        for known in self.upstreams.values():
            samples = known.samples(now)
            known.level = samples.excess / (samples.weight + PRIOR_WEIGHT)
        levels = [known.level for known in self.upstreams.values()]
        self.mean_level = sum(levels) / len(levels) if levels else 0.0


def non_decreasing(
    values: t.Sequence[float], weights: t.Sequence[float]
) -> list[float]:
    """Return the closest non-decreasing sequence (pool adjacent violators)."""
    means: list[float] = []
    pooled: list[float] = []
    counts: list[int] = []
    for value, weight in zip(values, weights, strict=True):
        mean, both, count = value, weight, 1
        while means and means[-1] > mean:
            last = pooled.pop()
            mean = (means.pop() * last + mean * both) / (last + both)
            both += last
            count += counts.pop()
        means.append(mean)
        pooled.append(both)
        counts.append(count)
    raised: list[float] = []
    for mean, count in zip(means, counts, strict=True):
        raised += [mean] * count
    return raised
