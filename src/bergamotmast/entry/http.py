"""HTTP interface of an entry for callers."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import logging
import time
import typing as t

import msgspec
from aiohttp import web

from ..callers.connection import check_room
from ..errors import RequestError
from ..errors import ResultCode
from ..logs import request_context
from ..model import ModelCall
from ..model import ServiceCall
from ..model import TokenChunk
from ..settings import DEFAULT_BODY_BYTES
from ..settings import DEFAULT_CONTEXT_TOKENS
from .caller import REQUEST_ID_HEADER
from .caller import Caller
from .caller import read_caller
from .caller import read_content_type
from .caller import request_id_of
from .core import EntryCore
from .http_errors import error_body
from .http_errors import error_response
from .openai import ChatFormat
from .openai import CompletionBody
from .openai import CompletionFormat
from .openai import ResponseFormat
from .openai import estimate_tokens
from .openai import prefix_key
from .openai import read_chat
from .openai import read_completion

logger = logging.getLogger(__name__)

SERVICES_PATH = "/services"
"""Path prefix of plain services; the rest of a path is passed on unchanged."""

DISCONNECT_CHECK_INTERVAL = 0.5
"""Seconds between checks whether a caller that waits for a response is connected."""

_REQUEST_ID = web.RequestKey("request_id", str)
_Result = t.TypeVar("_Result")
_Handler = cabc.Callable[[web.Request], cabc.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a single request.

    :param body_bytes: maximum size of the body.
    :param context_tokens: maximum tokens of the prompt and ``max_tokens`` together.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    context_tokens: int = DEFAULT_CONTEXT_TOKENS


class EntryHttp:
    """Translates HTTP requests of callers to calls of an entry.

    :param core: the entry.
    :param limits: limits of a single request.
    :param busy: connections that have a request in flight.
    """

    def __init__(self, core: EntryCore, limits: CallerLimits | None = None) -> None:
        self.core = core
        self.limits = limits or CallerLimits()
        self.busy: set[asyncio.BaseProtocol] = set()

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(
            client_max_size=self.limits.body_bytes,
            middlewares=[self._track_busy_connections, self._errors],
        )
        application.on_response_prepare.append(self._add_connection_close)
        router = application.router
        router.add_post("/v1/completions", self._completions)
        router.add_post("/v1/chat/completions", self._chat_completions)
        router.add_get("/v1/models", self._models)
        router.add_route("*", SERVICES_PATH + "/{path:.*}", self._service)
        router.add_get("/health/live", self._live)
        router.add_get("/health/ready", self._ready)
        router.add_get("/health/sides", self._sides)
        return application

    @web.middleware
    async def _track_busy_connections(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Track the connections that must not be closed as idle."""
        self.busy.add(request.protocol)
        try:
            return await handler(request)
        finally:
            self.busy.discard(request.protocol)

    async def _add_connection_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close connections after their response once the entry shuts down."""
        if self.core.closing:
            response.force_close()
            response.headers["Connection"] = "close"

    @web.middleware
    async def _errors(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Turn failures into error responses and add the request id to log lines."""
        request_id = request_id_of(request)
        request[_REQUEST_ID] = request_id
        with request_context(request_id):
            try:
                check_room(request)
                return await handler(request)
            except RequestError as error:
                return error_response(error, request_id)
            except web.HTTPException as error:
                return error_response(_as_request_error(request, error), request_id)
            except Exception:
                logger.exception("request failed")
                return error_response(RequestError(ResultCode.INTERNAL), request_id)

    async def _live(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self.core.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _sides(self, request: web.Request) -> web.Response:
        """Respond with the number of sides that this entry can offer work to."""
        peers = self.core.membership.peers.values()
        return web.Response(text=f"{sum(peer.is_ready for peer in peers)}\n")

    async def _models(self, request: web.Request) -> web.Response:
        names: set[str] = set()
        for selector in self.core.holder.current.selectors:
            names.update(m.partition("@")[0] for m in selector.models)
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return web.json_response({"object": "list", "data": data})

    # Models

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        caller = self._caller(request)
        body = read_completion(await request.read())
        return await self._generate(request, caller, body, CompletionFormat())

    async def _chat_completions(self, request: web.Request) -> web.StreamResponse:
        caller = self._caller(request)
        body = read_chat(await request.read())
        return await self._generate(request, caller, body, ChatFormat())

    def _caller(self, request: web.Request) -> Caller:
        return read_caller(request, request[_REQUEST_ID], self.core.holder.current)

    async def _generate(
        self,
        request: web.Request,
        caller: Caller,
        body: CompletionBody,
        response_format: ResponseFormat,
    ) -> web.StreamResponse:
        call = self._model_call(caller, body)
        chunks = self.core.submit_model(call)
        async with contextlib.aclosing(chunks):
            if body.stream:
                return await _respond_streamed(request, call, chunks, response_format)
            return await _respond_whole(request, call, chunks, response_format)

    def _model_call(self, caller: Caller, body: CompletionBody) -> ModelCall:
        tokens = estimate_tokens(body.prompt)
        longest = self.limits.context_tokens
        if tokens + body.max_tokens > longest:
            raise RequestError(
                ResultCode.PROMPT_TOO_LONG,
                f"{tokens} prompt tokens and max_tokens={body.max_tokens} exceed "
                f"{longest}.",
            )
        now = asyncio.get_running_loop().time()
        limits = self.core.holder.current.request_class(caller.request_class)
        return ModelCall(
            request_id=caller.request_id,
            tenant=caller.tenant,
            request_class=caller.request_class,
            priority=limits.priority,
            model=body.model,
            prompt=body.prompt,
            prompt_tokens=tokens,
            max_tokens=body.max_tokens,
            prefix_key=prefix_key(body.prompt),
            first_token_deadline=now + limits.first_token,
            deadline=now + limits.total,
            arrived_at=now,
        )

    # Plain services

    async def _service(self, request: web.Request) -> web.Response:
        caller = self._caller(request)
        call = self._service_call(request, caller, await request.read())
        answer = await self.core.submit_service(call)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={
                REQUEST_ID_HEADER: caller.request_id,
                "Content-Type": answer.content_type,
            },
        )

    def _service_call(
        self, request: web.Request, caller: Caller, body: bytes
    ) -> ServiceCall:
        path = "/" + request.match_info["path"]
        configuration = self.core.holder.current
        matches = [
            (name, route)
            for name, route in configuration.routes.items()
            if path == route.prefix or path.startswith(route.prefix.rstrip("/") + "/")
        ]
        if not matches:
            raise RequestError(
                ResultCode.UNKNOWN_ROUTE, f"No route for {request.path!r}."
            )
        name, route = max(matches, key=lambda item: len(item[1].prefix))
        request_class = route.request_class
        limits = configuration.request_class(request_class)
        now = asyncio.get_running_loop().time()
        return ServiceCall(
            request_id=caller.request_id,
            tenant=caller.tenant,
            request_class=request_class,
            priority=limits.priority,
            route=name,
            method=request.method,
            path=request.raw_path.removeprefix(SERVICES_PATH),
            body=body,
            content_type=read_content_type(request),
            repeatable=route.repeatable,
            idempotency_key=caller.idempotency_key,
            deadline=now + limits.total,
            arrived_at=now,
        )


