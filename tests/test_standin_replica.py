"""Connections of the stand-in for a replica."""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest

from direct_support import request
from platform_standin import HeaderOnlyReplica
from platform_standin import Replica
from platform_standin import answer
from platform_standin import hang


@pytest.mark.parametrize("sent", [b"", b"POST /", request("/x")])
@pytest.mark.parametrize(
    "new",
    [
        lambda: Replica("i-1", hang()),
        lambda: Replica("i-1", answer()),
        lambda: HeaderOnlyReplica("i-1", b"no"),
    ],
    ids=["hang", "answer", "header only"],
)
def test_connections_are_closed_before_the_event_loop(new, sent, monkeypatch):
    """Guards against connections that the garbage collector can no longer close.

    Its error is formatted with ``ast.parse``, which in CPython 3.11 fails the
    ``ast.parse`` that the collector may have interrupted.
    """

    async def leave() -> None:
        async with new() as replica:
            host, port = replica.address.split(":")
            _, writer = await asyncio.open_connection(host, port)
            writer.write(sent)
            while not replica.connections:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            writer.close()

    errors = []
    gc.collect()
    monkeypatch.setattr(sys, "unraisablehook", errors.append)
    asyncio.run(leave())
    gc.collect()
    assert [error.exc_value for error in errors] == []
