"""A side whose time is over says so of all that still runs."""

from __future__ import annotations

import asyncio
import types

from bergamotmast.side.core import SideCore


async def test_each_running_attempt_is_told_though_others_end_meanwhile():
    """Three calls run at a side whose time is over; telling of one lets others end.

    The side ended with an error in the midst of it, and the entries waited for the
    rest until the side counted as lost.
    """
    told = []
    core = SideCore.__new__(SideCore)
    session = types.SimpleNamespace(peer=b"entry")
    core.attempts = {
        name: types.SimpleNamespace(name=name, session=session, task=None)
        for name in "abc"
    }
    core.running = set("abc")

    async def send(peer, message):
        told.append(message.attempt)
        await asyncio.sleep(0)
        core.running.discard(message.attempt)
        core.attempts.pop(message.attempt)

    async def nothing():
        pass

    core.send = send
    core.flush = nothing
    core.server = types.SimpleNamespace(wait_until_read=nothing)
    await core.abort_attempts()
    assert sorted(told) == ["a", "b", "c"]
