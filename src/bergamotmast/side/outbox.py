"""Batching of frames to entries: one multipart message per entry and loop iteration.

An engine completes a step for all its streams at once. Sent one by one, each chunk
would wake ZeroMQ's I/O thread and then the entry. The entry reads the parts of a
message as if each were a message of its own.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import NotReachedError
from ..ports import Listener


class Outbox:
    """Collects frames and sends them in batches, in order for each entry.

    :param listener: the socket that entries connect to.
    :param on_lost: called with the peer whose frames could not be sent.
    :param frames: unsent frames by peer.
    :param filled: set while there are unsent frames.
    """

    def __init__(
        self, listener: Listener, on_lost: cabc.Callable[[bytes], None]
    ) -> None:
        self.listener = listener
        self.on_lost = on_lost
        self.frames: dict[bytes, list[bytes]] = {}
        self.filled = asyncio.Event()

    def put(self, peer: bytes, frame: bytes) -> None:
        """Queue a frame, which is sent in the next iteration of the event loop."""
        self.frames.setdefault(peer, []).append(frame)
        self.filled.set()

    async def run(self) -> None:
        """Send queued frames until cancelled."""
        while True:
            await self.filled.wait()
            await self.flush()

    async def flush(self) -> None:
        """Send all queued frames now."""
        self.filled.clear()
        waiting = self.frames
        self.frames = {}
        for peer, frames in waiting.items():
            try:
                await self.listener.send(peer, *frames)
            except NotReachedError:
                self.on_lost(peer)
