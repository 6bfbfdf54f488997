from __future__ import annotations

import asyncio

import pytest

from bergamotmast.faults.gates import Gate
from bergamotmast.faults.gates import install_task_factory


@pytest.mark.looptime
async def test_paused_process_runs_no_task_while_its_timers_expire():
    # A process ticks each second and is paused for ten. No task of it runs meanwhile;
    # once resumed, it handles the timeout that has expired during the pause.
    install_task_factory(asyncio.get_running_loop())
    loop = asyncio.get_running_loop()
    gate = Gate()
    ticks = []
    timeouts = []

    async def tick():
        while True:
            await asyncio.sleep(1)
            ticks.append(loop.time())

    async def wait():
        try:
            async with asyncio.timeout(5):
                await asyncio.Event().wait()
        except TimeoutError:
            timeouts.append(loop.time())

    async def process():
        async with asyncio.TaskGroup() as group:
            group.create_task(tick())
            group.create_task(wait())

    gate.run(process())
    await asyncio.sleep(2.5)
    gate.pause()
    await asyncio.sleep(10)
    assert len(ticks) == 2
    assert timeouts == []
    gate.resume()
    await asyncio.sleep(0.1)
    assert [round(at, 1) for at in ticks] == [1.0, 2.0, 12.5]
    assert [round(at, 1) for at in timeouts] == [12.5]
    await gate.kill()


@pytest.mark.looptime
async def test_kill_cancels_all_tasks_of_a_paused_process():
    install_task_factory(asyncio.get_running_loop())
    gate = Gate()
    ended = []

    async def child():
        try:
            await asyncio.sleep(100)
        finally:
            ended.append("child")

    async def process():
        asyncio.get_running_loop().create_task(child())
        await asyncio.sleep(100)

    gate.run(process())
    await asyncio.sleep(1)
    gate.pause()
    await asyncio.sleep(1)
    await gate.kill()
    assert ended == ["child"]
    assert gate.tasks == {}
