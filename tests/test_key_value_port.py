"""The key-value port in process and over HTTP, in real time."""

from __future__ import annotations

import asyncio

import pytest

from bergamotmast.adapters import key_value_http
from bergamotmast.adapters.http_calls import client_session
from bergamotmast.adapters.key_value_http import HttpKeyValueService
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import LeaseLapsedError
from bergamotmast.ports import Compare
from bergamotmast.ports import Delete
from bergamotmast.ports import Put
from bergamotmast.ports import WatchEvent
from bergamotmast.standins.http_common import serving
from bergamotmast.standins.key_value import KeyValueStandIn
from bergamotmast.standins.key_value_frontend import KeyValueFrontend


@pytest.fixture
def standin():
    return KeyValueStandIn()


@pytest.fixture(params=["in process", "over HTTP"])
async def client(request, standin):
    if request.param == "in process":
        yield standin.client("a")
        return
    async with serving(KeyValueFrontend(standin).application()) as url:
        async with client_session() as session:
            yield HttpKeyValueService(session, url, "a")


async def next_event(watch):
    """Return the next change, skipping keep-alives."""
    while (event := await anext(watch)) is None:
        pass
    return event


async def test_transactions_and_ranges(client):
    assert await client.get("k/1") is None
    first = await client.txn([Compare("k/1", 0)], [Put("k/1", b"\xff"), Put("m", b"")])
    again = await client.txn([Compare("k/1", 0)], [Put("k/1", b"2")])
    assert (first.succeeded, again.succeeded, again.revision) == (True, False, 1)
    await client.txn([Compare("k/1", 1)], [Put("k/2", b"3"), Delete("m")])
    found = await client.range("k/")
    assert [(i.key, i.value, i.mod_revision) for i in found.items] == [
        ("k/1", b"\xff", 1),
        ("k/2", b"3", 2),
    ]
    everything = await client.range("")
    assert (everything.items, everything.revision) == (found.items, 2)
    assert (await client.get("k/2")).value == b"3"


async def test_leases_and_watches(client):
    lease = await client.grant_lease(2)
    written = await client.txn([], [Put("k/1", b"1", lease)])
    assert (await client.get("k/1")).lease == lease
    assert await client.keep_alive(lease)
    watch = client.watch("k/", written.revision)
    assert await next_event(watch) == WatchEvent("k/1", b"1", 1)
    assert await next_event(watch) == WatchEvent("k/1", None, 2)
    await watch.aclose()
    assert not await client.keep_alive(lease)
    with pytest.raises(LeaseLapsedError):
        await client.txn([], [Put("k/1", b"1", lease)])
    other = await client.grant_lease(60)
    await client.txn([], [Put("k/1", b"1", other)])
    await client.revoke_lease(other)
    await client.revoke_lease(other)
    assert await client.get("k/1") is None


async def test_a_large_value_passes_through_a_watch(client):
    watch = client.watch("", 1)
    await client.txn([], [Put("k", b"x" * 900_000)])
    assert len((await next_event(watch)).value) == 900_000
    await watch.aclose()


async def test_idle_watch_sends_keep_alives_until_it_is_silenced(client, standin):
    watch = client.watch("", 0)
    assert await anext(watch) is None
    while standin.waiting_watches == 0:
        await asyncio.sleep(0.01)
    standin.silence_watches("a")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.5):
            while True:
                await anext(watch)


async def test_an_outage(client, standin):
    watch = client.watch("", 0)
    await anext(watch)
    standin.down = True
    with pytest.raises(KeyValueUnavailableError):
        while True:
            await anext(watch)
    for call in (client.get("k"), client.txn([], []), client.grant_lease(1)):
        with pytest.raises(KeyValueUnavailableError):
            await call
    with pytest.raises(KeyValueUnavailableError):
        await anext(client.watch("", 0))


async def test_partitioned_client_and_compacted_start_revision(client, standin):
    await client.txn([], [Put("k", b"1")])
    standin.compact()
    with pytest.raises(KeyValueUnavailableError):
        await anext(client.watch("", 1))
    standin.cut("a")
    with pytest.raises(KeyValueUnavailableError):
        await client.range("")
    standin.heal("a")
    assert (await client.range("")).revision == 1


async def test_a_lost_reply(client, standin):
    standin.lose_next_reply("a")
    with pytest.raises(KeyValueOutcomeUnknownError):
        await client.txn([], [Put("k", b"1")])
    assert (await client.get("k")).value == b"1"


async def test_timeouts_and_a_stopped_server(monkeypatch):
    # A read without an answer is reported as unavailable. A write that was sent may
    # still take effect after a timeout; one that was never sent may not.
    monkeypatch.setattr(key_value_http, "CALL_TIMEOUT_SECONDS", 0.5)
    standin = KeyValueStandIn(delay=2.0)
    async with client_session() as session:
        async with serving(KeyValueFrontend(standin).application()) as url:
            client = HttpKeyValueService(session, url, "a")
            with pytest.raises(KeyValueUnavailableError):
                await client.get("k")
            with pytest.raises(KeyValueOutcomeUnknownError):
                await client.txn([], [Put("k", b"1")])
            while "k" not in standin.store.items:
                await asyncio.sleep(0.01)
        with pytest.raises(KeyValueUnavailableError):
            await client.txn([], [Put("k", b"1")])
        assert standin.writes == 1
