"""Connections between entries and sides over ZeroMQ, encrypted where keys are set."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import logging
import typing as t

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from ..errors import NotReachedError

logger = logging.getLogger(__name__)

HIGH_WATER_MARK = 1000
"""Messages queued for one connection before further sends fail."""

CLOSE_LINGER_MILLISECONDS = 2000
"""How long the last answers of a side may take to be sent during its shutdown."""

HANDSHAKE_MILLISECONDS = 5000
"""How long a peer may take for the handshake, which presents its key."""

MAX_FRAMES_PER_TURN = 64
"""Frames received from a socket before the event loop's other tasks run."""

# Plain integers: combining the library's enum flags costs more than the socket call.
_NOBLOCK = int(zmq.NOBLOCK)
_SNDMORE = int(zmq.SNDMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)


@dataclasses.dataclass(frozen=True, slots=True)
class CurveKeys:
    """CURVE keys of one process, in the Z85 text that ZeroMQ prints.

    :param public: its own public key.
    :param secret: its own secret key.
    :param server: public key of the sides, for an entry.
    :param allowed: public keys of the entries, for a side.
    """

    public: bytes
    secret: bytes
    server: bytes = b""
    allowed: frozenset[bytes] = frozenset()


class ZmqDialer:
    """Opens connections from an entry to sides.

    :param context: shared by all connections of the process.
    :param keys: the entry's keys, or ``None`` for plain connections.
    """

    def __init__(self, context: zmq.asyncio.Context, keys: CurveKeys | None) -> None:
        self.context = context
        self.keys = keys

    def dial(self, address: str) -> ZmqLink:
        """Open a connection to ``host:port``."""
        socket = _open(self.context, zmq.DEALER)
        # Without this, frames for a side that is not connected would be queued and
        # delivered whenever it reconnects.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        if self.keys is not None:
            socket.curve_publickey = self.keys.public
            socket.curve_secretkey = self.keys.secret
            socket.curve_serverkey = self.keys.server
        socket.connect(f"tcp://{address}")
        return ZmqLink(socket)


class _FrameWaiter:
    """Wakes the one task that waits for a socket's next frame.

    Frames are received without waiting while there are any, so that a burst costs one
    wake-up; the library's own asyncio sockets create a future for each frame.

    ZeroMQ's file descriptor is edge-triggered: a send may consume the event of a frame
    that has arrived, and the descriptor is then not readable although a frame is there.
    The stream would stall until the next frame. So every send polls for frames while a
    task waits, and a task polls the socket before it waits.

    :param socket: a socket without futures, not one of the library's asyncio sockets.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self.socket = socket
        self.loop: asyncio.AbstractEventLoop | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.frames_taken = 0

    async def yield_after_burst(self) -> None:
        """Let other tasks run after a burst; no frame is held meanwhile."""
        if self.frames_taken >= MAX_FRAMES_PER_TURN:
            self.frames_taken = 0
            await asyncio.sleep(0)

    async def wait(self) -> None:
        """Wait until there may be a frame, after a receive that found none."""
        loop = asyncio.get_running_loop()
        if self.loop is None:
            loop.add_reader(self.socket.FD, self.poll)
            self.loop = loop
        self.frames_taken = 0
        self.waiter = loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def poll(self) -> None:
        """Wake the waiting task if there is a frame."""
        # Read even if no task waits: the descriptor stays readable until then, and the
        # event loop would spin.
        events = self.socket.get(_EVENTS)
        assert isinstance(events, int)
        if events & _POLLIN and self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def after_send(self) -> None:
        """Poll for frames whose event a send may have consumed."""
        if self.waiter is not None:
            self.poll()

    def close(self) -> None:
        """Stop watching; a task that still waits is cancelled."""
        if self.loop is not None and not self.loop.is_closed():
            self.loop.remove_reader(self.socket.FD)
        self.loop = None
        if self.waiter is not None:
            self.waiter.cancel()


class ZmqLink:
    """The entry's end of a connection."""

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self.socket = socket
        self.frame_waiter = _FrameWaiter(socket)

    async def send(self, frame: bytes) -> None:
        """Queue a frame for sending, without waiting."""
        if self.socket.closed:
            raise NotReachedError("the connection is closed")
        try:
            self.socket.send(frame, _NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"frame not queued: {error}") from error
        finally:
            self.frame_waiter.after_send()

    async def receive(self) -> bytes:
        """Return the next frame, a part of a message."""
        await self.frame_waiter.yield_after_burst()
        while (frame := self._receive_now()) is None:
            await self.frame_waiter.wait()
        return frame

    async def receive_many(self) -> list[bytes]:
        """Wait for at least one frame and return those that have arrived, in order."""
        frames = [await self.receive()]
        while self.frame_waiter.frames_taken < MAX_FRAMES_PER_TURN:
            frame = self._receive_now()
            if frame is None:
                break
            frames.append(frame)
        return frames

    def _receive_now(self) -> bytes | None:
        try:
            frame = self.socket.recv(_NOBLOCK)
        except zmq.Again:
            return None
        self.frame_waiter.frames_taken += 1
        return frame

    def close(self) -> None:
        """Close the connection and drop all frames that are still queued."""
        if not self.socket.closed:
            self.frame_waiter.close()
        self.socket.close(linger=0)


