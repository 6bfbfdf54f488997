"""Tests of requests to plain upstreams through a direct entry."""

from __future__ import annotations

import asyncio
import time

import pytest

from bergamotmast.direct.fleet import ReadReason
from bergamotmast.policy.retry_window import RetryLimits
from direct_support import config
from direct_support import read_answer
from direct_support import request
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import SIGNATURE
from platform_standin import HeaderOnlyReplica
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer
from platform_standin import hang
from platform_standin import head
from platform_standin import not_run
from platform_standin import reset


async def test_request_and_answer_pass_unchanged():
    """Guards against normalization of paths, headers and bodies by HTTP libraries."""
    replica = Replica("i-1", answer(201, b"\x00\xffbody", "X-Own: a, b"))
    async with serving(replica) as entry:
        target = "/order/a%2Fb//c/%7e;x?q=%20+&r=%zz"
        got = await entry.ask(target, body=b"\x01\x02", X_Mine="yes")
    received = replica.received[0]
    assert (received.method, received.target) == ("POST", target)
    assert received.body == b"\x01\x02"
    assert received.headers["x-mine"] == "yes"
    assert received.headers["host"] == "host.example"
    assert received.headers["x-expect-instance"] == "i-1"
    assert (got.status, got.body) == (201, b"\x00\xffbody")
    assert got.headers["x-response-signature"] == SIGNATURE
    assert got.headers["x-own"] == "a, b"


async def test_no_header_is_added_to_a_request():
    """Guards against added headers such as Accept-Encoding.

    A replica might encode its response and sign other bytes.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        await entry.ask("/order/x")
    names = {name.lower() for name, _ in replica.received[0].raw_headers}
    assert not names & {"accept-encoding", "user-agent", "accept", "content-type"}


FORGED = {
    "X_Expect_Instance": "i-other",
    "X_Stage": "prefill",
    "X_Kv_Source": "10.0.0.1:80/h1",
    "X_Kv_Hold": "hold",
    "X_Kv_Backup": "10.0.0.1:80",
    "X_Pin_Ms": "4000",
    "X_Request_Priority": "0",
    "X_Expect_Version": "9",
    "Kv_Fetch": "10.0.0.1:80",
}


async def test_reserved_headers_of_callers_are_not_forwarded():
    """Guards against forwarding a forged KV handle or priority.

    The request would use the KV cache of another caller or jump the queue.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        await entry.ask("/order/x", **FORGED)
    headers = replica.received[0].headers
    assert headers["x-expect-instance"] == "i-1"
    for name in FORGED:
        if name != "X_Expect_Instance":
            assert name.lower().replace("_", "-") not in headers


@pytest.mark.parametrize(
    "extra",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: +5\r\n",
    ],
)
async def test_request_of_ambiguous_length_is_refused(extra):
    """Guards against request smuggling by an ambiguous body length.

    The caller gets a 400 and the connection is closed, as the start of its next request
    is unknown.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: a\r\n"
            + extra.encode()
            + b"\r\n0\r\n\r\nPOST /order/smuggled HTTP/1.1\r\nHost: host.example\r\n"
            b"X-Request-Id: b\r\nContent-Length: 0\r\n\r\n"
        )
        got = await asyncio.wait_for(reader.read(), 2)
        writer.close()
    assert b" 400 " in got.split(b"\r\n")[0]
    assert got.count(b"HTTP/1.") == 1
    assert replica.received == []


async def test_reply_to_another_request_is_not_forwarded():
    """Guards against a late reply on a reused connection.

    The caller of the second request must not get the reply to the first one.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(200, "somebody-else", "Content-Length: 3") + b"old")

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        got = await entry.ask("/order/x")
    assert got.status == 502
    assert b"old" not in got.body
    assert "x-response-signature" not in got.headers


