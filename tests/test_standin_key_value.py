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


async def test_transaction_applies_all_writes_or_none():
    client = KeyValueStandIn().client("a")
    first = await client.txn([Compare("k", 0)], [Put("k", b"1"), Put("m", b"1")])
    second = await client.txn([Compare("k", 0)], [Put("k", b"2"), Delete("m")])
    assert first.succeeded and not second.succeeded
    found = await client.range("")
    assert [(i.key, i.value, i.mod_revision) for i in found.items] == [
        ("k", b"1", 1),
        ("m", b"1", 1),
    ]


async def test_watch_starts_at_a_revision_and_shows_an_expired_lease():
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


async def test_renewed_lease_does_not_expire():
    client = KeyValueStandIn().client("a")
    lease = await client.grant_lease(3)
    await client.txn([], [Put("k", b"1", lease)])
    for _ in range(5):
        await asyncio.sleep(2)
        assert await client.keep_alive(lease)
    assert await client.get("k")
    await client.revoke_lease(lease)
    assert await client.get("k") is None


async def test_outage_fails_calls_and_breaks_watches():
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


async def test_partition_concerns_one_client_only():
    standin = KeyValueStandIn()
    standin.cut("a")
    with pytest.raises(KeyValueUnavailableError):
        await standin.client("a").range("")
    assert (await standin.client("b").range("")).items == ()


async def test_lost_reply_follows_the_effect_of_the_write():
    standin = KeyValueStandIn()
    standin.lose_next_reply("a")
    await standin.client("b").txn([], [Put("other", b"1")])
    with pytest.raises(KeyValueOutcomeUnknownError):
        await standin.client("a").txn([], [Put("k", b"1")])
    assert await standin.client("a").get("k")


async def test_write_takes_effect_after_its_caller_timed_out():
    # The caller times out after half a second; the slow service still applies the
    # write after one second.
    standin = KeyValueStandIn(delay=2)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await standin.client("a").txn([], [Put("k", b"1")])
    assert "k" not in standin.store.items
    await asyncio.sleep(1)
    assert "k" in standin.store.items


async def test_silenced_watch_yields_neither_events_nor_progress():
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


async def test_restore_returns_older_content_and_breaks_watches():
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


async def test_watch_from_a_compacted_revision_is_refused():
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