def _as_request_error(request: web.Request, error: web.HTTPException) -> RequestError:
    """Return the request error for an error that the HTTP library raised."""
    if error.status == 413:
        return RequestError(ResultCode.BODY_TOO_LARGE)
    if error.status in (404, 405):
        text = f"No route for {request.method} {request.path!r}."
        return RequestError(ResultCode.UNKNOWN_ROUTE, text)
    return RequestError(ResultCode.MALFORMED_BODY, error.reason)


async def _respond_whole(
    request: web.Request,
    call: ModelCall,
    chunks: cabc.AsyncGenerator[TokenChunk],
    response_format: ResponseFormat,
) -> web.Response:
    text, tokens, finish = await _cancel_on_disconnect(request, _collect(chunks))
    body = response_format.full_body(call.request_id, call.model, text, finish)
    body["created"] = int(time.time())
    body["usage"] = {
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": call.prompt_tokens + tokens,
    }
    return web.Response(
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={REQUEST_ID_HEADER: call.request_id},
    )


async def _cancel_on_disconnect(
    request: web.Request, work: t.Coroutine[t.Any, t.Any, _Result]
) -> _Result:
    """Return the result of the work, and cancel it if the caller disconnects.

    :raises RequestError: ``CANCELLED_BY_CALLER`` if the caller disconnected.
    """
    task = asyncio.ensure_future(work)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=DISCONNECT_CHECK_INTERVAL)
            if request.transport is None or request.transport.is_closing():
                raise RequestError(ResultCode.CANCELLED_BY_CALLER)
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _collect(chunks: cabc.AsyncGenerator[TokenChunk]) -> tuple[str, int, str]:
    parts: list[str] = []
    tokens = 0
    finish = ""
    async for chunk in chunks:
        parts.append(chunk.text)
        tokens += chunk.tokens
        finish = chunk.finish
    return "".join(parts), tokens, finish


async def _respond_streamed(
    request: web.Request,
    call: ModelCall,
    chunks: cabc.AsyncGenerator[TokenChunk],
    response_format: ResponseFormat,
) -> web.StreamResponse:
    """Stream an answer as server-sent events.

    The headers are sent with the first chunk, so that a refusal still gets its own
    status. A later failure is reported as the last event of the stream.
    """
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            REQUEST_ID_HEADER: call.request_id,
        }
    )
    first = await _cancel_on_disconnect(request, _first_chunk(chunks))
    await response.prepare(request)
    try:
        await _write_events(response, call, first, chunks, response_format)
    except ConnectionError:
        logger.info("caller of request %s disconnected", call.request_id)
    return response


async def _first_chunk(chunks: cabc.AsyncGenerator[TokenChunk]) -> TokenChunk:
    return await anext(chunks)


async def _write_events(
    response: web.StreamResponse,
    call: ModelCall,
    first: TokenChunk,
    chunks: cabc.AsyncGenerator[TokenChunk],
    response_format: ResponseFormat,
) -> None:
    """Write all events of a stream.

    The last chunk is written together with the end of the stream: a write to a socket
    costs more than all other work for a token.
    """
    end = b""
    chunk: TokenChunk | None = first
    try:
        while chunk is not None:
            stream_event = response_format.stream_event(
                call.request_id, call.model, chunk.text, chunk.finish
            )
            event = b"data: " + msgspec.json.encode(stream_event) + b"\n\n"
            if chunk.finish:
                end += event
            else:
                await response.write(event)
            chunk = await anext(chunks, None)
        end += b"data: [DONE]\n\n"
    except RequestError as error:
        body = error_body(error, call.request_id)
        end += b"event: error\ndata: " + body + b"\n\n"
    await response.write_eof(end)
