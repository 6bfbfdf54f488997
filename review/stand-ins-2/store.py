"""The platform's metadata store, as its page tells it, in memory."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
import urllib.parse

import http1


@dataclasses.dataclass
class Copy:
    """What a copy of the store holds."""

    items: dict[str, dict]
    log: list[dict]
    revision: int


class Store(http1.Server):
    """Linearizable; loses nothing but by :meth:`restore`.

    :param away: whether no call is answered, and channels are closed.
    :param waiting: channels of watches that wait.
    """

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.revision = 100
        self.era = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.away = False
        self.waiting: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str]] = []

    # What the operator and the replicas do.

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key, as JSON unless it is bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._put(key, base64.b64encode(data).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)

    def value(self, key: str) -> object:
        """Return the value of a key as JSON; ``None`` if there is none."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    # Disruptions that the pages name.

    def cut_watches(self) -> int:
        """Close the channels of all watches that wait."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    def copy(self) -> Copy:
        return Copy(dict(self.items), list(self.log), self.revision)

    def leave(self) -> None:
        """Be away: close all channels, answer nothing."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self, copy: Copy) -> None:
        """Come back from a copy; leases are gone, and the keys that they held."""
        written = {
            key: item
            for key, item in self.items.items()
            if key.startswith(("op/", "servers/"))
        }
        self.items, self.log = dict(copy.items), list(copy.log)
        self.revision = copy.revision
        self.leases.clear()
        self.era += 1
        for key, item in list(self.items.items()):
            if item["lease"]:
                self.remove(key)
        for key in [k for k in self.items if k.startswith("servers/")]:
            if key not in written:
                self.remove(key)
        for key, item in written.items():
            self.put(key, base64.b64decode(item["value"]))
        self.away = False

    # The store itself.

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "create-revision": known["create-revision"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def run(self) -> None:
        """End leases that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.away:
                for lease, (ends_at, _) in list(self.leases.items()):
                    if now >= ends_at:
                        self._end_lease(lease)

    async def answer(self, message, writer) -> bytes | None:
        method, target, _ = message.words
        self.calls.append((time.monotonic(), f"{method} {target}"))
        if self.away:
            return None
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        body = json.loads(message.body) if message.body else {}
        name = path.strip("/").replace("-", "_")
        first, _, rest = name.partition("/")
        handler = getattr(self, f"_{first}")
        if first == "kv_watch":
            status, found = await self._kv_watch(arguments, writer)
            if self.away:
                return None
        elif rest:
            status, found = handler(int(rest))
        else:
            status, found = handler(body if method == "POST" else arguments)
        return http1.response(
            status,
            json.dumps(found).encode() if found is not None else b"",
            "Content-Type: application/json",
            f"Store-Era: {self.era}",
        )

    def _kv_key(self, arguments: dict) -> tuple[int, dict | None]:
        item = self.items.get(arguments["key"])
        if item is None:
            return 404, None
        return 200, item | {"store-revision": self.revision}

    def _kv_range(self, arguments: dict) -> tuple[int, dict]:
        prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:500]]
        more = len(keys) > 500
        return 200, {
            "items": items,
            "has-more": more,
            "store-revision": self.revision,
        }

    async def _kv_watch(self, arguments, writer) -> tuple[int, dict | None]:
        after, prefix = int(arguments["after"]), arguments.get("prefix", "")
        era, until = self.era, time.monotonic() + int(arguments["wait-ms"]) / 1e3
        if after > self.revision:
            return 410, None
        self.waiting.add(writer)
        try:
            while True:
                if self.era != era:
                    return 410, None
                events = [
                    each
                    for each in self.log
                    if each["revision"] > after and each["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        finally:
            self.waiting.discard(writer)

    def _kv_txn(self, body: dict) -> tuple[int, dict | None]:
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": found}
        puts = body.get("puts", [])
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, None
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put["lease"])
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _kv_lease(self, body: dict) -> tuple[int, dict]:
        self.next_lease += 1
        seconds = body["ttl-ms"] / 1e3
        self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
        return 200, {"lease": self.next_lease, "ttl-ms": body["ttl-ms"]}

    def _kv_keep(self, lease: int) -> tuple[int, dict | None]:
        if lease not in self.leases:
            return 404, None
        _, seconds = self.leases[lease]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl-ms": int(seconds * 1e3)}

    def _kv_lease_end(self, lease: int) -> tuple[int, dict]:
        self._end_lease(lease)
        return 200, {}
