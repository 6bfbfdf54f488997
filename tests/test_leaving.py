"""Upstreams that leave under load, by each of the ways in which they can."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import pytest

from bergamotmast.config.document import Selector
from bergamotmast.config.document import SelectorState
from bergamotmast.config.document import encode_configuration
from support import answer_of
from support import configuration
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime

MAX_NEW_WORK_SECONDS = 3.0
"""Maximum seconds for which a leaving upstream may still get new work."""


@contextlib.asynccontextmanager
async def load(f, tokens=20, every=0.1):
    """Send calls through all entries in turn, and check that each is answered whole."""
    answers = []

    async def send():
        entries = list(f.entries.values())
        for number in range(10_000):
            entry = entries[number % len(entries)]
            call = f.model_call(tokens)
            answers.append(asyncio.create_task(answer_of(entry, call)))
            await asyncio.sleep(every)

    sending = asyncio.create_task(send())
    await asyncio.sleep(2.0)
    yield
    await asyncio.sleep(8.0)
    sending.cancel()
    texts = await asyncio.gather(*answers)
    assert len(texts) > 50
    assert set(texts) == {expected_text(tokens)}


def state(name, label_state):
    """Return a configuration in which one engine is draining or withdrawn."""
    base = configuration(generation=2)
    labels = base.labels | {name: {"pool": "gone"}}
    gone = Selector(name="gone", group="pool=gone", state=label_state)
    return configuration(2, labels=labels, selectors=(*base.selectors, gone))


async def by_configuration(f, label_state):
    """Give one entry an edited configuration, which the others get from their peers."""
    document = encode_configuration(state("engine-1", label_state))
    f.holders["entry-1"].offer(document)


async def by_drain(f):
    await by_configuration(f, SelectorState.DRAINING)


async def by_withdrawal(f):
    await by_configuration(f, SelectorState.WITHDRAWN)


async def by_instance_list(f):
    first = f.list.infos[0]
    f.list.infos[0] = dataclasses.replace(first, leaving=True)


async def by_the_side_itself(f):
    """Shut the side down while the instance list still shows the upstream as live."""
    leaving = asyncio.create_task(f.sides["engine-1"].leave())
    f.tasks["leaving"] = leaving


async def by_death_of_its_side(f):
    await f.kill("engine-1")


SIGNALS = [
    by_drain,
    by_withdrawal,
    by_instance_list,
    by_the_side_itself,
    by_death_of_its_side,
]


@pytest.mark.parametrize("signal", SIGNALS, ids=lambda s: s.__name__)
async def test_leaving_upstream_gets_no_new_work_and_loses_no_answer(signal):
    # Two entries spread a steady load over three engines, and engine 1 leaves in one of
    # the possible ways. After three seconds it starts nothing more, and every caller,
    # including those of its work in flight, gets the whole answer.
    async with fleet(entries=2, engines=3) as f:
        engine = f.upstreams["engine-1"]
        async with load(f):
            assert engine.runs
            signaled_at = asyncio.get_running_loop().time()
            await signal(f)
        assert max(engine.run_times) <= signaled_at + MAX_NEW_WORK_SECONDS


async def test_planned_change_drains_work_in_flight_and_loses_no_answer():
    # Admission is paused under load, as for a role change. Running work ends where it
    # is, waiting work goes to other engines, and the engine is then idle until
    # admission resumes.
    async with fleet(entries=2, engines=3) as f:
        side = f.sides["engine-1"]
        engine = f.upstreams["engine-1"]
        async with load(f):
            side.pause_admission()
            await side.drained()
            drained_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2.0)
            assert max(engine.run_times) < drained_at
            side.resume_admission()
        assert max(engine.run_times) > drained_at


async def test_an_upstream_that_is_listed_again_gets_work_again():
    # The instance list marks an engine as leaving and later does not any more. No other
    # source marks it as leaving, so it gets work again.
    async with fleet(engines=1) as f:
        entry = f.entries["entry-1"]
        info = f.list.infos[0]
        f.list.infos[0] = dataclasses.replace(info, leaving=True)
        await asyncio.sleep(5.0)
        assert not entry.candidates(f.model_call())
        f.list.infos[0] = info
        await asyncio.sleep(5.0)
        assert await answer_of(entry, f.model_call(3)) == expected_text(3)
