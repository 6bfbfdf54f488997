"""Tests of the role controller with a single engine left.

Guards against refusing every request while the only engine has the prefill role: a
prefill engine can't complete a request alone, while a decode engine also prefills.
"""

from __future__ import annotations

import pytest

from bergamotmast.model import Role
from bergamotmast.policy.direct_roles import EngineRole
from bergamotmast.policy.direct_roles import RoleController


@pytest.mark.parametrize("decode_share", [0.0, 0.06, 1.0])
def test_last_engine_with_the_prefill_role_is_ordered_to_decode(decode_share):
    controller = RoleController()
    order = controller.decide([EngineRole("i-1", Role.PREFILL, 3)], decode_share, 100.0)
    assert order is not None
    assert (order.name, order.role, order.urgent) == ("i-1", Role.DECODE, True)


def test_last_engine_with_the_decode_role_gets_no_order():
    controller = RoleController()
    for now in (100.0, 110.0, 130.0):
        engines = [EngineRole("i-1", Role.DECODE)]
        assert controller.decide(engines, 0.0, now) is None


def test_last_engine_that_is_changing_its_role_gets_no_second_order():
    controller = RoleController()
    engines = [EngineRole("i-1", Role.DECODE, changing=True)]
    assert controller.decide(engines, 0.0, 100.0) is None
    assert controller.decide([], 0.0, 100.5) is None
