"""The wanted number of replicas of one group in one availability zone.

Load pattern: demand grows and falls over minutes, in waves of 11 and 17 s, and in peaks
of a second or two; a new replica serves only after some seconds; replicas restart and
crash.

Without it: a zone stays short of replicas while its callers wait, or pays for replicas
that nobody needs. A rule that follows each wave would order up and down in turns, and
each order has a price.

The load is the number of requests that replicas run and have waiting, as they report
it, relative to the requests that they take. More replicas are wanted once the load has
been above :data:`HIGH_LOAD` for :data:`SHORTAGE_SECONDS`, or will be, by its growth,
before a new replica could serve. One less is wanted if the highest load of the last
:data:`HOLD_SECONDS` would leave the others below :data:`LOW_LOAD`.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import math

from ..model import ReplicaBounds

SMOOTHING_SECONDS = 2.0
"""Time constant of the load's moving average."""

MAX_SAMPLE_GAP_SECONDS = 10.0
"""Time without a sample after which the average begins anew."""

HIGH_LOAD = 0.85
"""Load per replica, relative to what it takes, above which the zone is short."""

SHORTAGE_SECONDS = 3.0
"""Time for which the zone must be short: shorter peaks are over before a replica could
serve."""

TARGET_LOAD = 0.7
"""Load per replica that an order up aims at."""

LOW_LOAD = 0.6
"""Load per remaining replica below which one less is wanted. It is below
:data:`TARGET_LOAD`, so that no order down follows one up at the same load."""

HOLD_SECONDS = 120.0
"""Time for which the load must have been low, and without any order, before an order
down."""

TREND_SECONDS = 20.0
"""Length of a window of the trend. The highest loads of successive windows are
compared; waves of up to this length have the same in each, and show no growth."""

TREND_WINDOWS = 3
"""Number of windows that must all show growth: a step shows in one of them only."""

MAX_FORECAST_GROWTH = 1.5
"""Bound of the forecast, relative to the present highest load."""

MAX_GROWTH = 2
"""Most replicas wanted, relative to those that serve. Waiting requests pile up while
replicas start, and say little of how many are needed."""

SETTLING_SECONDS = 5.0
"""Time after which new replicas have taken over what waited for them."""

BOOT_MARGIN_SECONDS = 15.0
"""Time beyond a replica's usual start in which it may still register."""

