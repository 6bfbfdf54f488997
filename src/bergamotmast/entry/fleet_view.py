"""The fleet as an entry knows it, for a planner that runs beside it."""

from __future__ import annotations

import collections.abc as cabc

from ..model import InstanceInfo
from ..model import Readiness
from ..planner.fleet_view import TimedReport
from .membership import Membership


class EntryFleetView:
    """What the planner is told: the entry's membership and its sides' reports.

    :param membership: the entry's; it observes every side while the planner plans.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership

    def instances(self) -> cabc.Collection[InstanceInfo]:
        """Return the instances as last listed."""
        return self.membership.infos.values()

    def leaving(self) -> cabc.Container[str]:
        """Return the names of upstreams that any signal says are leaving."""
        return frozenset(n for n in self.membership.infos if self._is_leaving(n))

    def _is_leaving(self, name: str) -> bool:
        if self.membership.is_leaving(name):
            return True
        last = self.last_report(name)
        return last is not None and last.report.readiness is Readiness.LEAVING

    def last_report(self, upstream: str) -> TimedReport | None:
        """Return a side's last word; ``None`` before the first."""
        peer = self.membership.peers.get(upstream)
        if peer is None or peer.report is None:
            return None
        return TimedReport(peer.report, peer.reported_at, peer.interval)
