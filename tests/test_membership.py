from __future__ import annotations

import asyncio

import msgspec
import pytest

from bergamotmast.config.document import Selector
from bergamotmast.config.document import SelectorState
from bergamotmast.config.document import encode_configuration
from support import ScriptedEngine
from support import answer_of
from support import configuration
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime


async def test_an_upstream_that_left_the_list_for_a_while_is_used_again():
    # The instance list drops engine 1 and lists it again. The entry's new connection
    # must continue the numbers of its hellos: the side remembers the entry and ignores
    # a hello whose number is not above the last.
    async with fleet(engines=1) as f:
        info = f.list.infos.pop()
        await asyncio.sleep(5.0)
        assert f.entries["entry-1"].membership.peers == {}
        f.list.infos.append(info)
        await asyncio.sleep(5.0)
        text = await answer_of(f.entries["entry-1"], f.model_call(3))
        assert text == expected_text(3)


async def test_work_in_flight_continues_after_its_upstream_is_unlisted():
    async with fleet(engines=1) as f:
        task = asyncio.create_task(answer_of(f.entries["entry-1"], f.model_call(80)))
        await asyncio.sleep(1.0)
        f.list.infos.clear()
        assert await task == expected_text(80)


async def test_planner_observes_all_sides_and_offers_work_to_its_subset():
    # An engine without labels is in no selector and thus no candidate; a planner must
    # still get its reports, at the longer interval of an observer.
    async with fleet(engines=1) as f:
        membership = f.entries["entry-1"].membership
        membership.observes_all = lambda: True
        f.add_upstream("engine-9", ScriptedEngine())
        await asyncio.sleep(5.0)
        observed = membership.peers["engine-9"]
        assert observed.report is not None
        assert not observed.is_ready
        membership.observes_all = lambda: False
        await asyncio.sleep(5.0)
        assert set(membership.peers) == {"engine-1"}


async def test_replaced_side_of_a_draining_upstream_learns_that_it_drains():
    # Operators drain engine-1, and its side is replaced while only entries can pass the
    # configuration on. Without a session with any of them it would accept work.
    async with fleet(entries=1, engines=2) as f:
        drained = configuration(
            2, labels={"engine-1": {"pool": "gone"}, "engine-2": {"pool": "main"}}
        )
        gone = Selector(name="gone", group="pool=gone", state=SelectorState.DRAINING)
        drained = msgspec.structs.replace(drained, selectors=(*drained.selectors, gone))
        f.holders["entry-1"].offer(encode_configuration(drained))
        await f.settle()
        await f.kill("engine-1")
        await f.settle()
        f.start_side("engine-1")
        await asyncio.sleep(10.0)
        assert f.holders["engine-1"].generation == 2
        assert not f.entries["entry-1"].membership.peers["engine-1"].is_ready
