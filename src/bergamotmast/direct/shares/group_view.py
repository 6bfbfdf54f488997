"""What one entry sees of a group: demand by tenant, evidence, and shares in force."""

from __future__ import annotations

import functools
import heapq
import logging
import math

from ...policy.direct_refusal import ReturnSchedule
from ...policy.entry_ranking import stable_hash
from ...policy.fair_shares import AdmissionRounding
from ...policy.fair_shares import TenantDemands
from ...policy.scarcity import REPORT_SECONDS
from ...policy.scarcity import Evidence
from ...policy.scarcity import Report
from ...policy.scarcity import Shares
from ...telemetry import Telemetry

logger = logging.getLogger(__name__)

MAX_NAMED_TENANTS = 30
"""Maximum number of tenants that a report names, and that shares name in addition to
those of a report: both should fit into a packet."""

SHARES_SECONDS = 5.0
"""Time for which shares are in force at an entry that does not go on to report."""

LOG_INTERVAL_SECONDS = 5.0
"""Shortest interval between two log lines about the tenants over their share."""

MAX_LOGGED_TENANTS = 10
"""Maximum number of tenants in such a line."""

NO_SHARES = Shares({})


@functools.lru_cache(maxsize=4096)
def tenant_hash(tenant: str) -> int:
    """Return the hash that identifies a tenant in datagrams."""
    return stable_hash(tenant)


class GroupView:
    """What one entry sees of a group.

    :param returns: when refused callers return, by tenant.
    :param reported: tenants that the last report named.
    :param asked_since: when an entry that has not replied was first asked, by its key;
        points in time.
    :param next_report_at: when the next report is due; a point in time.
    :param watched_until: until when this entry reports; a point in time.
    :param shares: shares that were last received or worked out.
    :param shares_until: until when they are in force; a point in time.
    :param is_short: whether the group is taken for short of capacity.
    :param over: requests refused since the last log line, by tenant.
    :param logged_over: tenants in the last line.
    :param log_at: when the next one may be written; a point in time.
    """

    def __init__(self, group: str, telemetry: Telemetry) -> None:
        self.group = group
        self.telemetry = telemetry
        self.demands = TenantDemands()
        self.evidence = Evidence()
        self.roundings: dict[str, AdmissionRounding] = {}
        self.returns: dict[str, ReturnSchedule] = {}
        self.reported: frozenset[int] = frozenset()
        self.asked_since: dict[str, float] = {}
        self.next_report_at = -math.inf
        self.watched_until = -math.inf
        self.shares = NO_SHARES
        self.shares_until = -math.inf
        self.is_short = False
        self.over: dict[str, int] = {}
        self.logged_over: frozenset[str] = frozenset()
        self.log_at = -math.inf

    def is_watched(self, now: float) -> bool:
        """Return whether this entry reports what it sees.

        While shares are in force, it does so until an entry replies, or it judges the
        group itself.
        """
        return self.is_short or now < self.watched_until

    def fraction(self, tenant: str, now: float) -> float:
        """Return which fraction of a tenant's requests is admitted."""
        if not self.is_short or now >= self.shares_until:
            return 1.0
        return self.shares.fractions.get(tenant_hash(tenant), self.shares.rest)

    def admit(self, tenant: str, kind: tuple[str, int], now: float) -> bool:
        """Return whether to admit a request."""
        fraction = self.fraction(tenant, now)
        if fraction >= 1.0:
            return True
        rounding = self.roundings.get(tenant)
        if rounding is None:
            rounding = self.roundings[tenant] = AdmissionRounding()
        if rounding.admit(kind, fraction):
            return True
        self.over[tenant] = self.over.get(tenant, 0) + 1
        return False

    def watch(self, now: float) -> None:
        """Look for evidence of a shortage, and for shares that are out of date."""
        if self.evidence.is_alarming(now):
            self.watched_until = now + REPORT_SECONDS
        if self.is_short and now >= self.shares_until:
            self._set_short(False)
        if self.over and now >= self.log_at:
            self._log_over(now)

    def report(self, now: float) -> Report:
        """Return what this entry has seen in the last seconds."""
        demands = self.demands.current(now)
        largest = heapq.nlargest(
            MAX_NAMED_TENANTS, demands, key=lambda tenant: (demands[tenant], tenant)
        )
        named = {tenant_hash(tenant): demands[tenant] for tenant in largest}
        self.reported = frozenset(named)
        for tenant in largest:
            del demands[tenant]
        evidence = self.evidence
        return Report(
            demands=named,
            rest=sum(demands.values()),
            rest_count=len(demands),
            admitted=evidence.admitted.rate(now),
            turned_away=evidence.turned_away.rate(now),
            late=evidence.late.rate(now),
            quick=evidence.quick.rate(now),
            requests=evidence.requests.rate(now),
            alarmed=evidence.is_alarming(now),
            short=self.is_short,
        )

    def on_call(self, now: float) -> None:
        """Report soon, as this entry judges the group for all entries."""
        if not self.is_watched(now):
            self.next_report_at = now
        self.watched_until = now + REPORT_SECONDS

    def on_undecided(self, now: float) -> None:
        """Go on to report, as the entry that judges the group has not yet done so.

        Shares that an earlier keeper has worked out stay in force meanwhile.
        """
        self.watched_until = now + REPORT_SECONDS

    def keep_shares(self, until: float) -> None:
        """Keep shares in force at least until a point in time."""
        if self.is_short:
            self.shares_until = max(self.shares_until, until)

    def on_shares(
        self, shares: Shares, *, short: bool, watched: bool, now: float
    ) -> None:
        """Put shares in force.

        :param watched: whether this entry should go on to report.
        """
        self.shares = shares
        self.shares_until = now + SHARES_SECONDS
        if watched:
            self.watched_until = now + REPORT_SECONDS
        elif not self.evidence.is_alarming(now):
            self.watched_until = now
        self._set_short(short)

    def _set_short(self, short: bool) -> None:
        if short == self.is_short:
            return
        self.is_short = short
        event = "capacity is short" if short else "capacity is no longer short"
        logger.info(event, extra={"group": self.group})
        self.telemetry.on_shortage(self.group, short=short)
        if not short:
            self.roundings.clear()
            self.returns.clear()
            self.over.clear()
            self.logged_over = frozenset()

    def _log_over(self, now: float) -> None:
        """Log the tenants over their share if they have changed."""
        largest = heapq.nlargest(
            MAX_LOGGED_TENANTS,
            self.over,
            key=lambda tenant: (self.over[tenant], tenant),
        )
        names = frozenset(largest)
        if names != self.logged_over:
            refused = {tenant: self.over[tenant] for tenant in largest}
            logger.info(
                "tenants are over their share",
                extra={
                    "group": self.group,
                    "refused": refused,
                    "tenants": len(self.over),
                },
            )
            self.logged_over = names
        self.log_at = now + LOG_INTERVAL_SECONDS
        self.over.clear()
