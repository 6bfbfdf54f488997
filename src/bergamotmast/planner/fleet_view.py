"""What the planner is told of the fleet."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from ..model import InstanceInfo
from ..model import SideReport


@dataclasses.dataclass(frozen=True, slots=True)
class TimedReport:
    """A side's last word.

    :param at: when it arrived; a point on the local monotonic clock, seconds.
    """

    report: SideReport
    at: float


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
