"""Streams that callers resume at an entry that is out of step as a build comes.

The entry is cut off from the store, from the others or from both, in one direction, or
stands still. ``tests/out_of_step_support.py`` has all cases and plays them by hand.
"""

from __future__ import annotations

import pytest

from out_of_step_support import CASES
from out_of_step_support import play

OUT_OF_STEP = (
    "from all, not noticed",
    "from all",
    "from all, store refuses",
    "store silent, unheard",
    "store silent, hears nobody",
    "store silent",
    "store slow",
    "from the others",
    "frozen",
    "frozen and cut off",
    "frozen, from the others",
    "engine comes back",
    "engine comes back, not noticed",
    "engine comes back, frozen",
    "engine comes back, store silent",
)
IN_STEP = (
    "outage, one build",
    "outage, not noticed",
    "outage, one killed",
    "outage, two builds",
    "others silent, one build",
    "other killed, one build",
)


async def assert_no_faults(name: str) -> None:
    outcome = await play(CASES[name])
    if faults := outcome.faults(CASES[name]):
        logs = outcome.keep_logs()
        raise AssertionError(f"{faults[:3]} {outcome.describe()}, logs: {logs}")


@pytest.mark.parametrize("name", OUT_OF_STEP)
async def test_entry_out_of_step_keeps_streams_at_their_builds(name):
    """Guards against streams that go on at the only build an entry knows of."""
    await assert_no_faults(name)


@pytest.mark.parametrize("name", IN_STEP)
async def test_streams_go_on_where_no_build_is_new(name):
    """Guards against refusing streams for want of a proof that others can give."""
    await assert_no_faults(name)