async def test_duplicate_reply_on_a_reused_connection_is_discarded():
    """Guards against taking a duplicate reply for the reply to the next request.

    A replica replies twice before the next request. Each caller gets its own response,
    if need be after a retry elsewhere or on another connection.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        body = f"for {received.request_id}".encode()
        whole = head(200, received.request_id, f"Content-Length: {len(body)}") + body
        writer.write(whole)
        await writer.drain()
        if len(replica.received) == 1:
            await asyncio.sleep(0.02)
            writer.write(whole)

    one, two = Replica("i-1", script), Replica("i-2", script)
    async with serving(one, two) as entry:
        bodies = []
        for number in range(4):
            got = await entry.ask("/read/x", request_id=f"id-{number}")
            bodies.append((got.status, got.body))
            await asyncio.sleep(0.04)
    assert bodies == [(200, f"for id-{n}".encode()) for n in range(4)]


async def test_connection_with_unexpected_data_is_not_reused():
    """Guards against reusing a connection with unexpected data.

    A replica replies twice, and the duplicate has arrived before the next request. Sent
    on that connection, the request would run, its reply would be rejected as another
    request's, and it would run a second time elsewhere.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        body = f"for {received.request_id}".encode()
        whole = head(200, received.request_id, f"Content-Length: {len(body)}") + body
        writer.write(whole)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(whole)
        await writer.drain()

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        for number in range(3):
            got = await entry.ask("/read/x", request_id=f"id-{number}")
            assert (got.status, got.body) == (200, f"for id-{number}".encode())
            await asyncio.sleep(0.04)
        ids = [received.request_id for received in replica.received]
    assert ids == ["id-0", "id-1", "id-2"]
    assert replica.connections == 3


async def test_refusal_before_the_body_is_read_reaches_the_caller_at_once():
    """Guards against waiting until a long body is written before reading the reply.

    A replica refuses the request after its headers and reads no further, so that the
    rest may never be written. No other request may be sent on that connection.
    """
    replica = HeaderOnlyReplica("i-1", b"too much")
    document = config(**{"max-body-bytes": 10_000_000})
    async with serving(replica, document=document) as entry:
        async with asyncio.timeout(1.0):
            got = await entry.ask(
                "/read/x", body=b"y" * 8_000_000, X_Deadline_Ms="2500"
            )
        assert (got.status, got.body) == (400, b"too much")
        again = await entry.ask("/read/x", request_id="id-2")
    assert again.status == 400
    assert replica.connections == 2


async def test_success_without_signature_is_not_forwarded():
    """Guards against forwarding a 200 that no replica has signed."""

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        got = await entry.ask("/order/x")
    assert got.status == 502


@pytest.mark.parametrize("broken", [True, False])
async def test_body_without_length_is_complete_only_after_a_normal_close(broken):
    """Guards against taking a reset for the end of a body without a length."""

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(200, received.request_id) + b"half of it")
        await writer.drain()
        await asyncio.sleep(0.02)
        if broken:
            reset(writer)
        else:
            writer.close()

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        got = await entry.ask("/order/x")
    assert got.status == (502 if broken else 200)
    assert (got.body == b"half of it") is not broken


@pytest.mark.parametrize("cut", ["in the head", "in the body"])
async def test_order_with_truncated_reply_is_not_retried(cut):
    """Guards against running an order twice.

    The replica ran it and died, so that its outcome is unknown.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        if cut == "in the body":
            writer.write(head(200, received.request_id, "Content-Length: 9") + b"ha")
            await writer.drain()
            await asyncio.sleep(0.02)
        reset(writer)

    replicas = [Replica(f"i-{n}", script) for n in range(3)]
    async with serving(*replicas) as entry:
        got = await entry.ask("/order/x", method="PUT")
    assert got.status == 502
    assert sum(len(replica.received) for replica in replicas) == 1


async def test_refusal_as_not_run_is_forwarded():
    """The only replica that an order may be sent to is full: the caller may retry."""
    replicas = [Replica(f"i-{n}", not_run()) for n in range(2)]
    async with serving(*replicas) as entry:
        got = await entry.ask("/order/x")
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0
    assert sum(len(replica.received) for replica in replicas) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_unconfirmed_not_run_status_is_not_forwarded(status):
    """Guards against forwarding a status that says that a request was not run.

    A replica's 503 without the header that confirms it may come after the request ran.
    A 421 needs no such header.
    """
    replica = Replica("i-1", answer(status, b"busy"))
    async with serving(replica) as entry:
        got = await entry.ask("/order/x")
    assert got.status == (503 if status == 421 else 502)


async def test_refused_connection_does_not_count_as_an_attempt():
    """If a connection is refused, nothing was sent: an order may be sent elsewhere."""
    gone, healthy = Replica("i-1", answer()), Replica("i-2", answer())
    async with serving(gone, healthy) as entry:
        gone.server.close()
        await gone.server.wait_closed()
        results = [await entry.ask("/order/x", request_id=f"id-{n}") for n in range(6)]
    assert {got.status for got in results} == {200}
    assert len(healthy.received) == 6


async def test_failed_idempotent_request_is_retried_elsewhere():
    """One replica fails, and the caller gets the other's response after one retry."""
    replicas = [Replica("i-1", answer(500, b"no")), Replica("i-2", answer())]
    async with serving(*replicas) as entry:
        statuses = [
            (await entry.ask("/read/x", request_id=f"id-{n}")).status for n in range(4)
        ]
    assert statuses == [200] * 4


