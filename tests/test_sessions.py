from __future__ import annotations

import asyncio

import pytest

from bergamotmast.config.document import encode_configuration
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import Outcome
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.model import NO_FENCING_TOKEN
from bergamotmast.model import FencingToken
from bergamotmast.protocol import messages
from bergamotmast.protocol import timing
from support import FirstComeFirstServed
from support import ScriptedEngine
from support import ScriptedService
from support import answer_of
from support import configuration
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime


def hello(counter, incarnation="e1"):
    return messages.Hello(1, "entry", incarnation, counter, 0)


async def open_session(link, counter):
    await link.send(messages.encode(hello(counter)))
    while True:
        message = messages.decode_to_entry(await link.receive())
        if isinstance(message, messages.Welcome) and message.counter == counter:
            return message.session


def service_offer(session, attempt="a1", budget=60.0):
    work = messages.ServiceWork("orders", "POST", "/orders", b"", "", False, "")
    return messages.Offer(
        session, attempt, "r1", "t", 1.0, "c", 1, budget, timing.CHUNK_CREDIT, work
    )


async def next_about(link, attempt):
    while True:
        message = messages.decode_to_entry(await link.receive())
        if getattr(message, "attempt", None) == attempt:
            return message


async def test_offer_delayed_by_a_partition_never_runs_after_not_run_was_reported():
    # An entry offers a call and a partition delays the frame. The entry opens a new
    # session, asks for the state and gets "never started", so the call ends as "not
    # run". When the partition ends, the offer arrives and must not start.
    async with fleet(entries=0, services=1) as f:
        old = f.network.dial("service-1")
        session = await open_session(old, 1)
        f.network.partition("service-1")
        await old.send(messages.encode(service_offer(session)))
        held = f.network.held_frames.pop("service-1")
        f.network.heal("service-1")
        new = f.network.dial("service-1")
        renewed = await open_session(new, 2)
        await new.send(messages.encode(messages.Cancel(renewed, "a1")))
        assert (await next_about(new, "a1")).state == "never_started"
        f.network.held_frames["service-1"] = held
        f.network.heal("service-1")
        assert (await next_about(old, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_a_late_hello_does_not_end_the_session_in_use():
    # A hello of the same entry is buffered while a later one is welcomed. When it
    # arrives, the later session stays open: its offers run.
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        session = await open_session(link, 2)
        await f.network.dial("service-1").send(messages.encode(hello(1)))
        await asyncio.sleep(0.1)
        await link.send(messages.encode(service_offer(session)))
        assert isinstance(await next_about(link, "a1"), messages.Started)


async def test_a_cancel_before_its_offer_leaves_a_tombstone():
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        await link.send(messages.encode(messages.Cancel(session, "a1")))
        assert (await next_about(link, "a1")).state == "never_started"
        await link.send(messages.encode(service_offer(session)))
        await asyncio.sleep(1.0)
        assert f.upstreams["service-1"].runs == []


@pytest.mark.parametrize("delay", [0.0, 0.0005, 0.001, 0.002, 0.05, 0.1, 0.15])
async def test_cancel_that_races_with_a_start_reports_the_true_state(delay):
    # A cancel is sent at about the time at which the call starts. The side must report
    # "never started" exactly when the service has not run the call.
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        await link.send(messages.encode(service_offer(session)))
        await asyncio.sleep(delay)
        await link.send(messages.encode(messages.Cancel(session, "a1")))
        message = await next_about(link, "a1")
        while not isinstance(message, messages.AttemptState):
            message = await next_about(link, "a1")
        await asyncio.sleep(1.0)
        ran = bool(f.upstreams["service-1"].runs)
        assert (message.state != "never_started") == ran


async def test_call_cancelled_while_it_waits_is_not_run():
    # The service is busy with one call, and the next waits in the queue past its
    # deadline. It ends as "not run", and the service never sees it.
    async with fleet(services=0) as f:
        f.add_upstream("service-1", ScriptedService(30.0), FirstComeFirstServed(1))
        await f.settle()
        entry = f.entries["entry-1"]
        busy = asyncio.create_task(entry.submit_service(f.service_call(total=60)))
        await asyncio.sleep(0.1)
        with pytest.raises(RequestError) as caught:
            await entry.submit_service(f.service_call("orders", total=2.0))
        assert caught.value.info.outcome is Outcome.NOT_RUN
        await busy
        await asyncio.sleep(5.0)
        assert len(f.upstreams["service-1"].runs) == 1


async def test_resumed_side_refuses_offers_that_waited_in_its_socket():
    # A side process is suspended for a minute. Offers of that time wait in its socket,
    # and their entries have given up on them. It must not start them when it resumes.
    async with fleet(entries=0, services=1) as f:
        side = f.sides["service-1"]
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        side.server.last_ran_at -= 60.0
        await link.send(messages.encode(service_offer(session)))
        assert (await next_about(link, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_resumed_side_may_send_a_heartbeat_before_it_reads_its_socket():
    # As above, but the heartbeat task runs before the socket is read: it must not hide
    # the suspension from the offers that are read after it.
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        f.sides["service-1"].server.last_ran_at -= 60.0
        await asyncio.sleep(1.0)
        await link.send(messages.encode(service_offer(session)))
        assert (await next_about(link, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_invalid_frames_are_ignored():
    async with fleet(engines=1) as f:
        link = f.network.dial("engine-1")
        for frame in (b"", b"\xff" * 20, b"\x91\x63", b"{}"):
            await link.send(frame)
        text = await answer_of(f.entries["entry-1"], f.model_call(3))
        assert text == expected_text(3)


async def test_a_new_side_learns_the_configuration_from_an_entry():
    # A side without a configuration starts while the key-value service is down. The
    # entry's hello contains a generation, and the side pulls the document.
    async with fleet(engines=1) as f:
        await f.kill("engine-1")
        f.document = encode_configuration(configuration(generation=0))
        f.start_side("engine-1")
        assert f.holders["engine-1"].generation == 0
        await asyncio.sleep(10.0)
        assert f.holders["engine-1"].generation == 1


async def test_new_side_learns_the_last_plan_token_from_an_entry():
    # A replaced side remembers no plan. The entry knows the plan token from the reports
    # of the earlier side and sends it with its hello.
    async with fleet(engines=1) as f:
        f.sides["engine-1"].plan_token = lambda: FencingToken(4, 2)
        await asyncio.sleep(2.0)
        await f.kill("engine-1")
        side = f.start_side("engine-1")
        assert side.plan_seen == NO_FENCING_TOKEN
        await asyncio.sleep(5.0)
        assert side.plan_seen == FencingToken(4, 2)


async def test_a_new_configuration_at_one_entry_reaches_all_within_seconds():
    async with fleet(entries=2, engines=3) as f:
        newer = encode_configuration(configuration(generation=2))
        f.holders["entry-1"].offer(newer)
        await asyncio.sleep(3.0)
        assert {h.generation for h in f.holders.values()} == {2}


async def test_leaving_side_refuses_waiting_work_and_drains_the_rest():
    # Engine 1 leaves while it runs one answer and another waits. The first is completed
    # there, the second runs on engine 2; both callers get their whole answers.
    async with fleet(engines=0) as f:
        f.add_upstream("engine-1", ScriptedEngine(), FirstComeFirstServed(1))
        await f.settle()
        entry = f.entries["entry-1"]
        first = asyncio.create_task(answer_of(entry, f.model_call(80)))
        await asyncio.sleep(0.5)
        second = asyncio.create_task(answer_of(entry, f.model_call(10)))
        await asyncio.sleep(0.5)
        f.add_upstream("engine-2", ScriptedEngine())
        await f.settle()
        await f.sides["engine-1"].leave()
        assert await first == expected_text(80)
        assert await second == expected_text(10)
        assert len(f.upstreams["engine-1"].runs) == 1


async def test_entry_that_shuts_down_drains_its_requests():
    # An entry that shuts down is not ready, but it serves the callers that the load
    # balancer still sends. New requests are refused only after the drain time, and the
    # last answer in flight is whole.
    async with fleet(engines=1) as f:
        entry = f.entries["entry-1"]
        last = asyncio.create_task(answer_of(entry, f.model_call(100)))
        await asyncio.sleep(0.5)
        closing = asyncio.create_task(entry.close())
        await asyncio.sleep(0.1)
        assert not entry.is_ready
        assert await answer_of(entry, f.model_call(3)) == expected_text(3)
        await asyncio.sleep(6.0)
        with pytest.raises(RequestError) as caught:
            await answer_of(entry, f.model_call(1))
        assert caught.value.code is ResultCode.SHUTTING_DOWN
        assert await last == expected_text(100)
        await closing


async def test_dropped_frame_ends_the_session_and_the_answer_is_resumed():
    # The entry is suspended and its buffers are full, so the last chunk of an answer is
    # dropped. The entry learns that its session has ended and resumes on another
    # engine, instead of waiting for that chunk until the deadline.
    async with fleet(engines=2) as f:
        listener = f.sides["engine-1"].listener
        send = listener.send

        async def drop_last(peer, frame):
            if b"length" in frame:
                raise NotReachedError("buffers are full")
            await send(peer, frame)

        listener.send = drop_last
        started = asyncio.get_running_loop().time()
        text = await answer_of(f.entries["entry-1"], f.model_call(5))
        assert text == expected_text(5)
        assert asyncio.get_running_loop().time() - started < 3.0


async def test_dropped_credit_ends_the_session_and_the_answer_is_resumed():
    # Credit for a stream can't be sent to the side. Without it the stream would stall,
    # so the session ends and the answer is resumed.
    async with fleet(engines=2) as f:
        peer = f.entries["entry-1"].membership.peers["engine-1"]
        send = peer.link.send

        async def drop_credit(frame):
            if isinstance(messages.decode_to_side(frame), messages.Credit):
                raise NotReachedError("buffers are full")
            await send(frame)

        peer.link.send = drop_credit
        started = asyncio.get_running_loop().time()
        text = await answer_of(f.entries["entry-1"], f.model_call(80))
        assert text == expected_text(80)
        assert asyncio.get_running_loop().time() - started < 15.0
