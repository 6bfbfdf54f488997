"""Tests of odd entries in the store, which any writer may have put there."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from answer_support import CALLER
from answer_support import entry_before
from answer_support import send
from bergamotmast.adapters.connection_probe import TcpConnectionProbe
from bergamotmast.adapters.datagrams import datagram_port
from bergamotmast.adapters.upstream_http import HttpUpstreamClient
from bergamotmast.crashes.part_records import PART_CRASHES_PREFIX
from bergamotmast.crashes.records import CRASHES_PREFIX
from bergamotmast.direct.addresses import datagram_address
from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.stream_build_log import STREAMS_PREFIX
from bergamotmast.direct.usage_record import USAGE_KEY
from bergamotmast.errors import NotReachedError
from bergamotmast.platform import directory
from bergamotmast.protocol.plan import engine_key
from direct_support import engine
from direct_support import read_answer
from direct_support import request
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from test_direct_process import process

ODD_HOSTS = ["a..b", "a" * 5000, "\u00df" * 300, "fe80::1%" + "a" * 80, "localhost"]

DEPTH = 100_000

DEEP_JSON = b'{"more":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DEEP_MESSAGE = b"\x91" * DEPTH + b"\xc0"

DEEP_RECORDS = {
    BUILDS_KEY: b'{"groups":{},"more":' + b"[" * DEPTH,
    STREAMS_PREFIX + "entry-9/0": DEEP_MESSAGE,
    PART_CRASHES_PREFIX + "crash/entry": DEEP_JSON,
    CRASHES_PREFIX + "request/crash": DEEP_JSON,
    USAGE_KEY: DEEP_JSON,
    engine_key("i-9"): DEEP_JSON,
    "servers/i-9": DEEP_JSON,
}


@pytest.mark.parametrize("host", ODD_HOSTS, ids=lambda host: host[:10])
async def test_upstream_without_an_ip_address_fails_no_request(host, caplog):
    """Guards against requests that fail as an upstream's host can't be looked up."""
    good, bad = Replica("i-1", answer()), Replica("i-2", answer())
    first, second = (engine(name, EngineScript()) for name in ("e-1", "e-2"))
    async with serving(good, first) as entry:
        bad.address = second.address = f"{host}:1"
        entry.register(bad)
        entry.register(second)
        asked = [
            entry.ask(target, request_id=f"{target}{number}")
            for target in ("/order/x", "/read/x", "/long/x")
            for number in range(20)
        ]
        statuses = [(await each).status for each in asked]
    assert statuses == [200] * 60
    assert not [record for record in caplog.records if record.exc_info]


@pytest.mark.parametrize("host", [*ODD_HOSTS[:3], "::1:::", "["])
async def test_address_that_cannot_be_used_is_not_reached(host):
    """Guards against an unexpected error before a byte of a request is sent."""
    async with HttpUpstreamClient() as client:
        for fresh in (True, False):
            with pytest.raises(NotReachedError):
                async with client.send(
                    f"{host}:1", "GET", "/report", (), b"", fresh=fresh
                ):
                    pass
    assert not await TcpConnectionProbe().is_refused(f"{host}:1")


@pytest.mark.parametrize("host", ODD_HOSTS, ids=lambda host: host[:10])
async def test_upstream_that_cannot_be_looked_up_is_set_aside(
    host, caplog, monkeypatch
):
    """Guards against failed requests where a check of the address lets a name pass."""
    monkeypatch.setattr(directory, "check_http_address", lambda address: None)
    good, bad = Replica("i-1", answer()), Replica("i-2", answer())
    first, second = (engine(name, EngineScript()) for name in ("e-1", "e-2"))
    async with serving(good, first) as entry:
        bad.address = second.address = f"{host}:1"
        entry.register(bad)
        entry.register(second)
        assert entry.fleet.registered("i-2") and entry.fleet.registered("e-2")
        statuses = [
            (await entry.ask(target, request_id=f"{target}{number}")).status
            for target in ("/order/x", "/read/x", "/long/x")
            for number in range(20)
        ]
    assert statuses == [200] * 60
    assert not [record for record in caplog.records if record.exc_info]


ODD_ENTRIES = [b"fe80::1%\xff:7", b"fe80::1%a\x00:7", b"fe80::1%:7", b"::1:7"]


@pytest.mark.parametrize("value", ODD_ENTRIES)
async def test_odd_address_of_an_entry_does_not_close_the_socket(value):
    """Guards against an entry that hears no other one after it sent to an address."""
    async with datagram_port("127.0.0.1", 0) as port:
        address = datagram_address(value)
        if address is not None:
            port.send(b"data", address)
        assert not port.transport.is_closing()


def test_deep_datagram_is_dropped():
    """Guards against an error in the event loop for each datagram that is nested."""
    tag = msgspec.msgpack.encode("liveness")
    inbox = PeerInbox()
    inbox.receive(DEEP_MESSAGE, ("10.0.0.1", 9))
    inbox.receive(b"\x95" + tag + b"\xa1s\x80\x80" + DEEP_MESSAGE, ("10.0.0.1", 9))


@pytest.mark.parametrize("key", DEEP_RECORDS)
async def test_deep_value_does_not_keep_an_entry_from_starting(key):
    """Guards against an entry that ends at each start, as long as a value is there."""
    async with entry_before(Replica("i-1", answer())) as (_, store):
        store.put(key, DEEP_RECORDS[key])
        async with process(store, name="entry-2", seconds="1.5") as late:
            await late.until_ready()
            reader, writer = await send(late, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200
            assert late.process.returncode is None
