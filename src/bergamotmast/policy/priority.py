"""Priority ranks of requests, and the engine priorities reserved for each of them.

Load pattern: tenants of different priority send the same mix of short and long prompts,
and engines queue prefills.

Without it: an urgent tenant's prompt waits behind those of all other tenants, or an
urgent tenant's long prompts delay the short ones of the same tenant.
"""

from __future__ import annotations

import dataclasses
import typing as t

ENGINE_PRIORITIES = 10
"""Number of priorities that an engine distinguishes; 0 is the most urgent."""

RANK_SHARES: t.Final = (0.0, 0.2, 0.5, 1.0)
"""Boundaries between the ranks' shares of a band. Lower ranks have more priorities, as
their prompts differ more in size."""


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityBand:
    """One of several bands of equal width that the engine priorities are divided into.

    :param index: 0 for the most urgent band.
    :param count: number of bands.
    """

    index: int
    count: int


SINGLE_BAND = PriorityBand(0, 1)
"""The band of all requests where tenants have no priorities."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Priority rank of a request.

    :param level: rank within the band; 0 is the most urgent.
    """

    level: int
    band: PriorityBand = SINGLE_BAND

    def engine_priority(self, steps: int) -> int:
        """Return an engine priority of this rank.

        :param steps: number of steps below the first priority of the rank; those beyond
            the last one are ignored.
        """
        first, last = self._bounds()
        return min(first + steps, last)

    def _bounds(self) -> tuple[int, int]:
        """Return the first and the last engine priority of this rank."""
        start = self.band.index * ENGINE_PRIORITIES // self.band.count
        end = (self.band.index + 1) * ENGINE_PRIORITIES // self.band.count
        width = max(1, end - start)
        level = min(self.level, len(RANK_SHARES) - 2)
        first = start + int(width * RANK_SHARES[level])
        next_first = start + int(width * RANK_SHARES[level + 1])
        last = min(ENGINE_PRIORITIES - 1, max(first, next_first - 1))
        return min(first, last), last
