"""Measures what streams of several builds cost entries and the store.

    PYTHONPATH=src python bench/stream_build_costs.py

Plays entries with the real log and exchange of streams' builds in one process, beside
an in-memory store, in real time: a small site with 31 entries and 100 streams a second,
and a tenth of 330 entries with 3,800. Datagrams to entries that are not played go to
others in their place, and each write counts and arrives ten times, so that each entry
has its share of the whole. For each site, with one build and with two, it prints
processor time for a stream at all entries together, calls and bytes written to the
store a second by all entries, and bytes that each entry receives a second by its watch
and by datagrams. Streams take 1.5 s. The processor time includes the play itself, which
the rows of one build show.
"""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import functools
import itertools
import json
import time

import msgspec

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.build_history import encode
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.peer_messages import Address
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.stream_build_exchange import StreamBuildExchange
from bergamotmast.direct.stream_build_log import STREAMS_PREFIX
from bergamotmast.direct.stream_build_log import StreamBuildLog
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.ports import Compare
from bergamotmast.ports import Delete
from bergamotmast.ports import KeyValue
from bergamotmast.ports import Put
from bergamotmast.ports import RangeResult
from bergamotmast.ports import TxnResult
from bergamotmast.ports import WatchEvent

STREAM_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 15.0
STEP_SECONDS = 0.02
UDP_HEADER_BYTES = 28


class Store:
    """Implements the calls of a key-value service that entries use for streams.

    :param repeats: how many entries each entry that is played stands for.
    :param watchers: receive each value that is written.
    """

    def __init__(self, repeats: int) -> None:
        self.repeats = repeats
        self.watchers: list[StreamBuildLog] = []
        self.revision = 0
        self.calls = 0
        self.bytes_written = 0
        self.bytes_watched = 0
        self.leases = itertools.count(1)

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes and pass them to all entries."""
        self.calls += 1
        self.revision += 1
        for write in writes:
            value = write.value if isinstance(write, Put) else None
            text = "" if value is None else base64.b64encode(value).decode()
            item = {"key": write.key, "value": text, "lease": self.revision}
            self.bytes_written += len(msgspec.json.encode(item))
            event = item | {"revision": self.revision}
            self.bytes_watched += len(msgspec.json.encode(event))
            for watcher, number in itertools.product(
                self.watchers, range(self.repeats)
            ):
                # The first one is the key of the entry that is played.
                key = f"{write.key}-{number}" if number else write.key
                if value is None:
                    watcher.remove(key)
                else:
                    watcher.put(KeyValue(key, value, self.revision))
        return TxnResult(True, self.revision)

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Return a new lease."""
        self.calls += 1
        return next(self.leases)

    async def keep_alive(self, lease: int) -> bool:
        """Return that the lease has not lapsed."""
        self.calls += 1
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        self.calls += 1

    async def get(self, key: str) -> KeyValue | None:
        """Not used by the log."""
        raise NotImplementedError

    async def range(self, prefix: str) -> RangeResult:
        """Not used by the log."""
        raise NotImplementedError

    def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Not used by the log."""
        raise NotImplementedError


class Site:
    """Entries that exchange datagrams within one process.

    :param addresses: addresses of all entries, also of those that are not played.
    """

    def __init__(
        self, entries: int, repeats: int, builds: int, writes_per_second: float
    ) -> None:
        self.store = Store(repeats)
        self.datagram_bytes = 0
        self.addresses = {f"entry-{n}": ("127.0.0.1", 1 + n) for n in range(entries)}
        self.inboxes: dict[Address, PeerInbox] = {}
        self.streams: list[StreamBuilds] = []
        self.tasks: list[asyncio.Task[None]] = []
        names = [f"v{1 + n}" for n in range(builds)]
        played = list(self.addresses.items())[: entries // repeats]
        for name, address in played:
            streams = StreamBuilds(fleet_of(names))
            exchange = StreamBuildExchange(
                name,
                streams,
                lambda: self.addresses,
                functools.partial(self.send, sender=address),
            )
            self.inboxes[address] = inbox = PeerInbox()
            exchange.listen(inbox)
            streams.peers = exchange
            key = f"{STREAMS_PREFIX}{name}/00000000"
            log = StreamBuildLog(
                self.store, streams, key, writes_per_second, lambda: self.addresses
            )
            streams.stored = log
            self.store.watchers.append(log)
            self.streams.append(streams)
            self.tasks += [
                asyncio.ensure_future(exchange.run()),
                asyncio.ensure_future(log.run()),
            ]

    def send(self, data: bytes, address: Address, sender: Address) -> None:
        """Deliver a datagram to an entry of the site."""
        self.datagram_bytes += len(data) + UDP_HEADER_BYTES
        host, port = address
        inbox = self.inboxes[host, 1 + (port - 1) % len(self.inboxes)]
        asyncio.get_running_loop().call_soon(inbox.receive, data, sender)

    async def play(self, seconds: float, rate: float, builds: int) -> int:
        """Begin streams at a rate and end them; return how many have begun."""
        loop = asyncio.get_running_loop()
        began, begun = loop.time(), 0
        while (now := loop.time()) < began + seconds:
            while begun < (now - began) * rate:
                streams = self.streams[begun % len(self.streams)]
                request_id = f"{began:.3f}-{begun:08}"
                # Entries and builds are numbered independently of each other.
                build = f"v{1 + begun // len(self.streams) % builds}"
                streams.on_begun(request_id, "llm", build)
                end = functools.partial(streams.on_ended, request_id, complete=True)
                loop.call_later(STREAM_SECONDS, end)
                begun += 1
            await asyncio.sleep(STEP_SECONDS)
        return begun


def fleet_of(builds: cabc.Sequence[str]) -> Fleet:
    """Return an entry's view of an engine of each build."""
    fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
    for number, build in enumerate(builds):
        registration = {
            "service": "llm",
            "address": "127.0.0.1:1",
            "zone": "z",
            "version": build,
            "slots": 64,
            "state": "ready",
            "stage": "decode",
            "born": 1,
        }
        value = json.dumps(registration).encode()
        fleet.put(KeyValue(f"servers/i-{number}", value, 2))
    fleet.put(KeyValue(BUILDS_KEY, encode({"llm": frozenset(builds)}), 3))
    fleet.in_sync = True
    return fleet


