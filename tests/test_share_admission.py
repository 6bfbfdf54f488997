"""Tests of admission by tenants' shares at a direct entry."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time

import msgspec
import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.direct.features import Features
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.peer_messages import ShareNotice
from bergamotmast.direct.peer_messages import ShareReport
from bergamotmast.direct.shares.group_view import GroupView
from bergamotmast.direct.shares.group_view import tenant_hash
from bergamotmast.direct.shares.share_exchange import ShareExchange
from bergamotmast.direct.shares.share_ticket import ShareTicket
from bergamotmast.direct.shares.tenant_shares import TenantShares
from bergamotmast.direct.shares.tenant_shares import is_on
from bergamotmast.policy.direct_refusal import MAX_RETURN_SECONDS
from bergamotmast.policy.reachability import Reachability
from bergamotmast.policy.scarcity import Shares
from bergamotmast.telemetry import NullTelemetry
from direct_support import ROUTES
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from platform_standin import not_run
from test_direct_process import logged
from test_direct_process import process

DOCUMENT = config(1, ROUTES) | {
    "tenants": [
        {"name": "large", "api-keys": ["key-l"]},
        {"name": "small", "api-keys": ["key-s"]},
    ]
}


@contextlib.asynccontextmanager
async def sharing(*replicas, document=DOCUMENT):
    """Run an entry with shares among tenants; yield it and its shares."""
    async with serving(*replicas, document=document) as entry:
        context = entry.frontend.core.context
        clock = asyncio.get_running_loop().time
        rng = random.Random(3)
        exchange = ShareExchange(
            "entry/1", dict, lambda *_: None, clock, rng, NullTelemetry()
        )
        shares = TenantShares(exchange, context.fleet, context.placer, rng)
        context.shares = shares
        yield entry, shares


def refuse(shares, fraction, name="large"):
    """Put a share in force for one tenant, in all groups that exist."""
    now = asyncio.get_running_loop().time()
    for group in shares.fleet.table.routing.groups:
        shares.exchange.view(group).on_shares(
            Shares({tenant_hash(name): fraction}), short=True, watched=True, now=now
        )


@pytest.mark.parametrize("target", ["/order/x", "/talk/x"])
async def test_request_over_its_share_is_refused_before_it_is_sent(target):
    """Guards against a refusal that says "not run" of a request that was sent."""
    plain, stream = Replica("i-1", answer()), engine("e-1", EngineScript())
    async with sharing(plain, stream) as (entry, shares):
        refuse(shares, 0.0)
        await entry.ask(target, X_Api_Key="key-l")
        sent = len(plain.received) + len(stream.received)
        got = [await entry.ask(target, X_Api_Key="key-l") for _ in range(3)]
        other = await entry.ask(target, X_Api_Key="key-s")
        assert len(plain.received) + len(stream.received) == sent + 1
    assert [(a.status, a.body[:3]) for a in got] == [(503, b"207")] * 3
    assert all(float(a.headers["retry-after"]) > 0.0 for a in got)
    assert other.status == 200


async def test_without_tenants_nothing_is_judged():
    """Guards against shares in a deployment without tenants."""
    async with sharing(Replica("i-1", answer()), document=None) as (entry, shares):
        refuse(shares, 0.0, "")
        got = [await entry.ask("/order/x") for _ in range(4)]
    assert [a.status for a in got] == [200] * 4


async def test_resumed_stream_is_not_judged_again():
    """Guards against cutting off a caller that has received part of its stream."""
    async with sharing(engine("e-1", EngineScript())) as (entry, shares):
        refuse(shares, 0.0)
        for _ in range(2):
            await entry.ask("/talk/x", X_Api_Key="key-l")
        got = await entry.ask(
            "/talk/x", X_Api_Key="key-l", Last_Event_Id="1", X_Token_Count="10,5"
        )
        assert not got.body.startswith(b"207")


async def test_second_send_is_not_judged_again():
    """Guards against refusing a request after it was sent to an upstream."""
    replicas = Replica("i-1", not_run()), Replica("i-2", answer())
    async with sharing(*replicas) as (entry, shares):
        refuse(shares, 0.5)
        got = [await entry.ask("/read/x", X_Api_Key="key-l") for _ in range(8)]
        group = next(iter(shares.exchange.views.values()))
    admitted = [a for a in got if not a.body.startswith(b"207")]
    assert 4 <= len(admitted) <= 5
    assert all(a.status == 200 for a in admitted)
    assert group.evidence.turned_away.total == 0.0


async def test_requests_that_no_upstream_takes_are_evidence():
    """Guards against a shortage that no entry notices."""
    async with sharing(Replica("i-1", not_run())) as (entry, shares):
        for _ in range(3):
            assert (await entry.ask("/order/x", X_Api_Key="key-s")).status == 503
        (view,) = shares.exchange.views.values()
    assert view.evidence.turned_away.total > 0.0


def put_lost(entry, name):
    """Register a plain upstream whose address refuses connections."""
    lost = registration(Replica(name, answer()))
    entry.put(f"servers/{name}", lost | {"address": "127.0.0.1:1"})


@pytest.mark.parametrize("target", ["/order/x", "/read/x"])
async def test_requests_that_lost_upstreams_turn_away_are_no_evidence(target):
    """Guards against taking an upstream that is down for a full one."""
    async with sharing() as (entry, shares):
        put_lost(entry, "i-1")
        for _ in range(3):
            answered = await entry.ask(target, X_Api_Key="key-s")
            assert answered.status == 503
        (view,) = shares.exchange.views.values()
    assert view.evidence.turned_away.total == 0.0


async def test_full_upstream_beside_a_lost_one_is_evidence():
    """Guards against a shortage that is hidden by an upstream that is down."""
    async with sharing(Replica("i-1", not_run())) as (entry, shares):
        put_lost(entry, "i-2")
        for _ in range(3):
            assert (await entry.ask("/read/x", X_Api_Key="key-s")).status == 503
        (view,) = shares.exchange.views.values()
    assert view.evidence.turned_away.total > 0.0


async def test_leaving_upstream_is_no_evidence():
    """Guards against a shortage while upstreams shut down one after the other."""

    async def leaving(replica, received, writer):
        lines = "X-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0"
        writer.write(f"HTTP/1.1 503 Word\r\n{lines}\r\n\r\n".encode())
        await writer.drain()

    replicas = Replica("i-1", leaving), Replica("i-2", leaving)
    async with sharing(*replicas) as (entry, shares):
        assert (await entry.ask("/order/x", X_Api_Key="key-s")).status == 503
        (view,) = shares.exchange.views.values()
    assert view.evidence.turned_away.total == 0.0


def test_time_at_lost_upstreams_is_counted_once():
    """Guards against counting two losses of the same moment as twice the time."""
    ticket = ShareTicket(GroupView("g", NullTelemetry()), 1.0, 0.3)
    ticket.on_lost(1.0, 2.0)
    ticket.on_lost(1.5, 2.0)
    ticket.on_lost(1.5, 2.5)
    assert ticket.lost_seconds == 1.5


def test_upstream_that_replies_to_others_is_not_lost():
    """Guards against taking a slow upstream for a lost one, and one that is back."""
    reachability = Reachability()
    slow, lost = ("i-1", "1"), ("i-2", "1")
    reachability.on_reply(slow, 5.0)
    reachability.on_lost(slow, 4.0)
    reachability.on_lost(lost, 4.0)
    assert reachability.is_reachable(slow)
    assert not reachability.is_reachable(lost)
    assert reachability.is_reachable(("i-2", "2"))
    reachability.on_reply(lost, 6.0)
    assert reachability.is_reachable(lost)
    reachability.keep({slow})
    assert set(reachability.replied_at) == {slow}


async def test_group_without_upstreams_is_not_short():
    """Guards against shares in an outage, which no share would end."""
    async with sharing() as (entry, shares):
        assert (await entry.ask("/order/x", X_Api_Key="key-s")).status == 503
        (view,) = shares.exchange.views.values()
    assert view.evidence.turned_away.total == 0.0


@pytest.mark.parametrize("clock", [100.0, 2.0**9 - 3, 2.0**10 - 3, 2.0**20 - 3])
async def test_retry_after_spreads_returns(clock, monkeypatch):
    """Guards against refused callers that come back at the same moment.

    The sum of a point in time and a delay may be rounded down, below a power of two.
    """
    began_at = time.monotonic_ns()
    monkeypatch.setattr(
        asyncio.get_running_loop(),
        "time",
        lambda: clock + (time.monotonic_ns() - began_at) / 1e9,
    )
    async with sharing(Replica("i-1", answer())) as (entry, shares):
        refuse(shares, 0.02)
        got = await asyncio.gather(
            *(entry.ask("/order/x", X_Api_Key="key-l") for _ in range(60))
        )
    delays = sorted(float(a.headers["retry-after"]) for a in got if a.status == 503)
    assert len(delays) > 50
    assert delays[-1] <= MAX_RETURN_SECONDS
    assert delays[-1] - delays[0] > 1.0
    most = max(sum(d <= other < d + 0.25 for other in delays) for d in delays)
    assert most <= 15


@pytest.mark.parametrize(
    ("setting", "scarcity", "expected"),
    [
        ("auto", False, False),
        ("auto", True, True),
        ("off", True, False),
        ("on", False, True),
    ],
)
def test_setting_and_contract_switch_shares(setting, scarcity, expected):
    assert is_on(setting, Features(scarcity=scarcity)) is expected


def test_shares_that_are_too_old_are_ignored():
    """Guards against shares of a keeper that has been silent for long."""
    view = GroupView("g", NullTelemetry())
    view.on_shares(Shares({}, 0.0), short=True, watched=True, now=10.0)
    assert view.fraction("t", 14.9) == 0.0
    assert view.fraction("t", 15.0) == 1.0
    view.watch(15.0)
    assert not view.is_short


def test_shortage_is_a_metric():
    metrics = OpenTelemetryMetrics("e-1")
    view = GroupView("g", metrics)
    view.on_shares(Shares({}), short=True, watched=True, now=1.0)
    assert 'capacity_short{group="g"} 1.0' in metrics.exposition().decode()
    view.on_shares(Shares({}), short=False, watched=False, now=2.0)
    assert 'capacity_short{group="g"} 0.0' in metrics.exposition().decode()


NAN = float("nan")


def report(**changes):
    """Return a report that is valid but for the changes."""
    fields = {
        "demands": {1: 1.0},
        "rest": 0.0,
        "rest_count": 0,
        "admitted": 1.0,
        "turned_away": 0.0,
        "late": 0.0,
        "quick": 0.0,
        "requests": 1.0,
        "alarmed": True,
        "short": False,
    }
    return ShareReport("e", "g", **fields | changes)


def test_report_has_the_same_bytes_in_all_builds():
    """Guards against reports that entries of another build can't read."""
    sent = ["share-report", "e", "g", {1: 2.0}, 3.0, 4, 5.0, 6.0, 7.0, 8.0, 9.0]
    sent += [True, False]
    data = msgspec.msgpack.encode(sent)
    received = []
    inbox = PeerInbox()
    inbox.receivers[ShareReport] = lambda got, address: received.append(got)
    inbox.receive(data, ("127.0.0.1", 1))
    expected = report(
        demands={1: 2.0},
        rest=3.0,
        rest_count=4,
        admitted=5.0,
        turned_away=6.0,
        late=7.0,
        quick=8.0,
        requests=9.0,
    )
    assert received == [expected]
    assert msgspec.msgpack.encode(expected) == data


