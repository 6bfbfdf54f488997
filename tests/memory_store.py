"""The platform's store in memory, with faults of its writes and restores.

It works with an event loop in virtual time.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import typing as t
import urllib.parse

import msgspec

from bergamotmast.errors import ReplyLostError
from bergamotmast.platform.store import PlatformStore
from bergamotmast.platform.store import _Answer

CALL_SECONDS = 0.002
"""Time from a call to its effect, and from there to its reply."""

LATE_SECONDS = 2.5
"""Time after which a late write takes effect; longer than a call may take."""

RECOVERY_SECONDS = 2.0


@dataclasses.dataclass
class Contents:
    """Content of the store; a backup is a copy of it."""

    items: dict[str, dict[str, t.Any]] = dataclasses.field(default_factory=dict)
    log: list[dict[str, t.Any]] = dataclasses.field(default_factory=list)
    revision: int = 10
    leases: dict[int, float] = dataclasses.field(default_factory=dict)

    def copy(self) -> Contents:
        return Contents(
            dict(self.items), list(self.log), self.revision, dict(self.leases)
        )


class Store:
    """The platform's store, in memory.

    :param faults: what befalls the writes of a client: ``refused``, ``late``, ``lost``
        before they take effect, or ``unanswered`` after that.
    :param unreachable: how calls of a client fail: ``silent`` or ``refused``.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.contents = Contents()
        self.era = 0
        self.faults: dict[str, str] = {}
        self.unreachable: dict[str, str] = {}
        self.waiting: set[asyncio.Future[bool]] = set()

    def put(self, key: str, value: object) -> None:
        """Write a key, as an operator or a replica does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        put = {"key": key, "value": base64.b64encode(data).decode(), "lease": 0}
        self.write({"precondition": [], "puts": [put], "remove": []})

    def remove(self, key: str) -> None:
        self.write({"precondition": [], "puts": [], "remove": [key]})

    def restore(self, backup: Contents) -> None:
        """Restore a backup; open watches end."""
        self.contents = backup.copy()
        self.era += 1
        self._wake(False)
        for lease, seconds in self.contents.leases.items():
            self.loop.call_later(seconds, self._end_lease, self.era, lease)

    def _wake(self, changed: bool) -> None:
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(changed)
        self.waiting.clear()

    def write(self, body: dict[str, t.Any]) -> tuple[int, t.Any]:
        contents = self.contents
        for row in body["precondition"]:
            item = contents.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {}
        if any(p["lease"] and p["lease"] not in contents.leases for p in body["puts"]):
            return 404, {}
        contents.revision += 1
        for put in body["puts"]:
            contents.items[put["key"]] = put | {"revision": contents.revision}
            contents.log.append(contents.items[put["key"]])
        for key in body["remove"]:
            contents.items.pop(key, None)
            gone = {"key": key, "revision": contents.revision, "tombstone": True}
            contents.log.append(gone)
        self._wake(True)
        return 200, {"revision": contents.revision}

    def _end_lease(self, era: int, lease: int) -> None:
        if era == self.era and self.contents.leases.pop(lease, None):
            for key, item in list(self.contents.items.items()):
                if item["lease"] == lease:
                    self.remove(key)

    def _grant(self, seconds: float) -> tuple[int, t.Any]:
        lease = 1 + max(self.contents.leases, default=0)
        self.contents.leases[lease] = seconds
        self.loop.call_later(seconds, self._end_lease, self.era, lease)
        return 200, {"lease": lease}

    def handle(self, path: str, body: t.Any) -> tuple[int, t.Any]:
        """Carry out a call that doesn't wait."""
        url = urllib.parse.urlsplit(path)
        call, _, lease = url.path.strip("/").partition("/")
        if call == "kv-range":
            prefix = urllib.parse.parse_qs(url.query, keep_blank_values=True)["prefix"]
            items = [i for k, i in self.contents.items.items() if k.startswith(*prefix)]
            return 200, {"items": items, "store-revision": self.contents.revision}
        if call == "kv-lease":
            return self._grant(body["ttl-ms"] / 1e3)
        if call == "kv-keep":
            return (200 if int(lease) in self.contents.leases else 404), {}
        assert call == "kv-txn", path
        return self.write(body)

    async def watch(self, path: str) -> tuple[int, t.Any]:
        """Return the changes of all keys; wait until there are some."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        after = int(query["after"][0])
        if after > self.contents.revision:
            return 410, {}
        if after == self.contents.revision:
            waiter = self.loop.create_future()
            self.waiting.add(waiter)
            seconds = int(query["wait-ms"][0]) / 1e3
            done, _ = await asyncio.wait({waiter}, timeout=seconds)
            if done and not waiter.result():
                raise ReplyLostError("the store was restored")
        contents = self.contents
        events = [entry for entry in contents.log if entry["revision"] > after]
        return 200, {"events": events, "store-revision": contents.revision}


class StoreClient(PlatformStore):
    """The platform's adapter, with its calls carried out by a :class:`Store`.

    :param calls: calls made, without those that wait for changes.
    """

    def __init__(self, store: Store, name: str) -> None:
        super().__init__(t.cast(t.Any, None), "store", RECOVERY_SECONDS)
        self.store = store
        self.name = name
        self.calls: list[str] = []

    async def _call(
        self, method: str, path: str, body: object, seconds: float
    ) -> _Answer:
        timeout_at = self.store.loop.time() + seconds
        if not path.startswith("/kv-watch"):
            self.calls.append(f"{method} {path}")
        outage = self.store.unreachable.get(self.name, "")
        if outage == "silent":
            await asyncio.sleep(seconds)
            raise ReplyLostError("no reply")
        if outage == "refused":
            await asyncio.sleep(CALL_SECONDS)
            return _Answer(503, b"{}", self.restores.known_era)
        fault = self.store.faults.get(self.name, "") if method == "POST" else ""
        if fault in ("late", "lost"):
            if fault == "late":
                era = self.store.era
                self.store.loop.call_later(LATE_SECONDS, self._late, era, path, body)
            await asyncio.sleep(seconds)
            raise ReplyLostError("no reply")
        await asyncio.sleep(CALL_SECONDS)
        if fault == "refused":
            status, answer = 503, {}
        elif path.startswith("/kv-watch"):
            status, answer = await self.store.watch(path)
            if self.store.unreachable.get(self.name):
                await asyncio.sleep(timeout_at - self.store.loop.time())
                raise ReplyLostError("no reply")
        else:
            status, answer = self.store.handle(path, body)
        # A restore before the reply arrives is not known from it.
        era = self.store.era
        await asyncio.sleep(CALL_SECONDS)
        if fault == "unanswered":
            raise ReplyLostError("no reply")
        era = self.restores.record(era)
        return _Answer(status, msgspec.json.encode(answer), era)

    def _late(self, era: int, path: str, body: object) -> None:
        # A restart of the store ends the calls that it has received.
        if era == self.store.era:
            self.store.handle(path, body)