async def measure(
    entries: int, repeats: int, rate: float, builds: int, writes_per_second: float
) -> None:
    """Play a site and print what it cost."""
    site = Site(entries, repeats, builds, writes_per_second)
    rate /= repeats
    await site.play(WARM_UP_SECONDS, rate, builds)
    store = site.store
    store.calls = store.bytes_written = store.bytes_watched = site.datagram_bytes = 0
    used, began = time.process_time(), time.monotonic()
    begun = await site.play(MEASURED_SECONDS, rate, builds)
    used, seconds = time.process_time() - used, time.monotonic() - began
    for task in site.tasks:
        task.cancel()
    await asyncio.gather(*site.tasks, return_exceptions=True)
    print(
        f"{entries:7} {builds:6} {writes_per_second:8.0f}"
        f" {begun * repeats / seconds:9.0f} {used / begun * 1e6:10.1f}"
        f" {store.calls * repeats / seconds:7.1f}"
        f" {store.bytes_written * repeats / seconds:9.0f}"
        f" {store.bytes_watched * repeats / seconds:9.0f}"
        f" {site.datagram_bytes * repeats / seconds / entries:8.0f}",
        flush=True,
    )


async def main() -> None:
    """Measure a small and a large site."""
    print(
        "entries builds writes/s streams/s  us/stream calls/s"
        " B/s write watch B/s  UDP B/s"
    )
    await measure(31, 1, 100, 1, 400)
    await measure(31, 1, 100, 2, 400)
    await measure(330, 10, 3_800, 1, 400)
    await measure(330, 10, 3_800, 2, 400)
    await measure(330, 10, 3_800, 2, 3_200)


if __name__ == "__main__":
    asyncio.run(main())
