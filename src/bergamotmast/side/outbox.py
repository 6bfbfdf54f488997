"""Frames on their way to entries, those of one turn of the event loop together.

An engine ends a step for all its streams at once. Handed over one by one, each chunk
would wake ZeroMQ's own thread and then the entry; a turn's frames for one entry go as
one message of several parts, which the entry reads part by part as if they were many.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import NotReachedError
from ..ports import Listener


class Outbox:
    """Collects frames and hands them over, in order for each entry.

    :param listener: where entries are connected.
    :param on_lost: called with the peer whose frames could not be handed over.
    """

    def __init__(
        self, listener: Listener, on_lost: cabc.Callable[[bytes], None]
    ) -> None:
        self.listener = listener
        self.on_lost = on_lost
        self.frames: dict[bytes, list[bytes]] = {}
        self.filled = asyncio.Event()

    def put(self, peer: bytes, frame: bytes) -> None:
        """Take a frame; it goes out in the next turn of the event loop."""
        self.frames.setdefault(peer, []).append(frame)
        self.filled.set()

    async def run(self) -> None:
        """Hand over what is put in until cancelled."""
        while True:
            await self.filled.wait()
            await self.flush()

    async def flush(self) -> None:
        """Hand over everything now."""
        self.filled.clear()
        waiting = self.frames
        self.frames = {}
        for peer, frames in waiting.items():
            try:
                await self.listener.send(peer, *frames)
            except NotReachedError:
                self.on_lost(peer)
