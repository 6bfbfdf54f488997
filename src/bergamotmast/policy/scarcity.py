"""Whether a group is short of capacity, and how much work it can do then.

Load pattern: for seconds, several entries together send a group more than it can do;
then demand falls, or capacity returns.

Without it: shares of tenants have no capacity to be derived from. A fixed number would
be wrong as soon as an upstream slows down, restarts or joins, and would refuse requests
while upstreams are idle.

The capacity is not predicted, but measured: while requests are turned away, it is the
work of those that are not. Somewhat less is admitted until the queues are short again.
While nothing is turned away and few answers are late, the capacity rises until
something is, or until it is enough for the demand, which ends the shortage.

A request that was turned away is evidence only if an upstream that responds had no room
for it: a group that has lost some upstreams may have capacity to spare at the others.

One entry is not evidence of a shortage, as its view of the upstreams may be wrong: it
asks for the reports of all entries, and their sum is judged.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import typing as t

import msgspec

from .decayed_rate import DecayedRate
from .fair_shares import Demand
from .fair_shares import admitted_fraction
from .fair_shares import fair_level

EVIDENCE_SECONDS = 1.0
"""Time constant of the evidence, and for how long it must last at an entry."""

MIN_REQUESTS = 5.0
"""Decayed number of requests below which an entry, or all of them, judge nothing."""

BEGIN_TURNED_AWAY = 0.1
"""Share of the admitted work that is turned away when a shortage begins. Late answers
alone begin none: engines that went dark made half of the answers late while others had
capacity to spare, and shares refused requests that could have been served."""

HOLD_TURNED_AWAY = 0.03
"""Share turned away above which the capacity does not rise. Below
:data:`BEGIN_TURNED_AWAY`, it is mostly what was turned away some seconds ago, and the
work that is served says nothing of the capacity, as less is admitted since."""

HOLD_LATE = 0.4
"""Share that is late above which the capacity does not rise."""

DRAIN_SHARE = 0.85
"""Share of the capacity that is admitted while there is evidence: at all of it, the
queues would stay full, and the next request of any tenant be turned away."""

ADAPTATION_SECONDS = 0.5
"""Time constant with which the capacity follows the work that is served."""

PROVEN_DECREASE = 0.01
"""Fall of the proven capacity a second while answers are late. How much too much is
sent can't be told from lateness: answers stay late until the queues are short again."""

INCREASE = 0.1
"""Rise of the capacity a second without evidence, as a share of it."""

FAST_INCREASE = 0.3
"""The same after :data:`FAST_AFTER_SECONDS` without evidence, as capacity has returned
or demand has fallen."""

FAST_AFTER_SECONDS = 2.0

MAX_TRIED_SHARE = 1.2
"""Largest capacity as a share of the admitted work, or of the proven capacity: evidence
of too large a step comes two to three seconds later."""

LONG_CLEAR_INTERVALS = 8.0
"""Intervals between reports without evidence after which the step is
:data:`LONG_CLEAR_SHARE`: with steady capacity, evidence of smaller ones has come by
then. Without it, capacity that had returned fourfold was idle for 15 seconds."""

LONG_CLEAR_SHARE = 1.6

QUICK_SHARE = 0.8
"""Share of the admitted work that hardly waits while there is capacity to spare."""

BUSY_INCREASE = 0.03
"""Rise of the capacity a second while requests wait, though few are late."""

MAX_BUSY_SHARE = 1.05
"""Largest capacity then as a share of the proven one, or of the admitted work."""

LONG_BUSY_INTERVALS = 16.0
"""As :data:`LONG_CLEAR_INTERVALS` while requests wait: plain answers seem to do so
always where the objective is close to the usual time."""

MIN_CAPACITY_SHARE = 0.1
"""Smallest capacity as a share of the demand: in an outage, nothing would be admitted
that could show its end."""

MAX_CAPACITY_SHARE = 1.1
"""Largest capacity as a share of the demand."""

END_SECONDS = 3.0
"""Time without evidence, and with enough capacity, after which a shortage ends."""

REPORT_SECONDS = 5.0
"""Time for which an entry's report counts, and an alarm keeps the reports coming."""


