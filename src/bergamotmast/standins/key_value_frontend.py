"""HTTP frontend of the key-value stand-in, modelled on etcd's v3 JSON gateway."""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import contextlib
import functools
import typing as t

import msgspec
from aiohttp import web

from ..adapters.key_value_http import CLIENT_HEADER
from ..adapters.key_value_json import EVERY_KEY
from ..adapters.key_value_json import JsonObject
from ..adapters.key_value_json import decode_text
from ..adapters.key_value_json import encode_text
from ..errors import KeyValueUnavailableError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import WatchEvent
from . import http_common
from .key_value import KeyValueClient
from .key_value import KeyValueStandIn
from .key_value_store import Snapshot


class KeyValueFrontend:
    """Serves a key-value stand-in over HTTP.

    :param saved: snapshot taken by the control path ``save``, for ``restore``.
    """

    def __init__(self, standin: KeyValueStandIn) -> None:
        self.standin = standin
        self.saved: Snapshot | None = None

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = http_common.application()
        router = app.router
        router.add_post("/v3/kv/range", self._range)
        router.add_post("/v3/kv/txn", self._txn)
        router.add_post("/v3/lease/grant", self._grant)
        router.add_post("/v3/lease/keepalive", self._keep_alive)
        router.add_post("/v3/kv/lease/revoke", self._revoke)
        router.add_post("/v3/lease/revoke", self._revoke)
        router.add_post("/v3/watch", self._watch)
        self._add_control(app)
        return app

    def _add_control(self, app: web.Application) -> None:
        standin = self.standin
        knobs: dict[str, http_common.Knob] = {
            "down": http_common.attribute_setter(standin, "down"),
            "delay": http_common.attribute_setter(standin, "delay"),
            "cut": standin.cut,
            "heal": standin.heal,
            "lose_next_reply": standin.lose_next_reply,
            "silence_watches": standin.silence_watches,
            "compact": standin.compact,
            "save": self._save,
            "restore": self._restore,
        }
        http_common.add_control(app, knobs, self._counters)

    def _counters(self) -> dict[str, object]:
        standin = self.standin
        return {
            "reads": standin.reads,
            "writes": standin.writes,
            "keep_alives": standin.keep_alives,
            "waiting_watches": standin.waiting_watches,
            "revision": standin.store.revision,
        }

    def _save(self) -> None:
        self.saved = self.standin.snapshot()

    def _restore(self) -> None:
        if self.saved is None:
            raise ValueError("nothing was saved")
        self.standin.restore(self.saved)

    async def _range(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        client = self._client(request)
        if "range_end" in body:
            found = await client.range(_prefix(body))
            items, revision = found.items, found.revision
        else:
            item = await client.get(decode_text(body["key"]))
            items = (item,) if item else ()
            revision = self.standin.store.revision
        kvs = [_item(item) for item in items]
        return _response(revision, kvs=kvs, count=str(len(kvs)))

    async def _txn(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        compares = [_compare(compare) for compare in body.get("compare", [])]
        writes = [_write(write) for write in body.get("success", [])]
        result = await self._client(request).txn(compares, writes)
        return _response(result.revision, succeeded=result.succeeded)

    async def _grant(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        lease = await self._client(request).grant_lease(int(body["TTL"]))
        return _response(0, ID=str(lease), TTL=body["TTL"])

    async def _keep_alive(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        alive = await self._client(request).keep_alive(int(body["ID"]))
        result = {"ID": body["ID"]} | ({"TTL": "1"} if alive else {})
        return http_common.json_response({"result": result})

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        await self._client(request).revoke_lease(int(body["ID"]))
        return _response(0)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        create = (await _json_body(request))["create_request"]
        start = int(create.get("start_revision", 0))
        events = self._client(request).watch(_prefix(create), start)
        async with contextlib.aclosing(events):
            # The watch must be open before the response confirms it: otherwise the
            # client would miss the events of writes that it makes right after.
            first = asyncio.ensure_future(anext(events))
            try:
                await asyncio.sleep(0)
                if first.done():
                    first.result()
                return await self._stream(request, first, events)
            finally:
                first.cancel()
                await asyncio.wait([first])

    async def _stream(
        self,
        request: web.Request,
        first: asyncio.Future[WatchEvent | None],
        events: cabc.AsyncIterator[WatchEvent | None],
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(_line({"created": True}))
        try:
            await response.write(_line(_event_result(await first)))
            async for event in events:
                await response.write(_line(_event_result(event)))
        except KeyValueUnavailableError:
            await response.write(_line({"canceled": True}))
        return response

    def _client(self, request: web.Request) -> KeyValueClient:
        return self.standin.client(request.headers.get(CLIENT_HEADER, ""))


_json_body = functools.partial(http_common.read_json, kind=JsonObject)


def _prefix(body: JsonObject) -> str:
    return "" if body["key"] == EVERY_KEY else decode_text(body["key"])


def _compare(body: JsonObject) -> Compare:
    return Compare(decode_text(body["key"]), int(body["mod_revision"]))


def _write(body: JsonObject) -> Put | Delete:
    if "request_delete_range" in body:
        return Delete(decode_text(body["request_delete_range"]["key"]))
    put = body["request_put"]
    value = base64.b64decode(put.get("value", ""))
    return Put(decode_text(put["key"]), value, int(put.get("lease", 0)))


def _item(item: KeyValue) -> JsonObject:
    return {
        "key": encode_text(item.key),
        "value": base64.b64encode(item.value).decode(),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease),
    }


def _event_result(event: WatchEvent | None) -> JsonObject:
    if event is None:
        return {}
    item = KeyValue(event.key, event.value or b"", event.mod_revision)
    kind = "DELETE" if event.value is None else "PUT"
    return {"events": [{"type": kind, "kv": _item(item)}]}


def _line(result: JsonObject) -> bytes:
    return msgspec.json.encode({"result": result}) + b"\n"


def _response(revision: int, **fields: t.Any) -> web.Response:
    header = {"revision": str(revision)}
    return http_common.json_response({"header": header, **fields})
