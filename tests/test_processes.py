"""The whole system as processes, each kind of which is killed or paused under load."""

from __future__ import annotations

import asyncio
import itertools
import signal

import aiohttp
import pytest

from bergamotmast.bench.trace import TraceRequest
from bergamotmast.checker import Rule
from bergamotmast.checker import check
from bergamotmast.checker import summary
from bergamotmast.errors import Outcome
from bergamotmast.errors import SettingError
from bergamotmast.history import Execution
from bergamotmast.load import LoadDriver
from bergamotmast.load import PlannedCall
from bergamotmast.load import plan_model_call
from bergamotmast.standins.engine_text import expected_text
from process_fleet import process_fleet
from support import MODEL

LOAD_SECONDS = 6.0
FAULT_AT = 2.0
PAUSE = 4.0

numbers = itertools.count(1)


def model_calls(count=30):
    for index in range(count):
        request = TraceRequest(
            at=index * LOAD_SECONDS / count,
            tenant="t",
            klass="c",
            model=MODEL,
            prompt_tokens=50,
            output_tokens=60,
            deadline=60.0,
        )
        yield plan_model_call(request, f"m{next(numbers)}", expected_text)


def order(at, key):
    request = TraceRequest(
        at=at, tenant="t", klass="c", repeatable=False, deadline=30.0
    )
    request_id = f"o{next(numbers)}"
    return PlannedCall(request_id, request, "/services/orders", b"box", key)


def orders(count=20):
    for index in range(count):
        yield order(index * LOAD_SECONDS / count, f"key-{next(numbers)}")


def executions(records):
    """Return the number of executions by idempotency key."""
    keys = [r.key for r in records if isinstance(r, Execution) and r.key]
    return {key: keys.count(key) for key in keys}


async def load_with_fault(f, calls, fault, entry="entry-1"):
    """Replay calls against one entry and inject the fault in the middle."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        driver = LoadDriver(session, f.urls[entry], f.history)
        ordered = sorted(calls, key=lambda call: call.request.at)
        replay = asyncio.create_task(driver.replay(ordered))
        await asyncio.sleep(FAULT_AT)
        await fault()
        return await replay


FAULTS = {
    "side killed": lambda f: f.kill("side-engine-1"),
    "engine killed": lambda f: f.kill("engine-1"),
    "key-value service killed": lambda f: f.kill("key-value"),
    "instance list killed": lambda f: f.kill("instance-list"),
    "instance list stopped": lambda f: f.pause("instance-list", PAUSE),
    "side stopped": lambda f: f.pause("side-engine-1", PAUSE),
    "engine stopped": lambda f: f.pause("engine-1", PAUSE),
    "entry stopped": lambda f: f.pause("entry-1", PAUSE),
    "key-value service stopped": lambda f: f.pause("key-value", PAUSE),
}


@pytest.mark.parametrize("fault", FAULTS)
async def test_every_model_response_is_complete(fault, tmp_path):
    # Callers stream responses from one entry while a process is killed or paused. Its
    # streams continue at other engines; every caller gets its complete text once.
    async with process_fleet(tmp_path, services=0) as f:
        await load_with_fault(f, model_calls(), lambda: FAULTS[fault](f))
        records = f.records()
    counts = summary(records)
    assert counts.answered_whole == counts.sent == 30
    assert [v for v in check(records) if v.rule is not Rule.CONFIG_IN_FORCE] == []


ORDER_FAULTS = {
    "side killed": lambda f: f.kill("side-service-1"),
    "service killed": lambda f: f.kill("service-1"),
    "side stopped": lambda f: f.pause("side-service-1", PAUSE),
    "service stopped": lambda f: f.pause("service-1", PAUSE),
    "entry stopped": lambda f: f.pause("entry-1", PAUSE),
}


@pytest.mark.parametrize("fault", ORDER_FAULTS)
async def test_orders_run_at_most_once_and_their_outcomes_are_true(fault, tmp_path):
    # Orders are placed while a process is killed or paused. Each caller gets one of the
    # outcomes "ran", "not run" and "unknown". No order reported as "not run" was
    # executed, and no order was executed twice.
    async with process_fleet(tmp_path, engines=0) as f:
        await load_with_fault(f, orders(), lambda: ORDER_FAULTS[fault](f))
        records = f.records()
    counts = summary(records)
    assert (counts.lost, counts.cut_off, counts.duplicates) == (0, 0, 0)
    assert counts.answered_whole >= counts.sent / 2
    assert [v for v in check(records) if v.rule is not Rule.CONFIG_IN_FORCE] == []
    assert max(executions(records).values()) == 1


async def test_an_order_whose_entry_was_killed_is_not_placed_again(tmp_path):
    # The entry is killed with orders in flight, and their callers retry with the same
    # idempotency keys at the other entry. No order runs twice, whatever the responses.
    async with process_fleet(tmp_path, engines=0) as f:
        calls = list(orders())
        results = await load_with_fault(f, calls, lambda: f.kill("entry-1"))
        assert any(result.cut_off for result in results)
        async with aiohttp.ClientSession() as session:
            driver = LoadDriver(session, f.urls["entry-2"], f.history)
            again = [order(0.0, call.idempotency_key) for call in calls]
            for call in again:
                result = await driver.send(call)
                assert result.outcome in {o.value for o in Outcome}
        records = f.records()
    assert max(executions(records).values()) == 1


@pytest.mark.parametrize("name", ["entry-1", "side-engine-1"])
async def test_a_graceful_shutdown_cuts_nothing_off(name, tmp_path):
    # SIGTERM under load: the process ends by itself after its last response.
    async with process_fleet(tmp_path, services=0) as f:

        async def terminate():
            f.signal(name, signal.SIGTERM)

        calls = [c for c in model_calls() if c.request.at < FAULT_AT + 2.0]
        await load_with_fault(f, calls, terminate)
        async with asyncio.timeout(30):
            assert await f.processes[name].wait() == 0
        records = f.records()
    counts = summary(records)
    assert counts.answered_whole == counts.sent


async def test_a_second_side_for_the_same_address_exits_with_an_error(tmp_path):
    # The first side is paused and still holds the address. A replacement must not reach
    # the engine: it exits at once with an error that names the flag.
    async with process_fleet(tmp_path, engines=1, services=0, entries=1) as f:
        f.signal("side-engine-1", signal.SIGSTOP)
        f.processes["stopped"] = f.processes["side-engine-1"]
        with pytest.raises(AssertionError, match="--listen-address"):
            await f.relaunch("side-engine-1")
        assert await f.processes["side-engine-1"].wait() == SettingError.exit_code
