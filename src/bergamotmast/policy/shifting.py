"""Default shift policy: changes an engine's role if the change pays back in time.

Load pattern: the share of prompt tokens swings, within minutes or over half a day, and
sometimes back and forth faster than a change pays back.

Without it: a group split for appraisals refuses checks while its decode engines idle.
If roles change at each threshold crossed, engines spend the swing changing roles and
are away just when they are needed.

Thresholds: a change is made only if its predicted gain makes up for the engine's
absence within :data:`MAX_PAYBACK_SECONDS`, both for the demand of the last
:data:`SHORT_TERM_SECONDS` and for that of the last :data:`LONG_TERM_SECONDS`, and only
after it has been wanted for as long as the payback itself (:data:`MIN_HOLD_SECONDS` at
least): a swing that turns back sooner causes no change. Changes are paced by a token
bucket, an engine keeps a role for :data:`MIN_DWELL_SECONDS`, one change runs at a time
in a group, and the last engine of a role stays. If more than :data:`MAX_STALE_SHARE` of
the reports are older than :data:`STALE_SECONDS`, nothing is changed: during an outage
the last known mix is as good as any guess, and the effect of a change can't be
observed.
"""

from __future__ import annotations

import dataclasses
import math

from ..model import Role
from .capacity import RoleRates
from .capacity import served_share
from .demand import Demand
from .demand import DemandMeter
from .interfaces import EngineView
from .interfaces import GroupSnapshot
from .interfaces import RoleChange

SHORT_TERM_SECONDS = 10.0
"""Time constant of the short-term demand, which must justify a change."""

LONG_TERM_SECONDS = 45.0
"""Time constant of the long-term demand, which must justify the same change."""

MIN_DEMAND_WEIGHT = 0.6
"""Weight of the long-term demand below which nothing is changed.

A planner that has just started knows only the last seconds and would take half a swing
for the whole mix; after the time constant it has seen the other half.
"""

MAX_PAYBACK_SECONDS = 60.0
"""Time within which a change must make up for the engine's absence."""

MIN_HOLD_SECONDS = 10.0
"""Minimum time for which a change must have been wanted."""

MIN_DWELL_SECONDS = 60.0
"""Minimum time for which an engine keeps a role."""

BUCKET_REFILL_SECONDS = 45.0
"""Time in which the token bucket gains one change."""

BUCKET_CAPACITY = 2.0
"""Capacity of the token bucket: changes that may follow each other at once."""

STALE_SECONDS = 8.0
"""Age above which a report says nothing about the mix."""

MAX_STALE_SHARE = 0.25
"""Share of stale reports above which no role is changed."""

MIN_GAIN_SHARE = 0.03
"""Minimum gain of a change, as a share of the demand; a smaller one is within the
error."""

