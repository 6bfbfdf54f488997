"""Takes a request in and sees to its one answer."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging

from ..errors import RequestError
from ..errors import ResultCode
from ..logs import request_context
from ..policy.size_classes import SizeClass
from ..telemetry import Telemetry
from .caller import CallerReply
from .caller import CallerRequest
from .context import Context
from .forwarding import is_writable
from .forwarding import pass_on
from .model import Call
from .model import CallKind
from .placing import shared_parts
from .plain_run import PlainRun
from .routing import RouteTable
from .routing import pick_group
from .stream_run import StreamRun

logger = logging.getLogger(__name__)

FIRST_READ_SECONDS = 0.4
"""How long a request waits for an entry's first reading of the store, which takes some
40 ms; with a store that is away its caller had better ask another entry."""

LONGEST_BODY_SECONDS = 60.0
"""How long the body of a caller that names no deadline may take to come."""


class DirectCore:
    """An entry that reaches upstreams directly.

    :param stopping: whether it is about to end; it serves on until it has.
    """

    def __init__(self, context: Context, telemetry: Telemetry) -> None:
        self.context = context
        self.telemetry = telemetry
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be sent here."""
        return self.context.fleet.ready and not self.stopping

    @property
    def body_limit(self) -> int:
        """Largest body taken, in bytes."""
        table = self.context.fleet.table
        return table.routing.limits.body_bytes if table else 1 << 20

    async def handle(self, request: CallerRequest, reply: CallerReply) -> None:
        """Answer one request."""
        request_id = self.context.dialect.request_id(request.headers)
        with request_context(request_id):
            route_name = ""
            story: dict[str, object] = {}
            code = ResultCode.OK
            status = 0
            try:
                call = await self._let_in(request)
                route_name = call.route.name
                status = await self._run(call, reply, story)
            except RequestError as error:
                code = error.code
                status = await self._refuse(error, request_id, reply)
            except asyncio.CancelledError:
                code = ResultCode.CANCELLED_BY_CALLER
                raise
            except Exception:
                code = ResultCode.INTERNAL
                logger.exception("request failed")
                status = await self._refuse(RequestError(code), request_id, reply)
            finally:
                self._log_end(route_name, code, status, request.arrived_at, story)

    async def _let_in(self, request: CallerRequest) -> Call:
        traits = self.context.dialect.read_call(request.headers)
        body = await self._body(request, traits.time_left)
        table = await self._table()
        route = table.find(request.host, request.target)
        if route is None:
            raise RequestError(ResultCode.UNKNOWN_ROUTE)
        if not traits.request_id:
            raise RequestError(ResultCode.BAD_HEADER, "A request needs an id.")
        _check_writable(request)
        seconds = route.timeout
        if traits.time_left is not None:
            seconds = min(seconds, traits.time_left)
        deadline = request.arrived_at + seconds
        self.context.time_limits.check_admission(
            deadline, asyncio.get_running_loop().time()
        )
        group = self.context.fleet.group(pick_group(route, self.context.rng))
        connection = request.headers.get("Connection", "")
        return Call(
            traits=traits,
            route=route,
            group=group,
            method=request.method,
            target=request.target,
            headers=pass_on(request.items, connection),
            body=body,
            arrived_at=request.arrived_at,
            deadline=deadline,
            parts=shared_parts(traits),
        )

    async def _body(self, request: CallerRequest, time_left: float | None) -> bytes:
        """Return a request's body.

        :raises RequestError: if it is too large, or does not come in time. Its caller
            would otherwise wait for the answer to what it takes for sent.
        """
        seconds = LONGEST_BODY_SECONDS if time_left is None else time_left
        try:
            async with self.context.time_limits.limit(request.arrived_at + seconds):
                body = await request.body.read(self.body_limit)
        except TimeoutError:
            if self.context.time_limits.is_over(asyncio.get_running_loop().time()):
                raise self.context.time_limits.refusal() from None
            raise RequestError(
                ResultCode.DEADLINE_UNREACHABLE, "The body did not come in time."
            ) from None
        if body is None:
            raise RequestError(ResultCode.BODY_TOO_LARGE)
        return body

    async def _table(self) -> RouteTable:
        """Return the routes in force.

        An entry takes callers as soon as it listens, a moment before it has read the
        configuration: they wait that moment, since a refusal would cost each of them
        the way back and half a second. Where the store does not answer, nothing is
        known to be wrong with a request: a caller that is told 404 would not come back.
        """
        fleet = self.context.fleet
        if not fleet.ready:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_READ_SECONDS):
                    await fleet.first_ready.wait()
        table = fleet.table
        if table is None or not fleet.settled:
            raise RequestError(
                ResultCode.NO_UPSTREAM, "No configuration is known yet.", 0.5
            )
        return table

    async def _run(
        self, call: Call, reply: CallerReply, story: dict[str, object]
    ) -> int:
        self.context.second_sends.on_request(call.group.name)
        if call.route.kind is CallKind.STREAM:
            now = asyncio.get_running_loop().time()
            outputs = call.traits.expected_tokens or call.traits.max_tokens
            self.context.mix.observe(call.traits.prompt_tokens, outputs, now)
            sized = self.context.size_shares.begin(
                call.route.name, call.traits.prompt_tokens
            )
            call = dataclasses.replace(call, sized=sized)
            story["prompt"] = call.traits.prompt_tokens
            story["size"] = sized.size_class
            run = StreamRun(self.context, call, reply)
            served = False
            try:
                status = await run.run()
                served = 200 <= status < 300
                return status
            finally:
                sized.end(served=served)
                story["goes_first"] = sized.goes_first
                story.update(run.stream.timeline.fields(call.arrived_at))
        return await PlainRun(self.context, call, reply).run()

    async def _refuse(
        self, error: RequestError, request_id: str, reply: CallerReply
    ) -> int:
        if reply.started:
            reply.abort()
            return 0
        named = self.context.dialect.refusal_headers(request_id)
        headers = [item for item in named if is_writable(item[1])]
        if error.retry_after is not None:
            headers.append(("Retry-After", f"{error.retry_after:.2f}"))
        body = f"{int(error.code)} {error.message}\n".encode()
        headers.append(("Content-Type", "text/plain"))
        await reply.answer(error.info.status, tuple(headers), body)
        return error.info.status

    def _log_end(
        self,
        route: str,
        code: ResultCode,
        status: int,
        arrived_at: float,
        story: dict[str, object],
    ) -> None:
        seconds = asyncio.get_running_loop().time() - arrived_at
        self.telemetry.on_ended("", route, code, seconds)
        if (size_class := story.get("size")) is not None:
            self.telemetry.on_sized_end(route, SizeClass(str(size_class)), code)
        logger.info(
            "request ended",
            extra={
                "route": route,
                "generation": self.context.fleet.generation,
                "code": int(code),
                "status": status,
                "ms": round(seconds * 1e3, 1),
                **story,
            },
        )


def _check_writable(request: CallerRequest) -> None:
    """Refuse what the HTTP library would not write as it was read.

    It leaves out bytes that are no UTF-8, and a path's part after ``#``, which HTTP
    allows in no request. The upstream would get another request than the caller sent.
    A control character it does not write at all.

    :raises RequestError: for such a request.
    """
    if "#" in request.target:
        raise RequestError(ResultCode.BAD_HEADER, "The path must not contain '#'.")
    for name, value in request.items:
        if not is_writable(value):
            raise RequestError(ResultCode.BAD_HEADER, f"{name} is no text in UTF-8.")
