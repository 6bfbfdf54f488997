"""The default shift policy: role changes that pay back in time."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

import pytest

from bergamotmast.config.document import RoleBounds
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.policy.interfaces import EngineView
from bergamotmast.policy.interfaces import GroupSnapshot
from bergamotmast.policy.interfaces import RoleChange
from bergamotmast.policy.shifting import PaybackShiftPolicy

RATES = {
    Role.MIXED: (8000.0, 800.0),
    Role.PREFILL: (10000.0, 80.0),
    Role.DECODE: (800.0, 1000.0),
}


@dataclasses.dataclass
class Group:
    """A group of engines with an offered mix; role changes take effect at once."""

    roles: dict[str, Role]
    policy: PaybackShiftPolicy = dataclasses.field(default_factory=PaybackShiftPolicy)
    offered: list[float] = dataclasses.field(default_factory=lambda: [0.0, 0.0])
    changes: list[tuple[float, RoleChange]] = dataclasses.field(default_factory=list)
    bounds: dict[Role, RoleBounds] = dataclasses.field(default_factory=dict)
    report_age: float = 0.5

    def view(self, name: str, now: float) -> EngineView:
        role = self.roles[name]
        prefill, decode = (int(total / len(self.roles)) for total in self.offered)
        report = SideReport(
            Readiness.READY,
            role,
            prefill_rate=RATES[role][0],
            decode_rate=RATES[role][1],
            offered_prefill=prefill,
            offered_decode=decode,
        )
        return EngineView(name, "zone-1", report, now - self.report_age, role, False)

    def run(self, mix: cabc.Callable[[float], tuple[float, float]], end: int) -> None:
        for now in range(end):
            prefill, decode = mix(now)
            self.offered[0] += prefill
            self.offered[1] += decode
            views = tuple(self.view(n, now) for n in sorted(self.roles))
            snapshot = GroupSnapshot("main", views, self.bounds, 5.0)
            change = self.policy.decide(snapshot, float(now))
            if change is not None:
                self.changes.append((now, change))
                self.roles[change.engine] = change.role


def split() -> Group:
    prefill = {f"p{n}": Role.PREFILL for n in range(3)}
    return Group(prefill | {f"d{n}": Role.DECODE for n in range(3)})


PREFILL_HEAVY = (34000.0, 800.0)
DECODE_HEAVY = (6000.0, 3400.0)


def test_lasting_swing_moves_engines_one_at_a_time() -> None:
    """Checks replace appraisals for good, and prompts wait while decode engines idle.

    Engines change their roles one after another, never two at a time.
    """
    group = split()
    group.run(lambda now: PREFILL_HEAVY, 300)
    assert [c.role for _, c in group.changes] == [Role.PREFILL]
    assert group.changes[0][0] >= 10


@pytest.mark.parametrize("period", [10, 20, 40])
def test_swing_shorter_than_payback_causes_no_change(period: int) -> None:
    group = split()
    group.run(
        lambda now: PREFILL_HEAVY if now % period < period / 2 else DECODE_HEAVY, 1200
    )
    assert group.changes == []


def test_stale_reports_freeze_roles() -> None:
    """Reports stop just after the mix has changed.

    The last reported load may be over, and the effect of a change could not be
    observed.
    """
    group = split()
    group.report_age = 30.0
    group.run(lambda now: PREFILL_HEAVY, 300)
    assert group.changes == []


def test_last_engine_of_a_role_stays() -> None:
    group = Group({"p0": Role.PREFILL, "d0": Role.DECODE})
    group.run(lambda now: (34000.0, 0.0), 600)
    assert group.changes == []


def test_role_bounds_are_kept() -> None:
    group = split()
    group.bounds = {Role.DECODE: RoleBounds(least=3), Role.MIXED: RoleBounds(most=0)}
    group.run(lambda now: PREFILL_HEAVY, 300)
    assert group.changes == []


def test_balanced_group_is_not_changed() -> None:
    group = split()
    group.run(lambda now: (15000.0, 1500.0), 600)
    assert group.changes == []
