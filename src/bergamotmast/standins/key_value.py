"""In-process stand-in for the key-value service, with fault injection.

Leases expire by the event loop's clock, also during an outage: a holder that can't
renew its lease loses its keys. Some of the services that users run behave like this,
and it is the harsher of the possible behaviours.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import itertools
import typing as t

from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeaseLapsedError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import RangeResult
from ..ports import TxnResult
from ..ports import WatchEvent
from .key_value_store import KeyValueStore
from .key_value_store import Snapshot

PROGRESS_INTERVAL_SECONDS = 1.0
"""Time without an event after which a watch yields ``None``."""

_T = t.TypeVar("_T")


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl: int
    timer: asyncio.TimerHandle


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """One open watch.

    :param broken: the watch fails with :exc:`KeyValueUnavailableError`.
    :param silent: the watch yields nothing more, without an error.
    """

    client: str
    prefix: str
    queue: asyncio.Queue[WatchEvent | None]
    broken: bool = False
    silent: bool = False


class KeyValueStandIn:
    """Stand-in for the key-value service; processes use it through :meth:`client`.

    :param delay: duration of each call in seconds, half of it before the call takes
        effect.
    :param delays: durations that differ from ``delay``, by client name.
    :param store: the content, which tests may inspect.
    :param reads: number of reading calls so far.
    :param writes: number of transactions, lease grants and revocations so far.
    :param keep_alives: number of lease renewals so far.
    """

    def __init__(self, delay: float = 0.0) -> None:
        self.delay = delay
        self.delays: dict[str, float] = {}
        self.store = KeyValueStore()
        self.reads = 0
        self.writes = 0
        self.keep_alives = 0
        self._down = False
        self._cut: set[str] = set()
        self._replies_to_lose: collections.Counter[str | None] = collections.Counter()
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._watches: dict[_Watch, None] = {}

    def client(self, name: str) -> KeyValueClient:
        """Return a client of the service, one for each process."""
        return KeyValueClient(self, name)

    @property
    def waiting_watches(self) -> int:
        """Number of open watches."""
        return len(self._watches)

    @property
    def down(self) -> bool:
        """Whether every call fails; setting it to ``True`` breaks all open watches."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        if value:
            self._break_watches(lambda watch: True)

    def cut(self, client: str) -> None:
        """Partition one client from the service until :meth:`heal`.

        Its calls fail and its open watches break.
        """
        self._cut.add(client)
        self._break_watches(lambda watch: watch.client == client)

    def heal(self, client: str) -> None:
        """End the partition of a client."""
        self._cut.discard(client)

    def lose_next_reply(self, client: str | None = None, count: int = 1) -> None:
        """Make the next writes take effect, but lose their replies.

        :param client: client whose writes are concerned; ``None`` for any client.
        :param count: number of writes.
        """
        self._replies_to_lose[client] += count

    def silence_watches(self, client: str | None = None) -> None:
        """Make the open watches yield nothing more, without an error.

        Watches opened later work. This is how a half-open TCP connection fails, whose
        other end is gone without closing it.

        :param client: client whose watches are concerned; ``None`` for all clients.
        """
        for watch in self._watches:
            watch.silent = watch.silent or client in (None, watch.client)

    def compact(self, revision: int | None = None) -> None:
        """Compact the events up to a revision, or all of them."""
        self.store.compact(self.store.revision if revision is None else revision)

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the content and the leases."""
        leases = {lease: entry.ttl for lease, entry in self._leases.items()}
        return Snapshot(dict(self.store.items), self.store.revision, leases)

    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot; its leases start anew, and all open watches break."""
        for lease in self._leases.values():
            lease.timer.cancel()
        self.store.restore(snapshot)
        self._leases = {
            i: self._start_lease(i, ttl) for i, ttl in snapshot.leases.items()
        }
        self._break_watches(lambda watch: True)

    async def read(self, client: str, answer: cabc.Callable[[], _T]) -> _T:
        """Run a client's read.

        :param answer: reads the store, halfway through the call's duration.
        :raises KeyValueUnavailableError: if the service is down, or goes down during
            the call, or the client is cut off.
        """
        self.reads += 1
        self._refuse_if_cut(client)
        half_delay = self._half_delay(client)
        if half_delay:
            await asyncio.sleep(half_delay)
        value = answer()
        if half_delay:
            await asyncio.sleep(half_delay)
        self._refuse_if_cut(client)
        return value

    async def write(self, client: str, effect: cabc.Callable[[], _T]) -> _T:
        """Run a client's write, which takes effect even if the call is cancelled.

        :param effect: changes the store, halfway through the call's duration.
        :raises KeyValueUnavailableError: if the service is down or the client cut off.
        :raises KeyValueOutcomeUnknownError: if the reply is lost.
        """
        self._refuse_if_cut(client)
        half_delay = self._half_delay(client)
        if half_delay:
            outcome = await asyncio.shield(
                asyncio.ensure_future(self._delayed_write(client, effect, half_delay))
            )
        else:
            outcome = _attempt(effect)
        if isinstance(outcome, Exception):
            raise outcome
        if self._loses_reply(client) or self._is_cut(client):
            raise KeyValueOutcomeUnknownError("the reply was lost")
        return outcome

    def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply a transaction, without the delay of a call.

        :raises LeaseLapsedError: for a write with a lease that has expired.
        """
        for write in writes:
            if isinstance(write, Put) and write.lease:
                self._require_lease(write.lease)
        result, events = self.store.txn(compares, writes)
        self._publish(events)
        return result

    def grant_lease(self, ttl_seconds: int) -> int:
        """Grant a lease and return its id, without the delay of a call."""
        lease = next(self._lease_ids)
        self._leases[lease] = self._start_lease(lease, ttl_seconds)
        return lease

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease, without the delay of a call.

        :return: ``False`` if the lease has expired.
        """
        entry = self._leases.get(lease)
        if entry is None:
            return False
        entry.timer.cancel()
        self._leases[lease] = self._start_lease(lease, entry.ttl)
        return True

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys, unless it has expired already."""
        entry = self._leases.pop(lease, None)
        if entry is None:
            return
        entry.timer.cancel()
        keys = [key for key, item in self.store.items.items() if item.lease == lease]
        _, events = self.store.txn((), [Delete(key) for key in sorted(keys)])
        self._publish(events)

    async def watch(
        self, client: str, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield the events of all keys with a prefix.

        Yields ``None`` as a progress notification after each
        :data:`PROGRESS_INTERVAL_SECONDS` without an event.

        :param from_revision: first revision of interest; 0 for future events only.
        :raises KeyValueUnavailableError: if the service is down or goes down, or if
            the first revision was compacted.
        """
        self._refuse_if_cut(client)
        if 0 < from_revision <= self.store.compacted:
            raise KeyValueUnavailableError(f"revision {from_revision} was compacted")
        watch = _Watch(client, prefix, asyncio.Queue())
        if from_revision:
            for event in self.store.events_from(from_revision):
                _enqueue(watch, event)
        self._watches[watch] = None
        try:
            while True:
                found = await _next_event(watch)
                if found is None or found.mod_revision >= from_revision:
                    yield found
        finally:
            self._watches.pop(watch, None)

    async def _delayed_write(
        self, client: str, effect: cabc.Callable[[], _T], half_delay: float
    ) -> _T | Exception:
        await asyncio.sleep(half_delay)
        if self._is_cut(client):
            return KeyValueOutcomeUnknownError("the service went down")
        outcome = _attempt(effect)
        await asyncio.sleep(half_delay)
        return outcome

    def _half_delay(self, client: str) -> float:
        return self.delays.get(client, self.delay) / 2

    def _is_cut(self, client: str) -> bool:
        return self._down or client in self._cut

    def _refuse_if_cut(self, client: str) -> None:
        if self._is_cut(client):
            raise KeyValueUnavailableError("the key-value service is down")

    def _loses_reply(self, client: str) -> bool:
        for name in (client, None):
            if self._replies_to_lose[name]:
                self._replies_to_lose[name] -= 1
                return True
        return False

    def _start_lease(self, lease: int, ttl_seconds: int) -> _Lease:
        loop = asyncio.get_running_loop()
        return _Lease(ttl_seconds, loop.call_later(ttl_seconds, self.end_lease, lease))

    def _require_lease(self, lease: int) -> None:
        if lease not in self._leases:
            raise LeaseLapsedError(f"lease {lease} has lapsed")

    def _publish(self, events: cabc.Iterable[WatchEvent]) -> None:
        for event in events:
            for watch in self._watches:
                _enqueue(watch, event)

    def _break_watches(self, chosen: cabc.Callable[[_Watch], bool]) -> None:
        for watch in self._watches:
            if chosen(watch):
                watch.broken = True
                watch.queue.put_nowait(None)


