"""Abort of the attempts that still run when a side's shutdown time is over."""

from __future__ import annotations

import asyncio
import types

from bergamotmast.side.core import SideCore


async def test_each_running_attempt_is_reported_though_others_end_meanwhile():
    """Attempts end and are removed while the failure of another one is being sent.

    The loop over the running attempts raised an error, and the entries waited for the
    remaining ones until the side counted as lost.
    """
    reported = []
    core = SideCore.__new__(SideCore)
    session = types.SimpleNamespace(peer=b"entry")
    core.attempts = {
        name: types.SimpleNamespace(name=name, session=session, task=None)
        for name in "abc"
    }
    core.running = set("abc")

    async def send(peer, message):
        reported.append(message.attempt)
        await asyncio.sleep(0)
        core.running.discard(message.attempt)
        core.attempts.pop(message.attempt)

    async def nothing():
        pass

    core.send = send
    core.flush = nothing
    core.server = types.SimpleNamespace(wait_until_read=nothing)
    await core.abort_attempts()
    assert sorted(reported) == ["a", "b", "c"]
