"""What the planner is told of the fleet."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from ..model import InstanceInfo
from ..model import SideReport

STALE_SECONDS = 8.0
"""Least age at which a side's word is not acted on any more."""

LATE_REPORTS = 1.5
"""The same, in times between two of its words: one late word is no outage."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedReport:
    """A side's last word.

    :param at: when it arrived; a point on the local monotonic clock, seconds.
    :param interval: seconds after which the next one is due.
    """

    report: SideReport
    at: float
    interval: float = 0.0

    @property
    def fresh_until(self) -> float:
        """Until when it may be acted on.

        A planner hears a side less often the more sides there are. Against a fixed
        age, every picture of a large fleet would be stale and nothing ever planned.
        """
        return self.at + max(STALE_SECONDS, LATE_REPORTS * self.interval)


class FleetView(t.Protocol):
    """Membership and load picture of the process that plans."""

    def instances(self) -> cabc.Collection[InstanceInfo]:
        """Return the instances as last listed."""
        ...

    def leaving(self) -> cabc.Container[str]:
        """Return the names of upstreams that any signal says are leaving."""
        ...

    def last_report(self, upstream: str) -> TimedReport | None:
        """Return a side's last word; ``None`` before the first."""
        ...
