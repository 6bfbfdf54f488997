from __future__ import annotations

import asyncio
import random

import pytest

from bergamotmast.errors import AuthorityLostError
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
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
async def test_a_large_write_goes_in_parts_of_rising_revision():
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    names = {f"e{i:03}": PREFILL for i in range(MAX_ENGINES_PER_TXN + 1)}
    assert await planner.write(names) == FencingToken(1, 3)
    assert set(planner.plans) == set(names)


@pytest.mark.looptime
async def test_a_planner_that_was_paused_past_its_lease_changes_nothing():
    # Operators see planner-2 at work; planner-1, paused past its lease, wakes and
    # writes what it had decided. Its comparison with the head fails, because
    # planner-2's first write replaced it, so no side ever sees the old decision.
    service = KeyValueStandIn()
    old = store(service, "planner-1")
    await old.open()
    await old.write({"e1": PREFILL})
    new = store(service, "planner-2")
    # One write raises the epoch, the next puts every part under it.
    assert await new.open() == FencingToken(2, 4)
    with pytest.raises(AuthorityLostError):
        await old.write({"e1": DECODE})
    assert stored(service, "e1").assignment == PREFILL
    with pytest.raises(AuthorityLostError):
        await old.write({"e1": DECODE})
    assert await old.open() > new.highest_token


@pytest.mark.looptime
async def test_of_two_planners_that_open_at_once_one_loses():
    # Both hold what they take for the lease, both read the same head, both write:
    # the comparison lets one write through and tells the other.
    service = KeyValueStandIn(delay=0.01)
    planners = [store(service, "planner-1"), store(service, "planner-2")]
    results = await asyncio.gather(
        *(p.open() for p in planners), return_exceptions=True
    )
    assert sorted(type(r) for r in results if isinstance(r, Exception)) == [
        AuthorityLostError
    ]


@pytest.mark.looptime
async def test_a_lost_reply_is_resolved_by_the_nonce():
    # The write took effect and its reply was lost; the planner reads its nonce back
    # and goes on under the same authority.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    service.lose_next_reply()
    assert await planner.write({"e1": PREFILL}) == FencingToken(1, 2)
    assert await planner.write({"e1": DECODE}) == FencingToken(1, 3)


@pytest.mark.looptime
async def test_a_lost_write_is_not_taken_for_done():
    # The request itself is lost, and reading back shows the planner's write before.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()

    async def lose(compares, writes):
        raise KeyValueOutcomeUnknownError("the connection broke")

    planner.kv.txn = lose
    with pytest.raises(AuthorityLostError):
        await planner.write({"e1": PREFILL})
    assert planner.plans == {}


@pytest.mark.looptime
async def test_a_write_of_unknown_end_is_settled_by_opening_again():
    # The service goes down under a write, which takes no effect, and the planner
    # can't read back. It must not go on from the old head: opening again raises the
    # epoch, so that even a late arrival of that write would fail.
    service = KeyValueStandIn(delay=1.0)
    planner = store(service, "planner-1")
    await planner.open()
    write = asyncio.create_task(planner.write({"e1": PREFILL}))
    await asyncio.sleep(0.2)
    service.down = True
    with pytest.raises(AuthorityLostError):
        await write
    with pytest.raises(KeyValueUnavailableError):
        await planner.open()
    service.down = False
    assert (await planner.open()).epoch == 2
    assert engine_key("e1") not in service.store.items


@pytest.mark.looptime
async def test_a_restored_service_that_gives_revisions_out_again_fools_nobody():
    # The service comes back from a backup; planner-2's head then stands at the very
    # revision that planner-1 remembers of its own. Planner-1's write still fails, by
    # the key named by its nonce, and it goes on above all numbers it has seen.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    backup = service.snapshot()
    last = await planner.write({"e1": PREFILL})
    service.restore(backup)
    await store(service, "planner-2").open()
    assert service.store.items[HEAD_KEY].mod_revision == planner.head_revision
    with pytest.raises(AuthorityLostError):
        await planner.write({"e1": DECODE})
    assert (await planner.open()).epoch > last.epoch


@pytest.mark.looptime
async def test_what_a_restore_lost_is_written_again_above_what_sides_have_seen():
    # Sides obey the last write and refuse the backup's lower numbers. Without this
    # the plan and the fleet would differ until the engine's next change.
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    await planner.open()
    await planner.write({"e1": PREFILL})
    backup = service.snapshot()
    last = await planner.write({"e1": DECODE, "e2": DECODE})
    service.restore(backup)
    with pytest.raises(AuthorityLostError):
        await planner.write({"e1": PREFILL})
    await planner.open()
    for engine in ("e1", "e2"):
        assert stored(service, engine).token > last
        assert stored(service, engine).assignment == DECODE


@pytest.mark.looptime
async def test_a_new_process_passes_lost_epochs_by_its_hint():
    service = KeyValueStandIn()
    planner = store(service, "planner-1")
    planner.epoch_hint = lambda: 1_000
    assert (await planner.open()).epoch == 1_000
    planner.epoch_hint = lambda: 5
    assert (await planner.open()).epoch == 1_001
    head = decode_head(service.store.items[HEAD_KEY].value)
    assert head.planner == "planner-1"


@pytest.mark.looptime
async def test_one_candidate_holds_the_lease_and_another_follows_its_death():
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
