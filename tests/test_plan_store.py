from __future__ import annotations

import asyncio
import random

import pytest

from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import LeadershipLostError
from bergamotmast.history import MemoryHistory
from bergamotmast.model import Assignment
from bergamotmast.model import FencingToken
from bergamotmast.model import Role
from bergamotmast.planner.election import LEASE_SECONDS
from bergamotmast.planner.election import MAX_POLL_SECONDS
from bergamotmast.planner.election import PlannerElection
from bergamotmast.planner.plan_store import MAX_ENGINES_PER_TXN
from bergamotmast.planner.plan_store import PlanStore
from bergamotmast.protocol.plan import HEAD_KEY
from bergamotmast.protocol.plan import decode_engine_plan
from bergamotmast.protocol.plan import decode_head
from bergamotmast.protocol.plan import engine_key
from bergamotmast.standins.key_value import KeyValueStandIn

PREFILL = Assignment(Role.PREFILL, ("m@1",))
DECODE = Assignment(Role.DECODE, ("m@1",))


def store(service, name):
    rng = random.Random(name)
    return PlanStore(service.client(name), name, rng, MemoryHistory())


def stored(service, engine):
    return decode_engine_plan(service.store.items[engine_key(engine)].value)


@pytest.mark.looptime
async def test_each_write_raises_the_revision_and_touches_only_what_changes():
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    assert await planner.open() == FencingToken(1, 1)
    assert await planner.write({"e1": PREFILL, "e2": DECODE}) == FencingToken(1, 2)
    assert await planner.write({"e2": PREFILL}) == FencingToken(1, 3)
    assert stored(service, "e1").token == FencingToken(1, 2)
    assert stored(service, "e2").token == FencingToken(1, 3)


@pytest.mark.looptime
async def test_a_large_write_is_split_into_transactions_of_increasing_revision():
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    names = {f"e{i:03}": PREFILL for i in range(MAX_ENGINES_PER_TXN + 1)}
    assert await planner.write(names) == FencingToken(1, 3)
    assert set(planner.plans) == set(names)


@pytest.mark.looptime
async def test_a_planner_that_was_paused_past_its_lease_changes_nothing():
    # planner-1 resumes after its lease has expired and writes what it had decided. Its
    # comparison with the head fails, because planner-2's first write replaced the head,
    # so that no side ever receives the outdated decision.
    service = KeyValueStandIn()
    old = store(service, "planner-1")
    await old.open()
    await old.write({"e1": PREFILL})
    new = store(service, "planner-2")
    # One write raises the epoch, and the next rewrites every engine plan.
    assert await new.open() == FencingToken(2, 4)
    with pytest.raises(LeadershipLostError):
        await old.write({"e1": DECODE})
    assert stored(service, "e1").assignment == PREFILL
    with pytest.raises(LeadershipLostError):
        await old.write({"e1": DECODE})
    assert await old.open() > new.highest_token


@pytest.mark.looptime
async def test_one_of_two_planners_that_open_concurrently_fails():
    # Both planners believe that they hold the lease, read the same head and write. The
    # comparison accepts one write, and the other planner gets an error.
    service = KeyValueStandIn(delay=0.01)
    planners = [store(service, "planner-1"), store(service, "planner-2")]
    results = await asyncio.gather(
        *(p.open() for p in planners), return_exceptions=True
    )
    assert sorted(type(r) for r in results if isinstance(r, Exception)) == [
        LeadershipLostError
    ]


@pytest.mark.looptime
async def test_a_lost_reply_is_resolved_by_the_nonce():
    # The write took effect and its reply was lost. The planner finds its nonce in the
    # head and continues in the same epoch.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    service.lose_next_reply()
    assert await planner.write({"e1": PREFILL}) == FencingToken(1, 2)
    assert await planner.write({"e1": DECODE}) == FencingToken(1, 3)


@pytest.mark.looptime
async def test_a_lost_write_is_not_considered_applied():
    # The request itself is lost, and the head still holds the planner's earlier write.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()

    async def lose(compares, writes):
        raise KeyValueOutcomeUnknownError("the connection broke")

    planner.kv.txn = lose
    with pytest.raises(LeadershipLostError):
        await planner.write({"e1": PREFILL})
    assert planner.plans == {}


