from __future__ import annotations

import asyncio

import pytest

from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import LeaseLapsedError
from bergamotmast.ports import Compare
from bergamotmast.ports import Delete
from bergamotmast.ports import Put
from bergamotmast.ports import WatchEvent
from bergamotmast.standins.key_value import KeyValueStandIn

pytestmark = pytest.mark.looptime


async def test_a_transaction_applies_all_writes_or_none():
    client = KeyValueStandIn().client("a")
    first = await client.txn([Compare("k", 0)], [Put("k", b"1"), Put("m", b"1")])
    second = await client.txn([Compare("k", 0)], [Put("k", b"2"), Delete("m")])
    assert first.succeeded and not second.succeeded
    found = await client.range("")
    assert [(i.key, i.value, i.mod_revision) for i in found.items] == [
        ("k", b"1", 1),
        ("m", b"1", 1),
    ]


async def test_a_watch_starts_from_a_revision_and_shows_a_lapsed_lease():
    client = KeyValueStandIn().client("a")
    lease = await client.grant_lease(5)
    await client.txn([], [Put("k/old", b"1")])
    await client.txn([], [Put("k/new", b"2", lease)])
    await asyncio.sleep(0.5)
    watch = client.watch("k/", 2)
    assert await anext(watch) == WatchEvent("k/new", b"2", 2)
    quiet = [await anext(watch) for _ in range(4)]
    assert quiet == [None] * 4
    assert await anext(watch) == WatchEvent("k/new", None, 3)
    assert not await client.keep_alive(lease)
    with pytest.raises(LeaseLapsedError):
        await client.txn([], [Put("k/new", b"3", lease)])


async def test_a_lease_lives_while_it_is_renewed():
    client = KeyValueStandIn().client("a")
    lease = await client.grant_lease(3)
    await client.txn([], [Put("k", b"1", lease)])
    for _ in range(5):
        await asyncio.sleep(2)
        assert await client.keep_alive(lease)
    assert await client.get("k")
    await client.revoke_lease(lease)
    assert await client.get("k") is None


async def test_an_outage_refuses_calls_and_breaks_watches():
    standin = KeyValueStandIn()
    client = standin.client("a")
    watch = client.watch("", 0)
    assert await anext(watch) is None
    standin.down = True
    with pytest.raises(KeyValueUnavailableError):
        await anext(watch)
    with pytest.raises(KeyValueUnavailableError):
        await client.get("k")
    assert standin.waiting_watches == 0
    standin.down = False
    assert await client.get("k") is None


async def test_a_cut_touches_one_client():
    standin = KeyValueStandIn()
    standin.cut("a")
    with pytest.raises(KeyValueUnavailableError):
        await standin.client("a").range("")
    assert (await standin.client("b").range("")).items == ()


async def test_a_lost_reply_comes_after_the_effect():
    standin = KeyValueStandIn()
    standin.lose_next_reply("a")
    await standin.client("b").txn([], [Put("other", b"1")])
    with pytest.raises(KeyValueOutcomeUnknownError):
        await standin.client("a").txn([], [Put("k", b"1")])
    assert await standin.client("a").get("k")


async def test_a_write_takes_effect_after_its_caller_gave_up():
    # The caller waits half a second and goes; the service is slow and applies the
    # write after one second all the same.
    standin = KeyValueStandIn(delay=2)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await standin.client("a").txn([], [Put("k", b"1")])
    assert "k" not in standin.store.items
    await asyncio.sleep(1)
    assert "k" in standin.store.items


async def test_a_silent_watch_gives_neither_events_nor_signs_of_life():
    standin = KeyValueStandIn()
    client = standin.client("a")
    watch = client.watch("", 0)
    await anext(watch)
    standin.silence_watches("a")
    await client.txn([], [Put("k", b"1")])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(60):
            await anext(watch)
    fresh = client.watch("", 1)
    assert await anext(fresh) == WatchEvent("k", b"1", 1)


async def test_a_restored_service_is_older_and_breaks_watches():
    standin = KeyValueStandIn()
    client = standin.client("a")
    await client.txn([], [Put("k", b"1")])
    old = standin.snapshot()
    await client.txn([], [Put("k", b"2")])
    watch = client.watch("", 0)
    await anext(watch)
    standin.restore(old)
    with pytest.raises(KeyValueUnavailableError):
        await anext(watch)
    found = await client.range("")
    assert (found.items[0].value, found.revision) == (b"1", 1)


async def test_a_compacted_start_is_refused():
    standin = KeyValueStandIn()
    client = standin.client("a")
    await client.txn([], [Put("k", b"1")])
    standin.compact()
    with pytest.raises(KeyValueUnavailableError):
        await anext(client.watch("", 1))


async def test_calls_are_counted():
    standin = KeyValueStandIn()
    client = standin.client("a")
    await client.get("k")
    await client.range("")
    await client.txn([], [])
    lease = await client.grant_lease(9)
    await client.keep_alive(lease)
    watch = client.watch("", 0)
    await anext(watch)
    counts = standin.reads, standin.writes, standin.keep_alives
    assert (*counts, standin.waiting_watches) == (2, 2, 1, 1)
