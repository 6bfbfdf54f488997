"""Which upstreams are likely to hold a prompt prefix in their cache.

Load pattern: a few prefixes (a notary's template, a production's script) take most of
the prompt tokens, from callers spread over all entries.

Without it: each upstream prefills each prefix again and evicts it for the next one;
with blind affinity instead, the upstream of the hottest prefix drowns while its
neighbours idle.

Thresholds: cache events are late and have gaps, so nothing is believed for longer than
:data:`BELIEF_SECONDS` and each answer's own cached-token count replaces the belief.
The belief only shortens the predicted prefill; the predicted wait still counts in
full, which bounds the load that affinity can draw: an upstream wins by its cache only
while its queue is shorter than the prefill it saves. :data:`FIRST_HOPE` is what the
rendezvous choice for a prefix that nobody has seen is worth: enough to bring entries
to the same upstream when all are idle, not to make any of them wait there.
"""

from __future__ import annotations

import collections
import dataclasses

from .subset import rank

MAX_PREFIXES = 2048
"""Prefixes an entry remembers; the one unused for longest goes first."""

MAX_PLACES = 4
"""Upstreams remembered for each prefix."""

BELIEF_SECONDS = 120.0
"""How long a hit is believed without being confirmed."""

FIRST_HOPE = 0.25
"""Share of the prompt hoped for at the rendezvous choice of an unknown prefix."""


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """Cached tokens last seen for a prefix at one upstream."""

    tokens: int
    seen_at: float


class PrefixMap:
    """What an entry believes of the upstreams' caches."""

    def __init__(self) -> None:
        self.places: collections.OrderedDict[str, dict[str, Belief]] = (
            collections.OrderedDict()
        )

    def learn(
        self, prefix_key: str, upstream: str, cached: int, prompt: int, now: float
    ) -> None:
        """Take in an answer's cached-token count.

        An answer without a hit still leaves its prefix in the cache, so the whole
        prompt's hope stands in for a count until the next answer gives one.
        """
        beliefs = self.places.setdefault(prefix_key, {})
        self.places.move_to_end(prefix_key)
        beliefs.pop(upstream, None)
        beliefs[upstream] = Belief(cached or int(prompt * FIRST_HOPE), now)
        if len(beliefs) > MAX_PLACES:
            del beliefs[next(iter(beliefs))]
        if len(self.places) > MAX_PREFIXES:
            self.places.popitem(last=False)

    def expected(
        self, prefix_key: str, names: list[str], prompt: int, now: float
    ) -> dict[str, int]:
        """Return the prompt tokens each named upstream is expected to have cached."""
        if not prefix_key:
            return {}
        known = self.places.get(prefix_key, {})
        fresh = {
            name: min(belief.tokens, prompt - 1)
            for name, belief in known.items()
            if now - belief.seen_at <= BELIEF_SECONDS and name in names
        }
        if fresh or not names:
            return fresh
        return {rendezvous(prefix_key, names): int(prompt * FIRST_HOPE)}


def rendezvous(key: str, names: list[str]) -> str:
    """Return the name that every process picks for a key, whoever else is named."""
    return max(names, key=lambda name: rank(key, name))
