"""Entries and sides as processes that are told to end, or to reload, under load."""

from __future__ import annotations

import asyncio
import signal

from kept_callers import KeptCallers
from process_fleet import process_fleet

CALLERS = 40
LOAD_SECONDS = 1.0
END_SECONDS = 30.0


async def ended(f, name):
    """Return a process's exit status after it ended by itself."""
    async with asyncio.timeout(END_SECONDS):
        return await f.processes[name].wait()


async def test_no_call_on_a_kept_connection_is_cut_as_its_entry_ends(tmp_path):
    # Callers send without rest, each on the connection that it kept, while the entry
    # is told to end. It may answer a call or refuse it; a connection that is closed
    # without a word leaves the caller to guess whether its order was placed.
    async with process_fleet(tmp_path, engines=0, entries=1) as f:
        callers = KeptCallers(f.urls["entry-1"])
        async with callers.sending(CALLERS):
            await asyncio.sleep(LOAD_SECONDS)
            f.signal("entry-1", signal.SIGTERM)
            assert await ended(f, "entry-1") == 0
    assert callers.statuses[200] > CALLERS
    assert callers.cut == []
