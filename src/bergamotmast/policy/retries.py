"""Retry budget and outlier ejection of an entry.

Load pattern: an outage ends, or one upstream fails or slows down, and every affected
call is retried elsewhere at the same moment.

Without it: retries multiply the load exactly when capacity is missing, queues fill with
second and third attempts, and the fleet stays down after the cause is gone. A failing
upstream replies fastest of all and attracts the traffic.

Thresholds: a retry budget of :data:`RETRY_SHARE` of fresh work bounds the amplification
of any outage to 1.2 times the offered load. :data:`RETRY_BURST` lets the few calls at
one failing upstream go elsewhere without waiting for fresh work; it must be earned
first, as entries that start together would otherwise add it to any load. An upstream is
ejected after :data:`FAILURES_TO_EJECT` consecutive failures, but never more than
:data:`MAX_EJECTED_SHARE` of the candidates: if most fail, the cause is elsewhere. A
returning upstream gets a share of requests that rises over :data:`WARM_UP_SECONDS`.
"""

from __future__ import annotations

import dataclasses
import random

RETRY_SHARE = 0.2
"""Retries earned by each fresh request."""

RETRY_BURST = 20.0
"""Maximum number of earned retries."""

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject an upstream."""

FIRST_EJECTION_SECONDS = 5.0
"""Time of the first ejection; it doubles with each consecutive one."""

MAX_EJECTION_SECONDS = 60.0
"""Upper bound of the time of one ejection."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of the candidates that may be ejected at once."""

WARM_UP_SECONDS = 10.0
"""Time over which a new or returning upstream's share of requests rises to normal."""

MIN_WARM_UP_SHARE = 0.2
"""Share of requests at the start of a warm-up, so that the upstream gets any at all."""


class RetryBudget:
    """Retries earned by fresh requests (a token bucket).

    :param saved: retries that may be spent now.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.saved = 0.0

    def earn(self) -> None:
        """Credit a fresh request."""
        self.saved = min(self.burst, self.saved + self.share)

    def spend(self) -> bool:
        """Spend one retry; ``False`` if there is none."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class UpstreamHealth:
    """Failures and ejections of one upstream, as an entry has seen them.

    :param warm_from: when its present warm-up began; a point in time.
    :param seen_at: when it was last a candidate; a point in time.
    """

    warm_from: float
    seen_at: float
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class OutlierEjector:
    """Ejects failing upstreams and warms up those that return.

    :param rng: decides which requests an upstream gets during its warm-up.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.health: dict[str, UpstreamHealth] = {}
        self.started_at: float | None = None

    def observe(self, names: list[str], now: float) -> None:
        """Record the upstreams that are candidates now.

        Upstreams that are there when the entry starts count as warm. Otherwise, after a
        restart of the entry, the whole fleet would be limited to the warm-up share.
        """
        if self.started_at is None:
            self.started_at = now - WARM_UP_SECONDS
        first = len(self.health) == 0
        for name in names:
            health = self.health.get(name)
            if health is None:
                self.health[name] = UpstreamHealth(
                    self.started_at if first else now, now
                )
                continue
            if now - health.seen_at > WARM_UP_SECONDS:
                health.warm_from = now
            health.seen_at = now
        if len(self.health) > 2 * len(names) + 16:
            self._forget(now)

    def _forget(self, now: float) -> None:
        old = [
            n for n, h in self.health.items() if now - h.seen_at > MAX_EJECTION_SECONDS
        ]
        for name in old:
            del self.health[name]

    def eligible(self, names: list[str], now: float) -> list[str]:
        """Return the upstreams that may get this request, at least one."""
        ejected = [n for n in names if self.health[n].ejected_until > now]
        allowed = int(len(names) * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda n: self.health[n].ejected_until, reverse=True)
        excluded = set(ejected[:allowed])
        remaining = [n for n in names if n not in excluded]
        warm = [n for n in remaining if self._is_warm(n, now)]
        return warm or remaining or names

    def _is_warm(self, name: str, now: float) -> bool:
        health = self.health[name]
        if health.ejected_until > now:
            # Kept by the cap: most upstreams fail, so this one is as good as any.
            return True
        age = now - health.warm_from
        if age >= WARM_UP_SECONDS:
            return True
        return self.rng.random() < max(MIN_WARM_UP_SHARE, age / WARM_UP_SECONDS)

    def succeeded(self, name: str) -> None:
        """Record an attempt that succeeded."""
        health = self.health.get(name)
        if health is not None:
            health.failures = 0
            health.ejections = 0

    def failed(self, name: str, now: float) -> None:
        """Record an attempt that the upstream failed."""
        health = self.health.get(name)
        if health is None:
            return
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT:
            return
        seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections
        )
        health.ejected_until = now + seconds
        health.warm_from = now + seconds
        health.ejections = min(health.ejections + 1, 8)
        health.failures = 0
