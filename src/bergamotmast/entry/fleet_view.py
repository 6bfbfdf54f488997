"""Adapter from an entry's membership to the fleet view of the planner beside it."""

from __future__ import annotations

import collections.abc as cabc

from ..model import InstanceInfo
from ..model import Readiness
from ..planner.fleet_view import TimedReport
from .membership import Membership


class EntryFleetView:
    """Fleet view of a planner that runs in an entry's process.

    :param membership: the entry's membership, which observes every side while the
        planner plans.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership

    def instances(self) -> cabc.Collection[InstanceInfo]:
        """Return the instances of the last instance list."""
        return self.membership.infos.values()

    def leaving(self) -> cabc.Container[str]:
        """Return the names of the upstreams that are leaving.

        The instance list, the configuration or the side's own report may mark them.
        """
        return frozenset(n for n in self.membership.infos if self._is_leaving(n))

    def _is_leaving(self, name: str) -> bool:
        if self.membership.is_leaving(name):
            return True
        last = self.last_report(name)
        return last is not None and last.report.readiness is Readiness.LEAVING

    def last_report(self, upstream: str) -> TimedReport | None:
        """Return a side's last report; ``None`` before the first."""
        peer = self.membership.peers.get(upstream)
        if peer is None or peer.report is None:
            return None
        return TimedReport(peer.report, peer.reported_at, peer.interval)