def _attempt(effect: cabc.Callable[[], _T]) -> _T | Exception:
    try:
        return effect()
    except Exception as error:
        return error


def _enqueue(watch: _Watch, event: WatchEvent) -> None:
    if event.key.startswith(watch.prefix):
        watch.queue.put_nowait(event)


async def _next_event(watch: _Watch) -> WatchEvent | None:
    try:
        async with asyncio.timeout(PROGRESS_INTERVAL_SECONDS):
            event = await watch.queue.get()
    except TimeoutError:
        event = None
    if watch.silent:
        await asyncio.get_running_loop().create_future()
    if watch.broken:
        raise KeyValueUnavailableError("the watch broke")
    return event


class KeyValueClient:
    """Client of a :class:`KeyValueStandIn`; implements the key-value port.

    :param standin: the service.
    :param name: name of the client, by which faults are injected for it alone.
    """

    def __init__(self, standin: KeyValueStandIn, name: str) -> None:
        self.standin = standin
        self.name = name

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None`` if it does not exist."""
        return await self.standin.read(
            self.name, lambda: self.standin.store.items.get(key)
        )

    async def range(self, prefix: str) -> RangeResult:
        """Return every key with a prefix, in order."""
        store = self.standin.store
        return await self.standin.read(
            self.name,
            lambda: RangeResult(store.items_with_prefix(prefix), store.revision),
        )

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, and none otherwise."""
        self.standin.writes += 1
        return await self.standin.write(
            self.name, lambda: self.standin.txn(compares, writes)
        )

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Grant a lease and return its id."""
        self.standin.writes += 1
        return await self.standin.write(
            self.name, lambda: self.standin.grant_lease(ttl_seconds)
        )

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return ``False`` if it has expired."""
        self.standin.keep_alives += 1
        return await self.standin.write(
            self.name, lambda: self.standin.keep_alive(lease)
        )

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.standin.writes += 1
        await self.standin.write(self.name, lambda: self.standin.end_lease(lease))

    def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield the changes of keys with a prefix; ``None`` shows that it is alive."""
        return self.standin.watch(self.name, prefix, from_revision)
