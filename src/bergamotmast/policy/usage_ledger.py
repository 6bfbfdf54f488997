"""Counts of the requests of each tenant, by window of time and by counting process.

Load pattern: every entry begins requests of every tenant, and entries are killed and
restarted while a window lasts.

Without it: a restarted entry would overwrite what its former process has counted, and a
repeated message would count requests twice. Counts only grow, so that a message may be
repeated, delayed or lost, and the highest count is the right one.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

Counts = dict[str, int]
"""Number of requests by tenant."""


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A process that counts.

    :param entry: name of the entry.
    :param boot: random number of its incarnation.
    """

    entry: str
    boot: int


class UsageLedger:
    """Counts of one's own process and copies of those of others.

    :param window_seconds: length of a window. Window ``k`` starts ``k`` times as many
        seconds after 1970.
    :param windows: counts by window and source.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.windows: dict[int, dict[Source, Counts]] = {}

    def window_at(self, unix_time: float) -> int:
        """Return the window that a point in time lies in."""
        return int(unix_time // self.window_seconds)

    def end_of(self, window: int) -> float:
        """Return the end of a window, in seconds since 1970."""
        return (window + 1) * self.window_seconds

    def add(self, source: Source, window: int, tenant: str) -> None:
        """Count a request."""
        counts = self._counts(source, window)
        counts[tenant] = counts.get(tenant, 0) + 1

    def merge(
        self, source: Source, window: int, counts: cabc.Mapping[str, int]
    ) -> None:
        """Apply another process's counts, which may be outdated."""
        known = self._counts(source, window)
        for tenant, count in counts.items():
            known[tenant] = max(count, known.get(tenant, 0))

    def counts(self, source: Source, window: int) -> Counts:
        """Return what is known of a source's counts."""
        return self.windows.get(window, {}).get(source, {})

    def sources(self, window: int) -> tuple[Source, ...]:
        """Return the sources with counts in a window."""
        return tuple(self.windows.get(window, ()))

    def totals(self, window: int) -> Counts:
        """Return the counts of all sources together."""
        totals: Counts = {}
        for counts in self.windows.get(window, {}).values():
            for tenant, count in counts.items():
                totals[tenant] = totals.get(tenant, 0) + count
        return totals

    def forget_before(self, window: int) -> None:
        """Drop all windows before one."""
        for old in [number for number in self.windows if number < window]:
            del self.windows[old]

    def _counts(self, source: Source, window: int) -> Counts:
        return self.windows.setdefault(window, {}).setdefault(source, {})
