"""Protocols of the external systems that the package uses, and of its transport."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from .model import CacheEvent
from .model import EngineLoad
from .model import EngineState
from .model import GenerateRequest
from .model import InstanceInfo
from .model import Order
from .model import ServiceAnswer
from .model import ServiceCall
from .model import TokenChunk


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the key-value service with its value.

    :param mod_revision: store revision of the last write to this key.
    :param lease: id of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: a key's ``mod_revision``; 0 if it must not exist."""

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write of one key in a transaction."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Removal of one key in a transaction."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RangeResult:
    """Result of a range read: the keys and the store revision of the read.

    :param era: number of restores of the service before the read; 0 if it counts none.
    """

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction: whether all conditions held, and the new revision."""

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """Change of a watched key; ``value`` is ``None`` if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyValueService(t.Protocol):
    """Client of the platform's key-value service.

    Every call may raise :exc:`~bergamotmast.errors.KeyValueUnavailableError`, which
    means that nothing was written. Writes may also raise
    :exc:`~bergamotmast.errors.KeyValueOutcomeUnknownError`.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        ...

    async def range(self, prefix: str) -> RangeResult:
        """Read all keys with a prefix."""
        ...

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes atomically if all conditions hold."""
        ...

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return ``False`` if it has expired."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield changes of keys with a prefix in order, and ``None`` for a keep-alive.

        Raises an error if the stream ends or its start revision was compacted. The
        consumer must then read the range again.

        :param from_revision: first revision to yield, such as a range read's revision
            plus 1; 0 for future changes only.
        """
        ...


class Engine(t.Protocol):
    """Client of a model engine.

    Calls raise :exc:`~bergamotmast.errors.NotReachedError` if the engine certainly did
    not receive the call, and :exc:`~bergamotmast.errors.ReplyLostError` if it may have
    received it.
    """

    async def state(self) -> EngineState:
        """Read the engine's state."""
        ...

    async def load(self) -> EngineLoad:
        """Read the latest load report."""
        ...

    async def order(self, order: Order) -> None:
        """Send an order; return once the engine has accepted it, before it is applied.

        :raises OrderRefusedError: if the fencing token is too low or the engine still
            applies another order.
        """
        ...

    def generate(
        self, request: GenerateRequest
    ) -> cabc.AsyncGenerator[TokenChunk, None]:
        """Yield the output in chunks; closing the generator cancels the stream."""
        ...

    async def cancel(self, stream_id: str) -> None:
        """Cancel a stream that may still run, for instance after a lost connection."""
        ...

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Read the retained cache events after a sequence number."""
        ...


class PlainService(t.Protocol):
    """Client of a plain service; raises the same errors as :class:`Engine`."""

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Run a call and return its complete response."""
        ...

    async def is_refused(self) -> bool:
        """Return whether connections are refused, as no process listens."""
        ...


class InstanceList(t.Protocol):
    """Client of the platform's list of instances, which may lag behind."""

    async def instances(self) -> tuple[InstanceInfo, ...]:
        """Read all instances, including those that are leaving."""
        ...


class WeightStore(t.Protocol):
    """Client of the platform's rate-limited store of model weights."""

    async def sizes(self) -> dict[str, float]:
        """Read the size of each model or adapter version, in gigabytes."""
        ...

    async def rate(self) -> float:
        """Read the transfer rate that all loads share, in gigabytes per second."""
        ...


class Link(t.Protocol):
    """The entry's end of a connection to a side."""

    async def send(self, frame: bytes) -> None:
        """Queue a frame for sending.

        :raises NotReachedError: if the frame was certainly not queued.
        """
        ...

    async def receive(self) -> bytes:
        """Wait for the next frame and return it."""
        ...

    async def receive_many(self) -> list[bytes]:
        """Wait for at least one frame; return all received frames in order."""
        ...

    def close(self) -> None:
        """Close the connection and discard all queued frames."""
        ...


class Dialer(t.Protocol):
    """Factory of connections to sides."""

    def dial(self, address: str) -> Link:
        """Return a link that connects in the background, and may never succeed."""
        ...


class Listener(t.Protocol):
    """The side's end of all its connections, at an exclusively bound address."""

    async def receive(self) -> tuple[bytes, bytes]:
        """Wait for the next frame; return the identity of its peer and the frame."""
        ...

    async def send(self, peer: bytes, *frames: bytes) -> None:
        """Queue frames for a peer, all or none.

        :raises NotReachedError: if the peer has disconnected or its queue is full.
        """
        ...

    def close(self) -> None:
        """Close all connections and release the address."""
        ...
