"""HTTP frontend of the engine stand-in: streaming completions and administration."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from aiohttp import web

from ..adapters.engine_http import DONE
from ..adapters.engine_http import Choice
from ..adapters.engine_http import CompletionEvent
from ..adapters.engine_http import EngineLoadBody
from ..errors import ReplyLostError
from ..model import GenerateRequest
from ..model import Order
from ..model import TokenChunk
from . import http_common
from .engine import EngineStandIn

_ENCODER = msgspec.json.Encoder()


class EngineFrontend:
    """Serves an engine stand-in over HTTP."""

    def __init__(self, standin: EngineStandIn) -> None:
        self.standin = standin

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = http_common.application()
        router = app.router
        router.add_post("/v1/completions", self._completions)
        router.add_delete("/v1/streams/{stream}", self._cancel)
        router.add_get("/admin/state", self._state)
        router.add_get("/admin/load", self._load)
        router.add_post("/admin/order", self._order)
        router.add_get("/admin/cache_events", self._cache_events)
        self._add_control(app)
        return app

    def _add_control(self, app: web.Application) -> None:
        standin = self.standin
        knobs: dict[str, http_common.Knob] = {
            "crash": standin.crash,
            "restart": standin.restart,
            "break_connections": standin.break_connections,
            "speed": standin.set_speed,
            "reachable": http_common.attribute_setter(standin, "reachable"),
            "lost_order_replies": http_common.attribute_setter(
                standin, "lost_order_replies"
            ),
        }
        http_common.add_control(app, knobs, self._counters)

    def _counters(self) -> dict[str, object]:
        batch = self.standin.batch
        return {
            "boot_id": self.standin.boot_id,
            "up": self.standin.up,
            "running": self.standin.running,
            "prefilled": batch.prefilled,
            "decoded": batch.decoded,
        }

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        wanted = await http_common.read_json(request, GenerateRequest)
        chunks = self.standin.generate(wanted)
        async with contextlib.aclosing(chunks):
            # A refusal is raised before the first chunk, when the HTTP status has not
            # been sent yet.
            chunk = await anext(chunks)
            response = web.StreamResponse()
            response.content_type = "text/event-stream"
            await response.prepare(request)
            await response.write(_event(chunk))
            try:
                async for chunk in chunks:
                    await response.write(_event(chunk))
            except ReplyLostError:
                http_common.abort_connection(request)
                return response
        await response.write(b"data: " + DONE + b"\n\n")
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        await self.standin.cancel(request.match_info["stream"])
        return web.Response(status=204)

    async def _state(self, request: web.Request) -> web.Response:
        return http_common.json_response(await self.standin.state())

    async def _load(self, request: web.Request) -> web.Response:
        load = await self.standin.load()
        age = asyncio.get_running_loop().time() - load.measured_at
        body = EngineLoadBody(age, load.running, load.waiting, load.kv_used)
        return http_common.json_response(body)

    async def _order(self, request: web.Request) -> web.Response:
        await self.standin.order(await http_common.read_json(request, Order))
        return web.Response(status=202)

    async def _cache_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return http_common.json_response(await self.standin.cache_events(after))


def _event(chunk: TokenChunk) -> bytes:
    event = CompletionEvent(
        (Choice(chunk.text, chunk.finish or None),),
        chunk.index,
        chunk.tokens,
        chunk.cached_tokens,
        chunk.kv_handle,
    )
    return b"data: " + _ENCODER.encode(event) + b"\n\n"