async def test_last_failure_is_forwarded_if_all_attempts_fail():
    replicas = [Replica(f"i-{n}", answer(500, b"no")) for n in range(3)]
    async with serving(*replicas) as entry:
        got = await entry.ask("/read/x")
    assert (got.status, got.body) == (500, b"no")
    assert got.headers["x-response-signature"] == SIGNATURE
    assert sum(len(replica.received) for replica in replicas) == 2


async def test_hanging_replica_does_not_delay_idempotent_requests():
    """Guards against waiting for a hanging replica until the deadline.

    Another replica responds in time, and the connection to the first one is closed to
    cancel the request.
    """
    hanging, healthy = Replica("i-1", hang()), Replica("i-2", answer())
    async with serving(hanging, healthy) as entry:
        began = time.monotonic()
        results = await asyncio.gather(
            *(entry.ask("/read/x", request_id=f"id-{n}") for n in range(6))
        )
        await until(lambda: len(hanging.closed) == len(hanging.received))
    assert {got.status for got in results} == {200}
    assert time.monotonic() - began < 1.0


async def test_disconnect_of_a_caller_cancels_its_request():
    """A caller disconnects: the connection to the replica is closed within 0.5 s."""
    replica = Replica("i-1", hang())
    async with serving(replica) as entry:
        _, writer = await entry.connect()
        writer.write(request("/order/x"))
        await until(lambda: bool(replica.received))
        writer.close()
        await until(lambda: replica.closed == ["id-1"], 0.5)


async def test_remaining_time_is_forwarded_and_bounded_by_the_route():
    """The remaining time is forwarded, and a request ends at its route's timeout.

    The order was sent, so that the response must not say that it was not run.
    """
    replica = Replica("i-1", hang())
    document = config(routes=[route("/order/", "unsafe", **{"timeout-ms": 300})])
    async with serving(replica, document=document) as entry:
        began = time.monotonic()
        got = await entry.ask("/order/x", X_Deadline_Ms="60000")
        seconds = time.monotonic() - began
    assert got.status == 504
    assert 0.25 < seconds < 0.6
    assert 0 < int(replica.received[0].headers["x-deadline-ms"]) <= 300


async def test_shorter_deadline_of_a_caller_overrides_the_routes_timeout():
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        await entry.ask("/order/x", X_Deadline_Ms="700")
    assert 600 < int(replica.received[0].headers["x-deadline-ms"]) <= 700


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"X_Deadline_Ms": "soon"}, 400),
        ({"X_Deadline_Ms": "-5"}, 400),
        ({"X_Deadline_Ms": "nan"}, 400),
        ({"request_id": ""}, 400),
        ({"Host": "elsewhere.example"}, 404),
    ],
)
async def test_invalid_request_is_refused(headers, status):
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        got = await entry.ask("/order/x", **headers)
    assert got.status == status
    assert replica.received == []


async def test_missing_configuration_is_refused_as_temporary():
    """Guards against a 404 from an entry that has just started: callers don't retry."""
    async with serving(document={}) as entry:
        got = await entry.ask("/order/x")
        assert got.status == 503
        assert "retry-after" in got.headers
        assert not entry.core.is_ready
        entry.put("op/config", config())
        assert (await entry.ask("/nowhere/x")).status == 404


async def test_first_requests_wait_for_the_initial_load():
    """Guards against refusing requests before the initial load from the store.

    After an outage of all entries, callers connect as soon as one listens again. The
    initial load takes about 40 ms more; a refusal would delay each caller by half a
    second.
    """
    replica = Replica("i-1", answer())
    async with serving(replica, document={}) as entry:
        entry.fleet.upstreams_loaded = False
        asking = asyncio.create_task(entry.ask("/read/x"))
        await asyncio.sleep(0.1)
        assert not asking.done()
        entry.put("op/config", config())
        entry.fleet.replace_upstreams((), 0.0, ReadReason.RESYNC)
        entry.register(replica)
        got = await asking
    assert got.status == 200


async def test_body_over_the_configured_limit_is_refused():
    replica = Replica("i-1", answer())
    document = config(**{"max-body-bytes": 100})
    async with serving(replica, document=document) as entry:
        got = await entry.ask("/order/x", body=b"x" * 101)
    assert got.status == 413
    assert replica.received == []