@pytest.mark.parametrize(
    "message",
    [
        report(demands={1: -1.0}),
        report(demands={1: NAN}),
        report(rest=NAN),
        report(rest_count=-1),
        report(admitted=1e300),
        report(demands=dict.fromkeys(range(99), 1.0)),
        ShareNotice("e", "g", True, True, {1: NAN}, 1.0),
        ShareNotice("e", "g", True, True, {1: 1.5}, 1.0),
        ShareNotice("e", "g", True, True, {}, -0.5),
    ],
    ids=lambda message: repr(message)[:60],
)
def test_messages_with_impossible_numbers_are_dropped(message):
    received = []
    inbox = PeerInbox()
    inbox.receivers = {type(message): lambda got, address: received.append(got)}
    inbox.receive(msgspec.msgpack.encode(message), ("127.0.0.1", 1))
    assert received == []


async def test_process_shares_a_full_group_where_the_contract_asks_for_it(monkeypatch):
    """Guards against parts of an entry that are not connected to each other."""
    monkeypatch.setenv("BERGAMOTMAST_CONTRACTS", "pressure")
    monkeypatch.setenv("BERGAMOTMAST_TENANT_SHARES", "auto")
    async with Store() as store, Replica("i-1", not_run()) as replica:
        store.put("op/config", DOCUMENT)
        store.put("servers/i-1", registration(replica))
        async with process(store) as entry:
            await entry.until_ready()
            statuses = [
                await ask_soon(entry, "key-s" if n % 6 == 0 else "key-l")
                for n in range(180)
            ]
            entry.process.send_signal(signal.SIGTERM)
            lines = await logged(entry)
    assert set(statuses) == {503}
    events = [line["event"] for line in lines]
    assert events.count("capacity is short") == 1
    assert 207 in {line.get("code") for line in lines}