@pytest.mark.looptime
async def test_a_write_of_unknown_outcome_is_resolved_by_opening_again():
    # The service goes down during a write, which takes no effect, and the planner
    # can't read the head back. It must not continue from the old head: opening again
    # raises the epoch, so that the write would fail even if it arrived late.
    service = KeyValueStandIn(delay=1.0)
    planner = store(service, "planner-1")
    await planner.open()
    write = asyncio.create_task(planner.write({"e1": PREFILL}))
    await asyncio.sleep(0.2)
    service.down = True
    with pytest.raises(LeadershipLostError):
        await write
    with pytest.raises(KeyValueUnavailableError):
        await planner.open()
    service.down = False
    assert (await planner.open()).epoch == 2
    assert engine_key("e1") not in service.store.items


@pytest.mark.looptime
async def test_a_former_planner_is_fenced_off_though_a_restore_reuses_revisions():
    # After a restore, planner-2's head has the same revision in the store as the one
    # that planner-1 last wrote. planner-1's write must still fail, by the comparison
    # of the guard key, and its next token must exceed all that it has seen.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    backup = service.snapshot()
    last = await planner.write({"e1": PREFILL})
    service.restore(backup)
    await store(service, "planner-2").open()
    assert service.store.items[HEAD_KEY].mod_revision == planner.head_revision
    with pytest.raises(LeadershipLostError):
        await planner.write({"e1": DECODE})
    assert (await planner.open()).epoch > last.epoch


@pytest.mark.looptime
async def test_plans_lost_by_a_restore_are_rewritten_with_higher_tokens():
    # Sides obey the last write and refuse the lower tokens of the backup. Unless the
    # lost plans are rewritten, the plan and the fleet differ until the engine's next
    # change.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    await planner.write({"e1": PREFILL})
    backup = service.snapshot()
    last = await planner.write({"e1": DECODE, "e2": DECODE})
    service.restore(backup)
    with pytest.raises(LeadershipLostError):
        await planner.write({"e1": PREFILL})
    await planner.open()
    for engine in ("e1", "e2"):
        assert stored(service, engine).token > last
        assert stored(service, engine).assignment == DECODE


@pytest.mark.looptime
async def test_the_epoch_hint_makes_a_new_process_exceed_lost_epochs():
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    planner.epoch_hint = lambda: 1_000
    assert (await planner.open()).epoch == 1_000
    planner.epoch_hint = lambda: 5
    assert (await planner.open()).epoch == 1_001
    head = decode_head(service.store.items[HEAD_KEY].value)
    assert head.planner == "planner-1"


@pytest.mark.looptime
async def test_another_candidate_is_elected_after_the_holder_dies():
    service = KeyValueStandIn(delay=0.01)
    first = PlannerElection(service.client("a"), "a", random.Random(1))
    second = PlannerElection(service.client("b"), "b", random.Random(2))
    loop = asyncio.get_running_loop()
    await first.acquire()
    holding = asyncio.create_task(first.hold())
    waiting = asyncio.create_task(second.acquire())
    await asyncio.sleep(60)
    assert not waiting.done()
    assert not holding.done()
    holding.cancel()
    died_at = loop.time()
    await waiting
    assert loop.time() - died_at <= LEASE_SECONDS + MAX_POLL_SECONDS + 1


@pytest.mark.looptime
async def test_a_holder_that_cannot_renew_stops_by_the_end_of_its_lease():
    service = KeyValueStandIn(delay=0.01)
    holder = PlannerElection(service.client("a"), "a", random.Random(1))
    await holder.acquire()
    service.cut("a")
    started_at = asyncio.get_running_loop().time()
    await holder.hold()
    assert asyncio.get_running_loop().time() - started_at <= LEASE_SECONDS * 1.5


@pytest.mark.looptime
async def test_the_lease_is_held_though_the_reply_to_its_write_was_lost():
    service = KeyValueStandIn()
    holder = PlannerElection(service.client("a"), "a", random.Random(1))
    service.lose_next_reply(count=2)
    async with asyncio.timeout(60):
        await holder.acquire()
    assert holder.lease