async def test_reply_before_the_body_is_read_does_not_corrupt_the_connection():
    """Guards against a reused connection on which the rest of a body is still due.

    A replica responds before it has read a long body. The next request, on that
    connection or on a new one, is read from its start.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        for number in range(3):
            got = await entry.ask(
                "/read/x", body=b"y" * 300_000, request_id=f"id-{number}"
            )
            assert got.status == 200
    assert [len(r.body) for r in replica.received] == [300_000] * 3


async def test_two_requests_on_one_connection():
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        for number in range(2):
            writer.write(request("/read/x", request_id=f"id-{number}"))
            got = await read_answer(reader)
            assert got.headers["x-request-id"] == f"id-{number}"
        writer.close()


async def test_order_is_sent_on_a_new_connection():
    """Guards against orders of unknown outcome because of an idle connection.

    A replica closes idle connections without notice, and a request sent on one is
    reset. An order could then have run, although it was never read. It is sent on a new
    connection.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        assert (await entry.ask("/read/x")).status == 200
        before = replica.connections
        for number in range(3):
            got = await entry.ask("/order/x", request_id=f"id-{number}")
            assert got.status == 200
    assert replica.connections == before + 3


async def test_leaving_replica_gets_no_retry():
    """Guards against a retry at a replica that is leaving.

    A request fails at one replica while the other starts to leave: the retry must use
    the current members.
    """
    leaving = Replica("i-2", answer())

    async def script(replica: Replica, received: Received, writer) -> None:
        entry.register(leaving, zone="zone-b", state="draining")
        await answer(500, b"no")(replica, received, writer)

    failing = Replica("i-1", script)
    async with serving(failing, leaving) as entry:
        # In another zone, so that the first attempt is made at the failing replica.
        entry.register(leaving, zone="zone-b")
        got = await entry.ask("/read/x")
    assert got.status == 500
    assert len(failing.received) == 1
    assert leaving.received == []


@pytest.mark.parametrize("second", ["refuses", "is not there"])
async def test_refusal_after_a_lost_reply_is_of_unknown_outcome(second):
    """Guards against a 503 for a request that may have run.

    One replica runs the request and its reply is lost; the second one refuses it. The
    refusal says nothing about the first attempt.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        reset(writer)

    lost, refusing = Replica("i-1", script), Replica("i-2", not_run())
    async with serving(lost, refusing) as entry:
        # In another zone, so that the first attempt is made where the reply is lost.
        entry.register(refusing, zone="zone-b")
        if second == "is not there":
            refusing.server.close()
            await refusing.server.wait_closed()
        got = await entry.ask("/read/x")
    assert len(lost.received) == 1
    assert got.status == 502


@pytest.mark.parametrize("others", [0, 1])
async def test_slow_call_without_a_retry_left_is_answered(others):
    """Guards against cutting a slow call that can't be sent to another upstream."""
    fast = answer()

    async def slow(replica, received, writer) -> None:
        await asyncio.sleep(0.8)
        await fast(replica, received, writer)

    replicas = [Replica(f"i-{n}", slow) for n in range(1 + others)]
    async with serving(*replicas) as entry:
        entry.core.context.retry_budget.limits = RetryLimits(0.0, 0.0)
        got = await entry.ask("/read/x")
    assert (got.status, got.body) == (200, b"fine")
    assert sum(len(replica.received) for replica in replicas) == 1


async def reset_at_once(replica, received, writer) -> None:
    reset(writer)


@pytest.mark.parametrize("script", [not_run(), reset_at_once, answer(500, b"broken")])
async def test_slow_call_survives_a_failed_retry(script):
    """Guards against cutting a slow call for an upstream that does not answer it."""
    fast = answer()

    async def slow(replica, received, writer) -> None:
        await asyncio.sleep(0.8)
        await fast(replica, received, writer)

    first, other = Replica("i-1", slow), Replica("i-2", script)
    async with serving(first, other) as entry:
        entry.register(other, state="draining")
        asked = asyncio.create_task(entry.ask("/read/x"))
        await until(lambda: bool(first.received))
        entry.register(other)
        got = await asked
    assert len(other.received) == 1
    assert (got.status, got.body) == (200, b"fine")


async def test_slow_call_is_cancelled_once_another_upstream_has_answered():
    """Guards against an upstream that still works on a call which was answered."""
    first, other = Replica("i-1", hang()), Replica("i-2", answer())
    async with serving(first, other) as entry:
        entry.register(other, state="draining")
        asked = asyncio.create_task(entry.ask("/read/x"))
        await until(lambda: bool(first.received))
        entry.register(other)
        got = await asked
        await until(lambda: first.closed == ["id-1"])
    assert (got.status, got.body) == (200, b"fine")
