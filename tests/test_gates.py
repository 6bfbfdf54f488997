from __future__ import annotations

import asyncio

import pytest

from bergamotmast.faults.gates import Gate
from bergamotmast.faults.gates import install_task_factory


@pytest.mark.looptime
async def test_a_paused_process_takes_no_step_and_its_timers_fall_due():
    # A process ticks each second and is stopped for ten: nothing of it moves, then it
    # wakes and sees that a timeout of its own has passed meanwhile.
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
async def test_a_killed_process_ends_with_all_its_tasks_also_while_paused():
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