class ZmqListener:
    """The side's end of all its connections.

    The address is bound exclusively: a second process for the same slot fails to
    start while the first one, even if it is suspended, still holds the port.

    :param address: ``host:port``; port 0 binds a free port, which the attribute
        ``address`` then names.
    :raises OSError: if the address is in use.
    """

    def __init__(
        self, context: zmq.asyncio.Context, address: str, keys: CurveKeys | None
    ) -> None:
        self.socket = _open(context, zmq.ROUTER)
        self.frame_waiter = _FrameWaiter(self.socket)
        # Without this, a frame for a peer that is gone would be silently dropped.
        self.socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        if keys is not None:
            self._require_keys(context, keys)
        try:
            self.socket.bind(f"tcp://{address}")
            endpoint = self.socket.getsockopt(zmq.LAST_ENDPOINT)
        except zmq.ZMQError as error:
            self.close()
            raise OSError(f"can't listen on {address}: {error}") from error
        assert isinstance(endpoint, bytes)
        self.address = endpoint.decode().rstrip("\0").removeprefix("tcp://")

    def _require_keys(self, context: zmq.asyncio.Context, keys: CurveKeys) -> None:
        self.authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self.authenticator.start()
        self.authenticator.configure_curve_callback(
            credentials_provider=_AllowedKeys(keys.allowed)
        )
        self.socket.curve_server = True
        self.socket.curve_publickey = keys.public
        self.socket.curve_secretkey = keys.secret

    async def receive(self) -> tuple[bytes, bytes]:
        """Return the next frame with the identity of its peer."""
        await self.frame_waiter.yield_after_burst()
        while True:
            try:
                parts = self.socket.recv_multipart(_NOBLOCK)
            except zmq.Again:
                await self.frame_waiter.wait()
                continue
            self.frame_waiter.frames_taken += 1
            if len(parts) == 2:
                return parts[0], parts[1]
            await self.frame_waiter.yield_after_burst()

    async def send(self, peer: bytes, *frames: bytes) -> None:
        """Queue frames as the parts of one message, without waiting."""
        if self.socket.closed:
            raise NotReachedError("the listener is closed")
        try:
            # Only the first part can fail; the others follow it.
            self.socket.send(peer, _NOBLOCK | _SNDMORE)
            for frame in frames[:-1]:
                self.socket.send(frame, _NOBLOCK | _SNDMORE)
            self.socket.send(frames[-1], _NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"frame not queued: {error}") from error
        finally:
            self.frame_waiter.after_send()

    def close(self) -> None:
        """Release the address; answers that are queued are still sent for a while."""
        if not self.socket.closed:
            self.frame_waiter.close()
        self.socket.close(linger=CLOSE_LINGER_MILLISECONDS)
        if self.authenticator is not None:
            self.authenticator.stop()


class _AllowedKeys:
    """Tells ZeroMQ which public keys may connect."""

    def __init__(self, allowed: cabc.Set[bytes]) -> None:
        self.allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key may connect."""
        if key in self.allowed:
            return True
        logger.warning("a peer with key %r was refused", key)
        return False


def _open(context: zmq.Context[t.Any], kind: int) -> zmq.Socket[bytes]:
    """Return a socket without futures; the context closes it if its owner doesn't."""
    socket: zmq.Socket[bytes] = context.socket(kind, socket_class=zmq.Socket)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MILLISECONDS)
    return socket
