"""Connections between entries and sides over ZeroMQ, encrypted where keys are set."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from ..errors import NotReachedError

HIGH_WATER_MARK = 1000
"""Frames queued for one connection before it counts as taking no more."""

CLOSE_LINGER_MILLISECONDS = 2000
"""How long the last answers of a side that shuts down may take to go out."""

HANDSHAKE_MILLISECONDS = 5000
"""How long a peer may take to show its key."""


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
        socket = self.context.socket(zmq.DEALER)
        _set_common(socket)
        # Without this, frames for a side that is not connected would be queued and
        # delivered whenever it comes back.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        if self.keys is not None:
            socket.curve_publickey = self.keys.public
            socket.curve_secretkey = self.keys.secret
            socket.curve_serverkey = self.keys.server
        socket.connect(f"tcp://{address}")
        return ZmqLink(socket)


class ZmqLink:
    """The entry's end of a connection."""

    def __init__(self, socket: zmq.asyncio.Socket) -> None:
        self.socket = socket

    async def send(self, frame: bytes) -> None:
        """Hand a frame over without waiting."""
        if self.socket.closed:
            raise NotReachedError("the connection is closed")
        try:
            await self.socket.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"not handed over: {error}") from error

    async def receive(self) -> bytes:
        """Return the next frame."""
        return await self.socket.recv()

    def close(self) -> None:
        """Drop the connection with all frames still queued."""
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
        self.socket = context.socket(zmq.ROUTER)
        _set_common(self.socket)
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
        while True:
            parts = await self.socket.recv_multipart()
            if len(parts) == 2:
                return parts[0], parts[1]

    async def send(self, peer: bytes, frame: bytes) -> None:
        """Hand a frame over without waiting."""
        if self.socket.closed:
            raise NotReachedError("the listener is closed")
        try:
            await self.socket.send_multipart((peer, frame), zmq.NOBLOCK)
        except zmq.ZMQError as error:
            raise NotReachedError(f"not handed over: {error}") from error

    def close(self) -> None:
        """Release the address; answers just handed over still go out for a while."""
        self.socket.close(linger=CLOSE_LINGER_MILLISECONDS)
        if self.authenticator is not None:
            self.authenticator.stop()


class _AllowedKeys:
    """Tells ZeroMQ which public keys may connect."""

    def __init__(self, allowed: cabc.Set[bytes]) -> None:
        self.allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key may connect."""
        return key in self.allowed


def _set_common(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MILLISECONDS)
