"""Roles are planned without engines that limit their requests."""

from __future__ import annotations

import math

import pytest

from bergamotmast.direct.limited_engines import LimitedEngineWatch
from bergamotmast.model import Role
from bergamotmast.policy.direct_roles import EngineRole
from bergamotmast.policy.direct_roles import RoleController
from bergamotmast.policy.limited_engines import HOLD_SECONDS
from bergamotmast.policy.limited_engines import LimitedEngine
from bergamotmast.policy.limited_engines import LimitedEngines
from direct_support import engine
from direct_support import serving
from limit_support import LimitedScript
from platform_standin import EngineScript

ROLES = {"p1": Role.PREFILL, "p2": Role.PREFILL, "p3": Role.PREFILL}
ROLES |= {"d1": Role.DECODE, "d2": Role.DECODE}


def engines(**rates):
    return [LimitedEngine(n, r, rates.get(n, math.inf)) for n, r in ROLES.items()]


def test_engines_with_half_of_their_part_count():
    limited = LimitedEngines()
    for now in (0.0, 9.0):
        assert limited.lost(engines(d1=10.0, d2=10.0), 40.0, now) == set()


def test_engines_with_less_are_lost_after_a_while():
    limited = LimitedEngines()
    assert limited.lost(engines(d1=4.0, d2=9.0), 40.0, 0.0) == set()
    assert limited.lost(engines(d1=4.0), 40.0, HOLD_SECONDS) == {"d1"}
    assert limited.lost(engines(), 40.0, HOLD_SECONDS) == set()


def test_another_engine_decodes_while_all_decode_engines_are_limited():
    """Guards against refusing most requests beside idle prefill engines."""
    limited = LimitedEngines()
    limited.lost(engines(d1=4.0, d2=4.0), 40.0, 0.0)
    lost = limited.lost(engines(d1=4.0, d2=4.0), 40.0, HOLD_SECONDS)
    serving_engines = [EngineRole(n, r) for n, r in ROLES.items() if n not in lost]
    order = RoleController().decide(serving_engines, 0.1, HOLD_SECONDS)
    assert order is not None
    assert (order.name, order.role, order.urgent) == ("p1", Role.DECODE, True)


@pytest.mark.parametrize("limit", ["0.2", ""])
async def test_limits_are_compared_to_the_requests_of_the_group(limit, monkeypatch):
    monkeypatch.setattr("bergamotmast.policy.limited_engines.HOLD_SECONDS", 0.0)
    one = engine("i-1", LimitedScript(EngineScript(), limit))
    async with serving(one) as entry:
        for number in range(20):
            await entry.ask(f"/long/{number}", X_Token_Count="40,9")
        context = entry.core.context
        watch = LimitedEngineWatch(
            entry.fleet, context.rate_limits, context.retry_budget
        )
        members = entry.fleet.present("llm", 0.0)
        assert watch.lost("llm", members, 1.0) == ({"i-1"} if limit else set())
