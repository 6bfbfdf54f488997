"""Stand-in for the platform's metadata store, as PROTOCOL.md and the letters tell it.

It answers linearizably, keeps leases and a history, and can be away. It can also come
back from a copy that is some seconds old, as in the drill that the letters describe:
what the system wrote since is gone, leases too, revisions go back, and ``Store-Era``
rises by one. What the operator and the replicas wrote is written again.
"""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import copy
import json
import time

from http11 import Request
from http11 import Server
from http11 import reset
from http11 import response

OWN = ("op/", "servers/")
"""Prefixes of keys that the operator and the replicas write."""

COPY_SECONDS = 0.5
KEPT_COPIES = 40


class Store(Server):
    """The store.

    :param away: whether calls get no answer and their connections are reset.
    :param late: returns for a transaction after how many seconds it is carried out and
        gets no answer, or ``None`` to carry it out and answer at once.
    :param on_write: called with each key that a transaction has written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.revision = 10
        self.oldest = 10
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 100
        self.era = 0
        self.away = False
        self.late: cabc.Callable[[dict], float | None] = lambda body: None
        self.on_write: list[cabc.Callable[[str, bytes], None]] = []
        self.copies: list[tuple[float, tuple]] = []
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen, let leases end and take copies."""
        await self.listen()
        self.tasks = [
            asyncio.create_task(self._end_leases()),
            asyncio.create_task(self._take_copies()),
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.close()

    # What the operator, the replicas and the drill do.

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator or a replica."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(key, base64.b64encode(data).decode(), 0)], [])

    def remove(self, key: str) -> None:
        self._apply([], [key])

    def value(self, key: str) -> bytes | None:
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def drill(self, age: float, away_seconds: float) -> float:
        """Be away for a moment and come back from a copy that is ``age`` seconds old.

        :returns: the age of the copy, in seconds.
        """
        now = time.monotonic()
        taken_at, state = max(
            (c for c in self.copies if c[0] <= now - age), default=self.copies[0]
        )
        own = {k: i for k, i in self.items.items() if k.startswith(OWN)}
        self.away = True
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(away_seconds)
        self.items, self.revision, self.leases = copy.deepcopy(state)
        self.era += 1
        self.log, self.oldest = [], self.revision
        self.copies = []
        self._changed()
        self.away = False
        # The operator and the replicas write their keys again.
        for key in [k for k in self.items if k.startswith(OWN) and k not in own]:
            self.remove(key)
        for key, item in own.items():
            self._apply([(key, item["value"], 0)], [])
        return now - taken_at

    # Inside.

    def _changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, puts: list[tuple[str, str, int]], removed: list[str]) -> int:
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("create-revision", self.revision)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "create-revision": created,
                "lease": lease,
            }
            self.items[key] = item
            self.log.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.log.append(
                    {"key": key, "revision": self.revision, "tombstone": True}
                )
        self._changed()
        return self.revision

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (until, _) in self.leases.items() if now >= until]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def _take_copies(self) -> None:
        while True:
            state = (dict(self.items), self.revision, dict(self.leases))
            self.copies.append((time.monotonic(), copy.deepcopy(state)))
            del self.copies[:-KEPT_COPIES]
            await asyncio.sleep(COPY_SECONDS)

    async def answer(self, request: Request) -> None:
        if self.away:
            reset(request.writer)
            raise ConnectionResetError
        era = self.era
        status, body = await self._handle(request)
        if self.away or era != self.era or status == 0:
            reset(request.writer)
            raise ConnectionResetError
        await asyncio.sleep(0.004)
        data = json.dumps(body).encode()
        request.writer.write(
            response(
                status, data, Store_Era=str(self.era), Content_Type="application/json"
            )
        )

    async def _handle(self, request: Request) -> tuple[int, dict]:
        method, path, query = request.method, request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item)
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "items": page,
                "has-more": more,
                "store-revision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-lease":
            seconds = json.loads(request.body)["ttl-ms"] / 1e3
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": self.last_lease, "ttl-ms": int(seconds * 1e3)}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": lease, "ttl-ms": int(seconds * 1e3)}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self._end(lease)
            return 200, {}
        if path == "/kv-txn":
            body = json.loads(request.body)
            seconds = self.late(body)
            if seconds is not None:
                self.tasks.append(asyncio.create_task(self._txn_late(body, seconds)))
                return 0, {}
            return self._txn(body)
        return 404, {}

    async def _txn_late(self, body: dict, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._txn(body)

    def _txn(self, body: dict) -> tuple[int, dict]:
        rows = body.get("precondition", [])
        current = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in current if item]}
        puts = [
            (p["key"], p["value"], p.get("lease", 0)) for p in body.get("puts", [])
        ]
        if any(p[0].startswith(OWN) for p in puts):
            return 403, {}
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        revision = self._apply(puts, body.get("remove", []))
        for key, value, _ in puts:
            for notify in self.on_write:
                notify(key, base64.b64decode(value))
        return 200, {"revision": revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1e3
        era = self.era
        while True:
            if era != self.era or after > self.revision or after < self.oldest:
                return 410, {}
            events = [
                e
                for e in self.log
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass
