from __future__ import annotations

import asyncio

import pytest

from bergamotmast.config.document import encode_configuration
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import Outcome
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.model import NO_TOKEN
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


async def test_an_offer_delayed_by_a_partition_never_runs_after_not_run_was_told():
    # An entry offers a call, but the network holds the frame back. The entry opens a
    # new session, asks, and hears "never started", so its caller is told "not run".
    # When the cut ends the offer arrives, and must not start.
    async with fleet(entries=0, services=1) as f:
        old = f.network.dial("service-1")
        session = await open_session(old, 1)
        f.network.partition("service-1")
        await old.send(messages.encode(service_offer(session)))
        held = f.network.held.pop("service-1")
        f.network.heal("service-1")
        new = f.network.dial("service-1")
        renewed = await open_session(new, 2)
        await new.send(messages.encode(messages.Cancel(renewed, "a1")))
        assert (await next_about(new, "a1")).state == "never_started"
        f.network.held["service-1"] = held
        f.network.heal("service-1")
        assert (await next_about(old, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_a_late_hello_does_not_end_the_session_in_use():
    # A hello of the same entry waits in a buffer while a later one is welcomed. When
    # it arrives, the later session goes on: its offers run.
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
async def test_a_cancel_and_a_start_that_cross_end_in_one_truth(delay):
    # A cancel is sent around the moment at which the call starts. Whatever the side
    # answers, it is true: "never started" exactly when the service has not run it.
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


async def test_a_waiting_call_cancelled_at_its_deadline_truly_was_not_run():
    # The service is busy with one call; the next waits behind it past its deadline.
    # Its caller is told "not run" and the service never sees it.
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


async def test_a_side_that_was_stopped_refuses_what_waited_in_its_socket():
    # A side process is stopped for a minute. Offers of that time wait in its socket,
    # and their callers were answered long ago. It must not start them on waking.
    async with fleet(entries=0, services=1) as f:
        side = f.sides["service-1"]
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        side.server.last_ran_at -= 60.0
        await link.send(messages.encode(service_offer(session)))
        assert (await next_about(link, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_a_side_that_was_stopped_may_beat_before_it_reads_its_socket():
    # The same, but on waking the beat runs first: it must not hide the pause from the
    # offers that are read after it.
    async with fleet(entries=0, services=1) as f:
        link = f.network.dial("service-1")
        session = await open_session(link, 1)
        f.sides["service-1"].server.last_ran_at -= 60.0
        await asyncio.sleep(1.0)
        await link.send(messages.encode(service_offer(session)))
        assert (await next_about(link, "a1")).code is ResultCode.STALE_SESSION
        assert f.upstreams["service-1"].runs == []


async def test_frames_that_are_no_message_change_nothing():
    async with fleet(engines=1) as f:
        link = f.network.dial("engine-1")
        for frame in (b"", b"\xff" * 20, b"\x91\x63", b"{}"):
            await link.send(frame)
        text = await answer_of(f.entries["entry-1"], f.model_call(3))
        assert text == expected_text(3)


async def test_a_new_side_learns_the_configuration_from_an_entry():
    # The key-value service is down while a side is replaced by one that knows
    # nothing. The entry's hello tells a generation and the side pulls the document.
    async with fleet(engines=1) as f:
        await f.kill("engine-1")
        f.document = encode_configuration(configuration(generation=0))
        f.start_side("engine-1")
        assert f.holders["engine-1"].generation == 0
        await asyncio.sleep(10.0)
        assert f.holders["engine-1"].generation == 1


async def test_a_new_side_learns_from_an_entry_what_its_predecessor_obeyed():
    # The side is replaced and remembers nothing; the entry heard the plan's number
    # from the earlier one and tells it with its hello.
    async with fleet(engines=1) as f:
        f.sides["engine-1"].plan_token = lambda: FencingToken(4, 2)
        await asyncio.sleep(2.0)
        await f.kill("engine-1")
        side = f.start_side("engine-1")
        assert side.plan_seen == NO_TOKEN
        await asyncio.sleep(5.0)
        assert side.plan_seen == FencingToken(4, 2)


async def test_a_new_configuration_at_one_entry_reaches_all_within_seconds():
    async with fleet(entries=2, engines=3) as f:
        newer = encode_configuration(configuration(generation=2))
        f.holders["entry-1"].offer(newer)
        await asyncio.sleep(3.0)
        assert {h.generation for h in f.holders.values()} == {2}


async def test_a_leaving_side_hands_waiting_work_back_and_ends_the_rest():
    # Engine 1 leaves while it runs one answer and another waits. The first is ended
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


async def test_an_entry_that_shuts_down_serves_on_to_its_last_answer():
    # The entry is told to end. It is not ready any more, but callers that the
    # balancer still sends are served; only after its notice are new ones refused, and
    # the last answer in flight is whole.
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


async def test_a_frame_that_the_entry_can_not_take_ends_the_session_not_the_answer():
    # The entry is stopped for a moment and its buffers are full: the last chunk of an
    # answer is dropped. The entry is told that its session is over and resumes on
    # another engine, instead of waiting for that chunk until the deadline.
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


async def test_a_grant_that_can_not_be_handed_over_ends_the_session_not_the_answer():
    # Credit for a stream is lost on its way to a side. Without it the stream would
    # stand still; the session ends and the answer is resumed.
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
