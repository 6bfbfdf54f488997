"""Takes a request in and sees to its one answer."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging

from ..errors import RequestError
from ..errors import ResultCode
from ..logs import request_context
from ..telemetry import Telemetry
from .caller import CallerReply
from .context import Context
from .forwarding import pass_on
from .model import Call
from .model import CallKind
from .model import CallTraits
from .plain_run import PlainRun
from .ports import Headers
from .routing import RouteTable
from .routing import pick_group
from .stream_run import StreamRun

logger = logging.getLogger(__name__)


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

    async def handle(
        self,
        method: str,
        target: str,
        host: str,
        headers: cabc.Mapping[str, str],
        items: Headers,
        body: bytes,
        arrived_at: float,
        reply: CallerReply,
    ) -> None:
        """Answer one request."""
        request_id = self.context.dialect.request_id(headers)
        with request_context(request_id):
            route_name = ""
            story: dict[str, object] = {}
            code = ResultCode.OK
            status = 0
            try:
                traits = self.context.dialect.read_call(headers)
                call = self._let_in(
                    method, target, host, traits, headers, items, body, arrived_at
                )
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
                self._log_end(route_name, code, status, arrived_at, story)

    def _let_in(
        self,
        method: str,
        target: str,
        host: str,
        traits: CallTraits,
        headers: cabc.Mapping[str, str],
        items: Headers,
        body: bytes,
        arrived_at: float,
    ) -> Call:
        table = self._table()
        route = table.find(host, target)
        if route is None:
            raise RequestError(ResultCode.UNKNOWN_ROUTE)
        if not traits.request_id:
            raise RequestError(ResultCode.BAD_HEADER, "A request needs an id.")
        seconds = route.timeout
        if traits.time_left is not None:
            seconds = min(seconds, traits.time_left)
        group = self.context.fleet.group(pick_group(route, self.context.rng))
        return Call(
            traits=traits,
            route=route,
            group=group,
            method=method,
            target=target,
            headers=pass_on(items, headers.get("Connection", "")),
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + seconds,
        )

    def _table(self) -> RouteTable:
        """Return the routes in force.

        Before the first configuration nothing is known to be wrong with a request:
        a caller that is told 404 would not come back.
        """
        table = self.context.fleet.table
        if table is None or not self.context.fleet.settled:
            raise RequestError(
                ResultCode.NO_UPSTREAM, "No configuration is known yet.", 0.5
            )
        return table

    async def _run(
        self, call: Call, reply: CallerReply, story: dict[str, object]
    ) -> int:
        now = asyncio.get_running_loop().time()
        self.context.budget(call.group.name).on_request(now)
        if call.route.kind is CallKind.STREAM:
            outputs = call.traits.expected_tokens or call.traits.max_tokens
            self.context.mix.observe(call.traits.prompt_tokens, outputs, now)
            stream = StreamRun(self.context, call, reply)
            try:
                return await stream.run()
            finally:
                story.update(stream.timeline.fields(call.arrived_at))
        return await PlainRun(self.context, call, reply).run()

    async def _refuse(
        self, error: RequestError, request_id: str, reply: CallerReply
    ) -> int:
        if reply.started:
            reply.abort()
            return 0
        headers = list(self.context.dialect.refusal_headers(request_id))
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
