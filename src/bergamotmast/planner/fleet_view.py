"""Interface through which the planner reads the membership and load of the fleet."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from ..model import InstanceInfo
from ..model import SideReport

MIN_STALE_SECONDS = 8.0
"""Age up to which a side's report is always fresh."""

STALE_INTERVALS = 1.5
"""Report intervals after which a report is stale: one late report is no outage."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedReport:
    """The last report of a side and when it arrived.

    :param at: time of arrival on the local monotonic clock, in seconds.
    :param interval: seconds between two reports of the side.
    """

    report: SideReport
    at: float
    interval: float = 0.0

    @property
    def fresh_until(self) -> float:
        """Time on the local monotonic clock until which the report is fresh.

        The more sides there are, the less often each reports to a planner. With a
        fixed maximum age, every view of a large fleet would be stale and no change
        would ever be planned.
        """
        return self.at + max(MIN_STALE_SECONDS, STALE_INTERVALS * self.interval)


class FleetView(t.Protocol):
    """Membership and load of the fleet as seen by the planning process."""

    def instances(self) -> cabc.Collection[InstanceInfo]:
        """Return the instances of the last instance list."""
        ...

    def leaving(self) -> cabc.Container[str]:
        """Return the names of upstreams that any source reports as leaving."""
        ...

    def last_report(self, upstream: str) -> TimedReport | None:
        """Return the last report of an upstream's side; ``None`` before the first."""
        ...
