"""Every interface to what lies outside the package's own decisions."""

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
    """One key of the key-value service.

    :param mod_revision: store revision of the last write to this key.
    :param lease: the lease it is attached to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A transaction's condition: the key's last write; 0 means it is absent."""

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A transaction's write of one key."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A transaction's removal of one key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RangeResult:
    """Keys found and the store revision they were read at."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether every condition held, and the store revision after."""

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a watched key; ``value`` is ``None`` where it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyValueService(t.Protocol):
    """The platform's key-value service.

    Every call may raise
    :exc:`~bergamotmast.errors.KeyValueUnavailableError` (nothing happened); writes may
    also raise :exc:`~bergamotmast.errors.KeyValueOutcomeUnknownError`.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        ...

    async def range(self, prefix: str) -> RangeResult:
        """Read every key below a prefix."""
        ...

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, else none."""
        ...

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; ``False`` if it has lapsed."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield changes below a prefix in order; ``None`` is a sign of life.

        :param from_revision: the first revision wanted, so that after a range read it
            is that one's revision plus 1; 0 for what comes from now on.

        Raises when the stream ends or its start was compacted; the caller then
        reads the range again.
        """
        ...


class Engine(t.Protocol):
    """One model engine.

    Calls raise :exc:`~bergamotmast.errors.NotReachedError` where the engine was
    truly not reached and :exc:`~bergamotmast.errors.ReplyLostError` otherwise.
    """

    async def state(self) -> EngineState:
        """Read what the engine is."""
        ...

    async def load(self) -> EngineLoad:
        """Read the latest load report."""
        ...

    async def order(self, order: Order) -> None:
        """Give an order and return when the engine has taken it, not finished it.

        :raises OrderRefusedError: for an old fencing token or an order under way.
        """
        ...

    def generate(
        self, request: GenerateRequest
    ) -> cabc.AsyncGenerator[TokenChunk, None]:
        """Yield the answer's chunks; closing the generator cancels the stream."""
        ...

    async def cancel(self, stream_id: str) -> None:
        """End a stream that may still run, for instance after a broken connection."""
        ...

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Read the cache events after a sequence number, as far as still kept."""
        ...


class PlainService(t.Protocol):
    """One plain service, with the same errors as an engine."""

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Run one call and return its whole answer."""
        ...


class InstanceList(t.Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def instances(self) -> tuple[InstanceInfo, ...]:
        """Read the list."""
        ...


class WeightStore(t.Protocol):
    """The platform's rate-limited store of model weights."""

    async def sizes(self) -> dict[str, float]:
        """Read the size of each model or adapter version, in gigabytes."""
        ...

    async def rate(self) -> float:
        """Read the rate that all loads share, in gigabytes a second."""
        ...


class Link(t.Protocol):
    """The entry's end of a connection to one side."""

    async def send(self, frame: bytes) -> None:
        """Hand a frame over.

        :raises NotReachedError: if the frame was certainly not handed over.
        """
        ...

    async def receive(self) -> bytes:
        """Return the next frame."""
        ...

    async def receive_many(self) -> list[bytes]:
        """Return the frames that have come, in order, at least one."""
        ...

    def close(self) -> None:
        """Drop the connection with all frames still queued."""
        ...


class Dialer(t.Protocol):
    """Opens connections to sides."""

    def dial(self, address: str) -> Link:
        """Open a connection; it may come up later or never."""
        ...


class Listener(t.Protocol):
    """The side's end of all connections, one address bound exclusively."""

    async def receive(self) -> tuple[bytes, bytes]:
        """Return the next frame with the identity of its peer."""
        ...

    async def send(self, peer: bytes, *frames: bytes) -> None:
        """Hand frames over to a peer, all or none.

        :raises NotReachedError: if the peer is gone or takes no more.
        """
        ...

    def close(self) -> None:
        """Release the address."""
        ...