async def ask_soon(entry, key):
    """Send a request every 30 ms, and return its status."""
    await asyncio.sleep(0.03)
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    try:
        writer.write(request("/read/x", X_Api_Key=key))
        return (await read_answer(reader)).status
    finally:
        writer.close()


def test_keeper_whose_address_lapses_does_not_end_the_exchange():
    """Guards against an entry that stops as its keeper goes while it reports."""
    answers = [{"entry/2": ("127.0.0.1", 1)}] * 40
    sent = []

    def entries():
        return answers.pop() if answers else {}

    exchange = ShareExchange(
        "entry/1",
        entries,
        lambda *message: sent.append(message),
        lambda: 0.0,
        random.Random(1),
        NullTelemetry(),
    )
    for group in map(str, range(20)):
        exchange.view(group).watched_until = 1.0
    exchange.tick()
    assert sent
    assert not answers


def test_entry_that_returns_is_not_taken_for_silent():
    """Guards against a deputy that is asked in place of a keeper that is back."""
    known = {"entry/2": ("127.0.0.1", 1)}
    exchange = ShareExchange(
        "entry/1",
        lambda: known,
        lambda *_: None,
        lambda: 100.0,
        random.Random(1),
        NullTelemetry(),
    )
    view = exchange.view("plain")
    view.asked_since["entry/2"] = view.asked_since["entry/3"] = 50.0
    exchange.silent_until["entry/3"] = 200.0
    exchange.tick()
    assert view.asked_since == {"entry/2": 50.0}
    assert not exchange.silent_until


def test_notice_of_an_entry_that_names_no_judgement_counts():
    """Guards against ignoring the shares of entries of the version before."""
    received = []
    inbox = PeerInbox()
    inbox.receivers[ShareNotice] = lambda got, address: received.append(got)
    fields = ["shares", "e", "g", True, True, {1: 0.5}, 1.0]
    inbox.receive(msgspec.msgpack.encode(fields), ("127.0.0.1", 1))
    assert [notice.judged for notice in received] == [True]
