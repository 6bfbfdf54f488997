"""Prefix cache affinity: estimates which upstreams have a prompt's prefix cached.

Load pattern: a few prefixes (a notary's template, a production's script) account for
most prompt tokens, and the requests that share them arrive at all entries.

Without it: each upstream prefills each prefix again and evicts it for the next one.
With affinity that ignores load, the upstream of the most used prefix is overloaded
while others idle.

Thresholds: cache events are late and incomplete, so an estimate expires after
:data:`CACHE_ESTIMATE_TTL_SECONDS`, and the cached-token count of each answer replaces
it. The estimate only shortens the predicted prefill; the predicted queueing delay still
counts in full. That bounds the load which affinity attracts: a cached prefix wins only
while the queue is shorter than the prefill it saves. For a prefix that was never seen,
the upstream chosen by rendezvous hashing is credited with :data:`UNKNOWN_PREFIX_SHARE`
of the prompt: enough for all entries to agree on one upstream when all are idle, too
little to make requests queue there.
"""

from __future__ import annotations

import collections
import dataclasses

from .subset import rendezvous_rank

MAX_PREFIXES = 2048
"""Prefixes that an entry remembers; the least recently used one is dropped first."""

MAX_UPSTREAMS_PER_PREFIX = 4
"""Upstreams remembered for each prefix."""

CACHE_ESTIMATE_TTL_SECONDS = 120.0
"""Time after which an unconfirmed estimate expires."""

UNKNOWN_PREFIX_SHARE = 0.25
"""Share of a prompt assumed cached at the rendezvous choice of an unknown prefix."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEstimate:
    """Cached tokens last seen for a prefix at one upstream."""

    tokens: int
    seen_at: float


class PrefixMap:
    """Estimated cache contents of the upstreams, by prefix."""

    def __init__(self) -> None:
        self.estimates_by_prefix: collections.OrderedDict[
            str, dict[str, CacheEstimate]
        ] = collections.OrderedDict()

    def learn(
        self, prefix_key: str, upstream: str, cached: int, prompt: int, now: float
    ) -> None:
        """Record the cached-token count of an answer.

        An answer without a cache hit still leaves its prefix in the cache, so the
        estimate for an unknown prefix stands in until the next answer gives a count.
        """
        estimates = self.estimates_by_prefix.setdefault(prefix_key, {})
        self.estimates_by_prefix.move_to_end(prefix_key)
        estimates.pop(upstream, None)
        estimates[upstream] = CacheEstimate(
            cached or int(prompt * UNKNOWN_PREFIX_SHARE), now
        )
        if len(estimates) > MAX_UPSTREAMS_PER_PREFIX:
            del estimates[next(iter(estimates))]
        if len(self.estimates_by_prefix) > MAX_PREFIXES:
            self.estimates_by_prefix.popitem(last=False)

    def expected(
        self, prefix_key: str, names: list[str], prompt: int, now: float
    ) -> dict[str, int]:
        """Return the tokens that each named upstream is expected to have cached."""
        if not prefix_key:
            return {}
        known = self.estimates_by_prefix.get(prefix_key, {})
        fresh = {
            name: min(estimate.tokens, prompt - 1)
            for name, estimate in known.items()
            if now - estimate.seen_at <= CACHE_ESTIMATE_TTL_SECONDS and name in names
        }
        if fresh or not names:
            return fresh
        return {rendezvous(prefix_key, names): int(prompt * UNKNOWN_PREFIX_SHARE)}


def rendezvous(key: str, names: list[str]) -> str:
    """Return the name with the highest rank for a key (rendezvous hashing).

    All processes choose the same name without coordination, and a change of the other
    names rarely changes the choice.
    """
    return max(names, key=lambda name: rendezvous_rank(key, name))
