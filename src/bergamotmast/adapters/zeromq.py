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
"""Messages queued for one connection before it counts as taking no more."""

CLOSE_LINGER_MILLISECONDS = 2000
"""How long the last answers of a side that shuts down may take to go out."""

HANDSHAKE_MILLISECONDS = 5000
"""How long a peer may take to show its key."""

MAX_FRAMES_PER_TURN = 64
"""Frames taken from a socket before the event loop's other tasks get a turn."""

_NOBLOCK = int(zmq.NOBLOCK)
_SNDMORE = int(zmq.SNDMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
# Plain numbers: combining the library's flags costs more than the call they steer.


@dataclasses.dataclass(frozen=True, slots=True)
class CurveKeys:
    """Keys of one process, Z85 text as ZeroMQ prints it.

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
        # delivered whenever it comes back.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        if self.keys is not None:
            socket.curve_publickey = self.keys.public
            socket.curve_secretkey = self.keys.secret
            socket.curve_serverkey = self.keys.server
        socket.connect(f"tcp://{address}")
        return ZmqLink(socket)


class _FrameWaiter:
    """Wakes the one task that waits for a socket's next frame.

    Frames are taken without waiting while there are any, so that a burst costs one
    wake-up; the library's own asyncio sockets make a future for each frame.

    ZeroMQ's descriptor shows changes, not a state: a send may take in the news of a
    frame that came, and the descriptor stays silent although a frame is there. Its
    stream would stall until the next frame. So every send looks for frames while
    somebody waits, and whoever does not wait yet looks into the socket first.

    :param socket: a socket without futures.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self.socket = socket
        self.loop: asyncio.AbstractEventLoop | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.frames_taken = 0

    async def yield_after_burst(self) -> None:
        """Give other tasks a turn after a burst; nothing is held meanwhile."""
        if self.frames_taken >= MAX_FRAMES_PER_TURN:
            self.frames_taken = 0
            await asyncio.sleep(0)

    async def wait(self) -> None:
        """Wait until there may be a frame, after one look that found none."""
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
        # Asked also when nobody waits: the descriptor stays readable until then, and
        # the event loop would spin.
        events = self.socket.get(_EVENTS)
        assert isinstance(events, int)
        if events & _POLLIN and self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def after_send(self) -> None:
        """Look for frames whose news a send may have taken in."""
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
        """Hand a frame over without waiting."""
        if self.socket.closed:
            raise NotReachedError("the connection is closed")
        try:
            self.socket.send(frame, _NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"not handed over: {error}") from error
        finally:
            self.frame_waiter.after_send()

    async def receive(self) -> bytes:
        """Return the next frame, a part of a message."""
        await self.frame_waiter.yield_after_burst()
        while (frame := self._receive_now()) is None:
            await self.frame_waiter.wait()
        return frame

    async def receive_many(self) -> list[bytes]:
        """Return the frames that have come, in order, at least one."""
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
        """Drop the connection with all frames still queued."""
        if not self.socket.closed:
            self.frame_waiter.close()
        self.socket.close(linger=0)


class ZmqListener:
    """The side's end of all its connections.

    The address is bound exclusively: a second process for the same slot fails to
    start while the first one, even if it is stopped, still holds the port.

    :param address: ``host:port``; port 0 takes a free one, see ``address`` after.
    :raises OSError: if the address is in use.
    """

    def __init__(
        self, context: zmq.asyncio.Context, address: str, keys: CurveKeys | None
    ) -> None:
        self.socket = _open(context, zmq.ROUTER)
        self.frame_waiter = _FrameWaiter(self.socket)
        # Without this, a frame for a peer that is gone would be dropped in silence.
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
        """Hand frames over as the parts of one message, without waiting."""
        if self.socket.closed:
            raise NotReachedError("the listener is closed")
        try:
            # Only the first part can be refused; the others go where it went.
            self.socket.send(peer, _NOBLOCK | _SNDMORE)
            for frame in frames[:-1]:
                self.socket.send(frame, _NOBLOCK | _SNDMORE)
            self.socket.send(frames[-1], _NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"not handed over: {error}") from error
        finally:
            self.frame_waiter.after_send()

    def close(self) -> None:
        """Release the address; answers just handed over still go out for a while."""
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
    """Return a socket without futures that the context closes if we don't."""
    socket: zmq.Socket[bytes] = context.socket(kind, socket_class=zmq.Socket)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MILLISECONDS)
    return socket
