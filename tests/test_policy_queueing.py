"""The default side policy: fair queueing, priorities and admission."""

from __future__ import annotations

import pytest

from bergamotmast.errors import ResultCode
from bergamotmast.model import Cost
from bergamotmast.model import Priority
from bergamotmast.model import Role
from bergamotmast.policy.interfaces import QueueItem
from bergamotmast.policy.side_policy import FairSidePolicy

CHECK = Cost(200, 2)


def side(max_streams: int = 8) -> FairSidePolicy:
    policy = FairSidePolicy()
    policy.configure(max_streams, 100_000, 10_000.0, 400.0, Role.MIXED)
    return policy


def item(
    name: str,
    cost: Cost = CHECK,
    tenant: str = "trindade",
    priority: Priority = Priority.INTERACTIVE,
    start_by: float = 10.0,
    deadline: float = 60.0,
    weight: float = 1.0,
) -> QueueItem:
    return QueueItem(
        name, tenant, weight, "class", priority, cost, start_by, deadline, 0.0
    )


def appraisal(name: str) -> QueueItem:
    return item(
        name, Cost(1000, 1000), priority=Priority.BATCH, start_by=900.0, deadline=1000.0
    )


def drain(policy: FairSidePolicy, most: int) -> list[str]:
    """Start items one after another, each ending before the next."""
    names = []
    while len(names) < most:
        taken = policy.next(0.0)
        if taken is None:
            break
        names.append(taken.attempt)
        policy.on_progress(taken.attempt, 1, 0.0)
        policy.on_ended(taken.attempt, 0.0)
    return names


def test_heavy_tenant_waits_behind_its_own_backlog() -> None:
    """A small tenant's request arrives behind forty of a large tenant.

    Tenants share by token cost, so it starts second and not forty-first.
    """
    policy = side()
    for number in range(40):
        assert policy.offer(item(f"heavy-{number}", tenant="heavy"), 0.0) == 0
    assert policy.offer(item("light", tenant="light"), 0.0) is ResultCode.OK
    assert "light" in drain(policy, 2)


def test_tenants_share_by_weight() -> None:
    policy = side()
    for number in range(30):
        policy.offer(item(f"a-{number}", tenant="a", weight=2.0), 0.0)
        policy.offer(item(f"b-{number}", tenant="b"), 0.0)
    first = drain(policy, 30)
    assert sum(name.startswith("a") for name in first) in range(19, 22)


def test_check_overtakes_waiting_appraisals() -> None:
    """A check arrives behind appraisals that fill the queue and the batch.

    Batch work leaves a place free, in which the check starts at once.
    """
    policy = side()
    for number in range(20):
        policy.offer(appraisal(f"long-{number}"), 0.0)
    started = 0
    while (taken := policy.next(0.0)) is not None:
        policy.on_progress(taken.attempt, 1, 0.0)
        started += 1
    assert started == 6
    assert policy.offer(item("check"), 0.0) is ResultCode.OK
    taken = policy.next(0.0)
    assert taken is not None
    assert taken.attempt == "check"


def test_long_work_starts_during_an_endless_burst_of_checks() -> None:
    """Checks arrive every 50 ms, as fast as they are answered, and hold every place.

    The appraisal behind them waits half of its allowed time, then claims its share, and
    has its first token in time.
    """
    policy = side()
    policy.offer(item("long", Cost(1000, 1000), priority=Priority.BATCH), 0.0)
    for number in range(200):
        now = 0.05 * number
        policy.offer(item(f"check-{number}", start_by=now + 2.0), now)
        taken = policy.next(now)
        assert taken is not None
        if taken.attempt == "long":
            break
        policy.on_progress(taken.attempt, 1, now)
        policy.on_ended(taken.attempt, now)
    assert taken.attempt == "long"
    assert 5.0 <= now <= 6.0


def test_saturation_is_refused_at_admission() -> None:
    """At several times the capacity, requests that would be late are refused at once.

    No prefill is spent on them.
    """
    policy = side(max_streams=64)
    codes = [policy.offer(item(f"r-{n}", start_by=1.0), 0.0) for n in range(200)]
    assert codes.count(ResultCode.OK) == 50
    assert set(codes[50:]) == {ResultCode.DEADLINE_UNREACHABLE}


def test_expired_item_costs_no_prefill() -> None:
    policy = side()
    policy.offer(item("late", start_by=1.0), 0.0)
    assert [(i.attempt, c) for i, c in policy.expire(1.5)] == [
        ("late", ResultCode.EXPIRED_IN_QUEUE)
    ]
    assert policy.next(1.5) is None
    assert policy.waiting() == 0


@pytest.mark.parametrize("ended", [True, False])
def test_counters_return_to_zero(ended: bool) -> None:
    policy = side()
    policy.offer(item("one"), 0.0)
    if ended:
        policy.next(0.0)
        policy.on_progress("one", 5, 0.0)
        policy.on_ended("one", 0.0)
    else:
        assert policy.withdraw("one")
    assert policy.waiting_cost() == Cost(0, 0)
    assert policy.running_decode() == 0
    assert policy.kv_free() == 1.0
    assert sum(policy.unfinished_prefill.values()) == 0