Work: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
"""Upstream-seconds a second, as bounded in a message; or a number of requests."""


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one entry has seen of a group in the last seconds; work is a second.

    Entries send it to each other: the order of its fields is that of the message.

    :param demands: work by hash of the tenant, of those that ask for most.
    :param rest: work of all other tenants.
    :param rest_count: number of the other tenants.
    :param admitted: work that was admitted.
    :param turned_away: admitted work that no upstream took, as those that respond were
        full.
    :param late: admitted work that was answered late, or is predicted to be.
    :param quick: admitted work that hardly waits.
    :param requests: number of admitted requests.
    :param alarmed: whether the entry has seen evidence of a shortage.
    :param short: whether it takes the group for short of capacity.
    """

    demands: t.Annotated[dict[int, Work], msgspec.Meta(max_length=64)]
    rest: Work
    rest_count: t.Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
    admitted: Work
    turned_away: Work
    late: Work
    quick: Work
    requests: Work
    alarmed: bool
    short: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """What is admitted of each tenant's requests while capacity is short.

    :param fractions: by tenant.
    :param rest: of tenants that are not named.
    """

    fractions: cabc.Mapping[int, float]
    rest: float = 1.0


class Evidence:
    """What happens to the admitted requests of one entry.

    :param alarming_since: since when the evidence suggests a shortage; a point in
        time, ``None`` if it doesn't.
    """

    def __init__(self) -> None:
        self.admitted = DecayedRate(EVIDENCE_SECONDS)
        self.requests = DecayedRate(EVIDENCE_SECONDS)
        self.turned_away = DecayedRate(EVIDENCE_SECONDS)
        self.late = DecayedRate(EVIDENCE_SECONDS)
        self.quick = DecayedRate(EVIDENCE_SECONDS)
        self.alarming_since: float | None = None

    def on_admitted(self, work: float, now: float) -> None:
        """Record an admitted request."""
        self.admitted.add(work, now)
        self.requests.add(1.0, now)

    def is_alarming(self, now: float) -> bool:
        """Return whether there has been evidence of a shortage for long enough."""
        admitted = self.admitted.sum(now)
        turned_away = self.turned_away.sum(now)
        suggested = (
            self.requests.sum(now) >= MIN_REQUESTS
            and turned_away >= BEGIN_TURNED_AWAY * admitted
        )
        if not suggested:
            self.alarming_since = None
        elif self.alarming_since is None:
            self.alarming_since = now
        since = self.alarming_since
        return since is not None and now >= since + EVIDENCE_SECONDS


@dataclasses.dataclass(slots=True)
class Totals:
    """Sums over the reports of all entries."""

    admitted: float = 0.0
    turned_away: float = 0.0
    late: float = 0.0
    quick: float = 0.0
    requests: float = 0.0
    demand: float = 0.0
    reports: int = 0
    short_reports: int = 0

    @property
    def served(self) -> float:
        """Admitted work that was not turned away."""
        return self.admitted - self.turned_away

    def exceeds_turned_away(self, share: float) -> bool:
        """Return whether more than a share of the admitted work is turned away."""
        return self.requests >= MIN_REQUESTS and (
            self.turned_away > share * self.admitted
        )

    def exceeds_late(self, share: float) -> bool:
        """Return whether more than a share of the admitted work is late."""
        return self.requests >= MIN_REQUESTS and self.late > share * self.admitted


class GroupShortage:
    """Judges one group for all entries, from their reports.

    :param reports: last report of each entry, and when it came; a point in time.
    :param judged_at: time of the last judgement; a point in time.
    :param alarmed_until: until when an alarm keeps the reports coming; a point in time.
    :param is_short: whether the group is short of capacity.
    :param capacity: upstream-seconds a second; has no meaning without a shortage.
    :param proven: what was served while requests were turned away, or was admitted for
        some time without evidence; the capacity falls back to it when answers are late.
    :param clear_since: since when there is no evidence; a point in time.
    :param is_judged: whether there was a judgement.
    :param interval: seconds between two reports of an entry.
    :param level: work a second up to which a tenant is admitted.
    :param demands: work a second by tenant, as last judged.
    :param rest: that of the tenants that are not named.
    :param over: tenants above the level, the largest first.
    """

    def __init__(self, now: float) -> None:
        self.reports: dict[str, tuple[Report, float]] = {}
        self.judged_at = now
        self.alarmed_until = -math.inf
        self.is_short = False
        self.capacity = math.inf
        self.proven = math.inf
        self.clear_since = now
        self.is_judged = False
        self.interval = 1.0
        self.level = math.inf
        self.demands: dict[int, float] = {}
        self.rest = Demand(0.0)
        self.over: list[int] = []

    def is_watched(self, now: float) -> bool:
        """Return whether all entries should report."""
        return self.is_short or now < self.alarmed_until

    def is_outdated(self, now: float) -> bool:
        """Return whether no report counts any more.

        After a pause of the entry that judges, what it knows of the group is wrong.
        """
        return not any(now < at + REPORT_SECONDS for _, at in self.reports.values())

    def on_report(self, entry: str, report: Report, now: float) -> None:
        """Record an entry's report."""
        self.reports[entry] = report, now
        if report.alarmed or report.short:
            self.alarmed_until = now + REPORT_SECONDS

    def judge(self, now: float, interval: float) -> None:
        """Judge the reports, and work out the level.

        :param interval: seconds between two reports of an entry.
        """
        self.interval = interval
        seconds = max(0.0, now - self.judged_at)
        self.judged_at = now
        totals = self._add_up(now)
        if self.is_short:
            self._adapt(totals, min(seconds, REPORT_SECONDS), now)
        elif totals.exceeds_turned_away(BEGIN_TURNED_AWAY) or (
            # An earlier keeper has judged so, and its shares leave no evidence.
            not self.is_judged and 2 * totals.short_reports > totals.reports
        ):
            self.is_short = True
            self.clear_since = now
            self.capacity = self.proven = totals.served
        self.is_judged = True
        self._set_level(totals)
        over = [tenant for tenant, work in self.demands.items() if work > self.level]
        self.over = sorted(over, key=lambda tenant: (-self.demands[tenant], tenant))

    def _add_up(self, now: float) -> Totals:
        totals = Totals()
        demands: dict[int, float] = {}
        rest, rest_count = 0.0, 0
        for entry, (report, at) in list(self.reports.items()):
            if now >= at + REPORT_SECONDS:
                del self.reports[entry]
                continue
            totals.admitted += report.admitted
            totals.turned_away += report.turned_away
            totals.late += report.late
            totals.quick += report.quick
            totals.requests += report.requests
            totals.reports += 1
            totals.short_reports += report.short
            for tenant, work in report.demands.items():
                demands[tenant] = demands.get(tenant, 0.0) + work
            rest += report.rest
            # The same tenant is counted at several entries, which rather admits too
            # much of them: they are small where they are not named.
            rest_count += report.rest_count
        self.demands, self.rest = demands, Demand(rest, max(1, rest_count))
        totals.demand = sum(demands.values()) + rest
        return totals

    def _adapt(self, totals: Totals, seconds: float, now: float) -> None:
        """Adapt the capacity to what happened since the last judgement."""
        if totals.exceeds_turned_away(BEGIN_TURNED_AWAY):
            self.clear_since = now
            step = 1.0 - math.exp(-seconds / ADAPTATION_SECONDS)
            self.capacity += (totals.served - self.capacity) * step
            self.proven = self.capacity
        elif totals.exceeds_turned_away(HOLD_TURNED_AWAY) or totals.exceeds_late(
            HOLD_LATE
        ):
            self.clear_since = now
            self.proven *= 1.0 - PROVEN_DECREASE * seconds
            self.capacity = min(self.capacity, self.proven)
        else:
            self._raise(totals, seconds, now - self.clear_since)
        if self.capacity >= totals.demand and now >= self.clear_since + END_SECONDS:
            self.is_short = False

    def _raise(self, totals: Totals, seconds: float, clear_seconds: float) -> None:
        """Raise the capacity, as there is no evidence that it is too large."""
        intervals = clear_seconds / self.interval
        if totals.quick >= QUICK_SHARE * totals.admitted:
            fast = clear_seconds >= FAST_AFTER_SECONDS
            increase = FAST_INCREASE if fast else INCREASE
            is_long = intervals >= LONG_CLEAR_INTERVALS
            share = LONG_CLEAR_SHARE if is_long else MAX_TRIED_SHARE
        else:
            increase = BUSY_INCREASE
            is_long = intervals >= LONG_BUSY_INTERVALS
            share = LONG_CLEAR_SHARE if is_long else MAX_BUSY_SHARE
            # What was tried beyond the proven capacity has made requests wait.
            self.capacity = min(self.capacity, share * self.proven)
        factor = 1.0 + increase * seconds
        self.capacity = max(self.capacity, self.proven)
        tried = share * max(totals.admitted, self.proven)
        self.capacity = min(self.capacity * factor, max(self.capacity, tried))
        if clear_seconds >= END_SECONDS:
            self.proven = max(self.proven, totals.admitted)

    def _set_level(self, totals: Totals) -> None:
        if not self.is_short:
            self.level = math.inf
            return
        self.capacity = min(
            max(self.capacity, MIN_CAPACITY_SHARE * totals.demand),
            MAX_CAPACITY_SHARE * totals.demand,
        )
        demands = [Demand(work) for work in self.demands.values() if work > 0.0]
        if self.rest.work > 0.0:
            demands.append(self.rest)
        # Refusing requests of the only tenant would be of no use to anyone.
        is_shared = sum(demand.weight for demand in demands) > 1.0
        if not is_shared:
            self.level = math.inf
            return
        drains = self.clear_since == self.judged_at
        admitted = self.capacity * (DRAIN_SHARE if drains else 1.0)
        self.level = fair_level(demands, admitted)

    def shares(self, tenants: cabc.Iterable[int], count: int) -> Shares:
        """Return the shares for an entry.

        :param tenants: tenants to name.
        :param count: how many of the largest are named in addition, if they are over
            the level.
        """
        named = {*tenants, *self.over[:count]}
        fractions = {
            tenant: admitted_fraction(Demand(self.demands.get(tenant, 0.0)), self.level)
            for tenant in named
        }
        return Shares(fractions, admitted_fraction(self.rest, self.level))