MIN_REPEAT_SECONDS = 60.0
"""Minimum time until a number is ordered again, or its order taken for lost, because
the registered replicas differ from it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """What is known of one group in one zone.

    :param replicas: number of registered replicas that are not leaving.
    :param load: requests running and waiting at all of them; ``None`` if not known.
    :param capacity: requests that one replica takes at a time.
    """

    replicas: int
    load: float | None
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class LastOrder:
    """The last order for a group and zone.

    :param at: when it was given, or when its holder's successor learned of it; a point
        in time.
    """

    count: int
    at: float


class ReplicaCount:
    """Decides the wanted number for one group in one zone.

    :param level: moving average of the load; ``None`` before the first sample.
    :param replicas: number of registered replicas at the last sample.
    :param settled_at: when the load shows the effect of new replicas; a point in time.
    :param sampled_at: when the load was last known; a point in time.
    :param first_sample_at: since when it has been known without a gap; a point in time.
    :param short_since: since when the zone has been short; a point in time.
    :param differs_since: since when the registered replicas have not been as many as
        ordered; a point in time.
    :param loads: highest load of each second of the last :data:`HOLD_SECONDS`.
    :param counts: highest number of registered replicas of each of these seconds.
    """

    def __init__(self) -> None:
        self.level: float | None = None
        self.replicas = 0
        self.settled_at = -math.inf
        self.sampled_at = -math.inf
        self.first_sample_at = math.inf
        self.short_since: float | None = None
        self.differs_since: float | None = None
        self.loads = _Maxima(HOLD_SECONDS)
        self.counts = _Maxima(HOLD_SECONDS)

    def decide(
        self,
        zone: ZoneLoad,
        bounds: ReplicaBounds,
        order: LastOrder | None,
        now: float,
    ) -> int | None:
        """Apply what is known of the zone; return the number to order, if any.

        :param order: the last order; ``None`` if there is none or it isn't known.
        """
        self._sample(zone, now)
        self._compare(zone, order, now)
        base = self._base(zone, bounds, order, now)
        if self.level is None or not zone.replicas:
            return None
        wanted = self._more(zone, bounds, order, now)
        if wanted > base:
            return wanted
        if wanted < base and self._is_idle(zone, base, order, now):
            return max(base - 1, bounds.least)
        return None

    def _sample(self, zone: ZoneLoad, now: float) -> None:
        if zone.replicas > self.replicas:
            # The load that waited for these replicas says little of what comes now.
            self._forget_load()
            self.settled_at = now + SETTLING_SECONDS
        self.replicas = zone.replicas
        self.counts.add(zone.replicas, now)
        if now - self.sampled_at > MAX_SAMPLE_GAP_SECONDS:
            self._forget_load()
        if zone.load is None or not zone.replicas or now < self.settled_at:
            return
        if self.level is None:
            self.level, self.first_sample_at = zone.load, now
        else:
            part = 1 - math.exp((self.sampled_at - now) / SMOOTHING_SECONDS)
            self.level += part * (zone.load - self.level)
        self.sampled_at = now
        self.loads.add(self.level, now)

    def _forget_load(self) -> None:
        self.level = self.short_since = None
        self.first_sample_at = math.inf
        self.loads.clear()

    def _compare(self, zone: ZoneLoad, order: LastOrder | None, now: float) -> None:
        if order is None or zone.replicas == order.count:
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now

    def _order_holds(
        self, bounds: ReplicaBounds, order: LastOrder | None, now: float
    ) -> bool:
        """Return whether the last order is still taken for the platform's number.

        It isn't if the registered replicas have differed from it for long: the platform
        may have lost it, or an older one taken effect after it.
        """
        if order is None:
            return False
        wait = max(MIN_REPEAT_SECONDS, bounds.boot_seconds + BOOT_MARGIN_SECONDS)
        differs = self.differs_since is not None and now - self.differs_since >= wait
        return not differs or now - order.at < wait

    def _base(
        self,
        zone: ZoneLoad,
        bounds: ReplicaBounds,
        order: LastOrder | None,
        now: float,
    ) -> int:
        """Return the number that the platform is taken to keep at present."""
        if order is not None and self._order_holds(bounds, order, now):
            return order.count
        if order is not None:
            return zone.replicas
        # Replicas that restart are missing for some seconds. An order based on the
        # others alone would lower the platform's number.
        return int(self.counts.highest(now - HOLD_SECONDS))

    def _more(
        self,
        zone: ZoneLoad,
        bounds: ReplicaBounds,
        order: LastOrder | None,
        now: float,
    ) -> int:
        """Return the number that suits the load, or the one kept if it is not short."""
        assert self.level is not None
        base = self._base(zone, bounds, order, now)
        boot = bounds.boot_seconds + BOOT_MARGIN_SECONDS
        coming = 0
        if order is not None and now - order.at < boot:
            coming = max(0, order.count - zone.replicas)
        expected = max(self.level, self._forecast(bounds.boot_seconds, now))
        limit = HIGH_LOAD * zone.capacity * (zone.replicas + coming)
        if expected <= limit:
            self.short_since = None
            return min(base, bounds.clamp(base - 1))
        if self.short_since is None:
            self.short_since = now
        if now - self.short_since < SHORTAGE_SECONDS:
            return base
        wanted = math.ceil(expected / (TARGET_LOAD * zone.capacity))
        return max(base, bounds.clamp(min(wanted, MAX_GROWTH * zone.replicas)))

    def _forecast(self, seconds: float, now: float) -> float:
        """Return the highest load expected within some seconds, by its growth."""
        if now - self.first_sample_at < TREND_WINDOWS * TREND_SECONDS:
            return 0.0
        edges = [now - n * TREND_SECONDS for n in range(TREND_WINDOWS + 1)]
        peaks = [
            self.loads.highest(since, until)
            for until, since in zip(edges, edges[1:], strict=False)
        ]
        growth = min(new - old for new, old in zip(peaks, peaks[1:], strict=False))
        if growth <= 0:
            return 0.0
        forecast = peaks[0] + growth * seconds / TREND_SECONDS
        return min(forecast, MAX_FORECAST_GROWTH * peaks[0])

    def _is_idle(
        self, zone: ZoneLoad, base: int, order: LastOrder | None, now: float
    ) -> bool:
        """Return whether one replica less has been enough for long."""
        quiet_since = max(self.first_sample_at, order.at if order else -math.inf)
        if now - quiet_since < HOLD_SECONDS or zone.replicas < base:
            return False
        highest = self.loads.highest(now - HOLD_SECONDS)
        return highest <= LOW_LOAD * zone.capacity * (base - 1)


class _Maxima:
    """Highest value of each second of a span.

    :param seconds: length of the span.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.items: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, value: float, now: float) -> None:
        """Add a value and drop those from before the span."""
        second = int(now)
        if self.items and self.items[-1][0] == second:
            value = max(value, self.items.pop()[1])
        self.items.append((second, value))
        while self.items[0][0] < now - self.seconds - 1:
            self.items.popleft()

    def highest(self, since: float, until: float = math.inf) -> float:
        """Return the highest value after one point in time, and until another."""
        return max(self._values(since, until), default=0.0)

    def clear(self) -> None:
        """Drop all values."""
        self.items.clear()

    def _values(self, since: float, until: float) -> cabc.Iterator[float]:
        return (value for second, value in self.items if since < second <= until)
