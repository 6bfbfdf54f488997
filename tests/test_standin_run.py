from __future__ import annotations

import asyncio

import pytest

from bergamotmast.adapters.engine_http import HttpEngine
from bergamotmast.adapters.http_calls import client_session
from bergamotmast.adapters.service_http import HttpService
from bergamotmast.history import Execution
from bergamotmast.history import read_history
from bergamotmast.model import GenerateRequest
from bergamotmast.model import Priority
from bergamotmast.model import ServiceCall
from bergamotmast.standins.run import StandInKind
from bergamotmast.standins.run import StandInOptions
from bergamotmast.standins.run import run_standin


@pytest.fixture
async def run():
    """Return a function that runs a stand-in and returns its URL."""
    tasks = []

    async def start(kind, options=None, history=None):
        ready = asyncio.get_running_loop().create_future()
        running = run_standin(
            kind, "127.0.0.1", 0, options, history, on_ready=ready.set_result
        )
        tasks.append(asyncio.create_task(running))
        return await ready

    yield start
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize(
    ("kind", "knob", "arguments", "counter"),
    [
        (StandInKind.KEY_VALUE, "lose_next_reply", {"count": 2}, "writes"),
        (StandInKind.ENGINE, "crash", {"incomplete": True}, "boot_id"),
        (StandInKind.SERVICE, "seconds", {"value": 0.1}, "executions"),
        (StandInKind.INSTANCE_LIST, "lag", {"value": 3.0}, "reads"),
        (StandInKind.WEIGHT_STORE, "down", {"value": True}, "loads"),
    ],
)
async def test_every_kind_runs_and_has_control_paths(
    run, kind, knob, arguments, counter
):
    url = await run(kind)
    async with client_session() as session:
        async with session.post(f"{url}/control/{knob}", json=arguments) as response:
            assert response.status == 200
            assert counter in await response.json()
        async with session.post(f"{url}/control/{knob}", json={"no": 1}) as response:
            assert response.status == 400
        async with session.post(f"{url}/control/unknown", json={}) as response:
            assert response.status == 404
        async with session.get(f"{url}/control") as response:
            assert counter in await response.json()


async def test_older_content_is_restored_over_http(run):
    url = await run(StandInKind.KEY_VALUE)
    async with client_session() as session:
        for knob, status in (("restore", 400), ("save", 200), ("restore", 200)):
            async with session.post(f"{url}/control/{knob}", json={}) as response:
                assert response.status == status


async def test_history_records_are_written_without_delay(run, tmp_path):
    path = tmp_path / "history.jsonl"
    store = await run(StandInKind.WEIGHT_STORE, StandInOptions(versions={"m@1": 1.0}))
    options = StandInOptions(name="e-1", weight_store_url=store)
    engine_url = await run(StandInKind.ENGINE, options, path)
    service_url = await run(StandInKind.SERVICE, StandInOptions(name="s-1"), path)
    generate = GenerateRequest("a", "model", "[out=1]", 5, 9, Priority.STANDARD)
    deadline = asyncio.get_running_loop().time() + 30
    async with client_session() as session:
        chunks = HttpEngine(session, engine_url).generate(generate)
        assert [chunk.finish async for chunk in chunks] == ["stop"]
        call = ServiceCall(
            *("r", "t", "c", Priority.BATCH, "o", "GET", "/o", b"", "", False, "k"),
            deadline,
        )
        await HttpService(session, service_url).call(call)
    found = [r for r in read_history(path) if isinstance(r, Execution)]
    assert [(r.upstream, r.request, r.key) for r in found] == [
        ("e-1", "a", ""),
        ("s-1", "r", "k"),
    ]
