"""In-memory connections within one process, for virtual time and fault injection.

A :class:`MemoryNetwork` delivers frames between dialers and listeners in order, after
a latency, and can partition an address: meanwhile its frames are held, as they would
be in the buffers of a socket, and are delivered when the partition heals.
"""

from __future__ import annotations

import asyncio
import collections
import itertools

from ..errors import NotReachedError

DEFAULT_LATENCY_SECONDS = 0.001
"""One-way latency between availability zones."""


class MemoryNetwork:
    """All addresses of one process.

    :param latency: one-way latency of a frame, in seconds.
    """

    def __init__(self, latency: float = DEFAULT_LATENCY_SECONDS) -> None:
        self.latency = latency
        self.listeners: dict[str, MemoryListener] = {}
        self.partitioned: set[str] = set()
        self.held_frames: dict[str, list[tuple[asyncio.Queue[_Frame], _Frame]]] = {}
        self.peers = itertools.count(1)
        self.in_flight: collections.deque[tuple[asyncio.Queue[_Frame], _Frame]] = (
            collections.deque()
        )

    def listen(self, address: str) -> MemoryListener:
        """Bind an address exclusively.

        :raises OSError: if it is already bound.
        """
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        listener = MemoryListener(self, address)
        self.listeners[address] = listener
        return listener

    def dial(self, address: str) -> MemoryLink:
        """Open a connection to an address, whether bound or not."""
        return MemoryLink(self, address, b"peer-%d" % next(self.peers))

    def partition(self, address: str) -> None:
        """Hold every frame from and to an address until :meth:`heal`."""
        self.partitioned.add(address)

    def heal(self, address: str) -> None:
        """Deliver the frames that were held, in order."""
        self.partitioned.discard(address)
        for queue, frame in self.held_frames.pop(address, []):
            self._deliver(queue, frame)

    def carry(self, address: str, queue: asyncio.Queue[_Frame], frame: _Frame) -> None:
        """Send a frame, or hold it while the address is partitioned."""
        if address in self.partitioned:
            self.held_frames.setdefault(address, []).append((queue, frame))
        else:
            self._deliver(queue, frame)

    def _deliver(self, queue: asyncio.Queue[_Frame], frame: _Frame) -> None:
        self.in_flight.append((queue, frame))
        asyncio.get_running_loop().call_later(self.latency, self._arrive)

    def _arrive(self) -> None:
        """Deliver the oldest frame in flight.

        The event loop does not order timers that are due at the same instant, and in
        virtual time whole bursts are: the chunks of an answer would be reordered, which
        no socket does. All frames have the same latency, so the oldest one is due.
        """
        queue, frame = self.in_flight.popleft()
        queue.put_nowait(frame)


_Frame = tuple[bytes, bytes]


class MemoryLink:
    """The dialer's end of a connection."""

    def __init__(self, network: MemoryNetwork, address: str, peer: bytes) -> None:
        self.network = network
        self.address = address
        self.peer = peer
        self.incoming: asyncio.Queue[_Frame] = asyncio.Queue()
        self.listener: MemoryListener | None = None
        self.closed = False

    async def send(self, frame: bytes) -> None:
        """Send a frame.

        :raises NotReachedError: if the connection is closed or the address not bound.
        """
        listener = self.network.listeners.get(self.address)
        if self.closed or listener is None:
            raise NotReachedError(f"{self.address} is not bound")
        listener.links[self.peer] = self
        self.network.carry(self.address, listener.incoming, (self.peer, frame))

    async def receive(self) -> bytes:
        """Return the next frame."""
        _, frame = await self.incoming.get()
        return frame

    async def receive_many(self) -> list[bytes]:
        """Wait for at least one frame and return those that have arrived, in order."""
        frames = [await self.receive()]
        while not self.incoming.empty():
            frames.append(self.incoming.get_nowait()[1])
        return frames

    def close(self) -> None:
        """Close the connection; frames in flight to the listener still arrive."""
        self.closed = True


class MemoryListener:
    """The listener's end of all its connections."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.incoming: asyncio.Queue[_Frame] = asyncio.Queue()
        self.links: dict[bytes, MemoryLink] = {}

    async def receive(self) -> tuple[bytes, bytes]:
        """Return the next frame with the identity of its peer."""
        return await self.incoming.get()

    async def send(self, peer: bytes, *frames: bytes) -> None:
        """Send frames to a peer.

        :raises NotReachedError: if the peer has closed its connection.
        """
        link = self.links.get(peer)
        if link is None or link.closed:
            self.links.pop(peer, None)
            raise NotReachedError("the peer is gone")
        for frame in frames:
            self.network.carry(self.address, link.incoming, (peer, frame))

    def close(self) -> None:
        """Release the address."""
        self.network.listeners.pop(self.address, None)