DRAIN_FACTOR = 2.0
"""Time for which a change takes an engine away, in multiples of the change itself.

Running streams end or move first, and the engine's prefix cache is cold afterwards.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class WantedChange:
    """A role change that has been wanted since a point in time."""

    source: Role
    target: Role
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gain:
    """Predicted gain and cost of a role change.

    :param share: additional share of the demand that is served.
    :param payback: seconds until the gain has made up for the engine's absence.
    """

    source: Role
    target: Role
    share: float
    payback: float


class GroupState:
    """Demand, rates and pacing state of one group."""

    def __init__(self) -> None:
        self.short_term = DemandMeter(SHORT_TERM_SECONDS)
        self.long_term = DemandMeter(LONG_TERM_SECONDS)
        self.rates = RoleRates()
        self.wanted_change: WantedChange | None = None
        self.bucket = BUCKET_CAPACITY
        self.refilled_at: float | None = None
        self.changed_at: dict[str, float] = {}

    def refill(self, now: float) -> None:
        """Refill the token bucket up to the present time."""
        if self.refilled_at is not None:
            earned = (now - self.refilled_at) / BUCKET_REFILL_SECONDS
            self.bucket = min(BUCKET_CAPACITY, self.bucket + earned)
        self.refilled_at = now


class PaybackShiftPolicy:
    """The default shift policy: a change must pay for itself."""

    def __init__(self) -> None:
        self.groups: dict[str, GroupState] = {}

    def decide(self, snapshot: GroupSnapshot, now: float) -> RoleChange | None:
        """Return the one change to start now, or ``None``."""
        state = self.groups.setdefault(snapshot.group, GroupState())
        state.refill(now)
        fresh = [e for e in snapshot.engines if _fresh(e, now)]
        for meter in (state.short_term, state.long_term):
            meter.observe(fresh, now)
        state.rates.observe(fresh)
        if self._frozen(snapshot, fresh) or state.long_term.weight < MIN_DEMAND_WEIGHT:
            state.wanted_change = None
            return None
        gain = self._best(snapshot, state)
        if not self._lasting(state, gain, now):
            return None
        assert gain is not None
        return self._begin(snapshot, state, gain, now)

    def _frozen(self, snapshot: GroupSnapshot, fresh: list[EngineView]) -> bool:
        engines = snapshot.engines
        if not engines or any(e.changing for e in engines):
            return True
        return len(engines) - len(fresh) > MAX_STALE_SHARE * len(engines)

    def _best(self, snapshot: GroupSnapshot, state: GroupState) -> Gain | None:
        """Return the change with the largest gain for both demands."""
        counts = role_counts(snapshot)
        best: Gain | None = None
        for source, target in possible_changes(snapshot, counts):
            gain = min(
                (
                    _gain(counts, state.rates, meter.demand(), source, target, snapshot)
                    for meter in (state.short_term, state.long_term)
                ),
                key=lambda g: g.share,
            )
            if gain.share < MIN_GAIN_SHARE or gain.payback > MAX_PAYBACK_SECONDS:
                continue
            if best is None or gain.share > best.share:
                best = gain
        return best

    def _lasting(self, state: GroupState, gain: Gain | None, now: float) -> bool:
        if gain is None:
            state.wanted_change = None
            return False
        wanted_change = state.wanted_change
        if wanted_change is None or (wanted_change.source, wanted_change.target) != (
            gain.source,
            gain.target,
        ):
            state.wanted_change = wanted_change = WantedChange(
                gain.source, gain.target, now
            )
        return now - wanted_change.since >= max(MIN_HOLD_SECONDS, gain.payback)

    def _begin(
        self, snapshot: GroupSnapshot, state: GroupState, gain: Gain, now: float
    ) -> RoleChange | None:
        if state.bucket < 1.0:
            return None
        engine = _least_busy(snapshot, state, gain.source, now)
        if engine is None:
            return None
        state.bucket -= 1.0
        state.wanted_change = None
        names = {e.name for e in snapshot.engines}
        kept = {n: at for n, at in state.changed_at.items() if n in names}
        state.changed_at = kept | {engine.name: now}
        reason = f"serves {gain.share:.0%} more, pays back in {gain.payback:.0f} s"
        return RoleChange(engine.name, gain.target, reason)


def role_counts(snapshot: GroupSnapshot) -> dict[Role, int]:
    """Return the number of engines with each role in the plan."""
    counts = dict.fromkeys(Role, 0)
    for engine in snapshot.engines:
        counts[engine.role] += 1
    return counts


def possible_changes(
    snapshot: GroupSnapshot, counts: dict[Role, int]
) -> list[tuple[Role, Role]]:
    """Return the (from, to) changes that keep the bounds and a role's last engine."""
    changes = []
    for source in Role:
        bounds = snapshot.bounds.get(source)
        min_count = max(1, bounds.least if bounds else 0)
        if counts[source] <= min_count:
            continue
        for target in Role:
            if target is not source and _is_below_max(snapshot, counts, target):
                changes.append((source, target))
    return changes


def _is_below_max(
    snapshot: GroupSnapshot, counts: dict[Role, int], target: Role
) -> bool:
    """Return whether the bounds allow one more engine in a role."""
    bounds = snapshot.bounds.get(target)
    if bounds is None or bounds.most is None:
        return True
    return counts[target] < bounds.most


def _gain(
    counts: dict[Role, int],
    rates: RoleRates,
    demand: Demand,
    source: Role,
    target: Role,
    snapshot: GroupSnapshot,
) -> Gain:
    without = counts | {source: counts[source] - 1}
    after = without | {target: without[target] + 1}
    served = served_share(counts, rates, demand)
    share = served_share(after, rates, demand) - served
    loss = max(0.0, served - served_share(without, rates, demand))
    absence = snapshot.change_seconds * DRAIN_FACTOR
    payback = absence * (loss + share) / share if share > 0.0 else math.inf
    return Gain(source, target, share, payback)


def _least_busy(
    snapshot: GroupSnapshot, state: GroupState, role: Role, now: float
) -> EngineView | None:
    """Return the engine of a role with the least decode work to move."""
    changeable = [
        e
        for e in snapshot.engines
        if e.role is role
        and e.report is not None
        and now - state.changed_at.get(e.name, -math.inf) >= MIN_DWELL_SECONDS
    ]
    return min(changeable, key=lambda e: (_decode_left(e), e.name), default=None)


def _decode_left(engine: EngineView) -> int:
    report = engine.report
    return report.running_decode if report else 0


def _fresh(engine: EngineView, now: float) -> bool:
    if engine.report is None:
        return False
    if engine.fresh_until is not None:
        return now <= engine.fresh_until
    return now - engine.reported_at <= STALE_SECONDS
