"""Request handling of a direct entry: admission, dispatch, refusal and logging."""

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
from .fingerprint import fingerprint_of
from .forwarding import end_to_end_headers
from .forwarding import is_writable
from .model import Call
from .model import CallKind
from .model import CallTraits
from .model import Route
from .model import Routing
from .only_build import KnownBy
from .placer import shared_parts
from .plain_run import PlainRun
from .routing import RouteTable
from .routing import pick_group
from .stream_run import StreamRun
from .tenants import Tenant

logger = logging.getLogger(__name__)

INITIAL_LOAD_TIMEOUT_SECONDS = 0.4
"""How long a request waits for the entry's initial load from the store, which takes
about 40 ms. If the store is unavailable, the caller should retry at another entry."""

STALE_CONFIG_RETRY_SECONDS = 0.5
"""Delay after which a caller whose key may be new should try another entry."""

UNKNOWN_BUILD_RETRY_SECONDS = 0.2
"""Delay after which a caller should resume its stream at another entry, which may know
the build that it began at."""

MAX_LOGGED_ID = 64
"""Maximum length of an id from a caller's headers in the log."""

DEFAULT_BODY_TIMEOUT_SECONDS = 60.0
"""Time limit for reading the body of a request without a deadline header."""


class DirectCore:
    """Handles the requests of a direct entry.

    :param stopping: whether the process is shutting down; requests are still served.
    """

    def __init__(self, context: Context, telemetry: Telemetry) -> None:
        self.context = context
        self.telemetry = telemetry
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to this entry."""
        return self.context.fleet.ready and not self.stopping

    @property
    def body_limit(self) -> int:
        """Maximum size of a request body in bytes."""
        table = self.context.fleet.table
        return table.routing.limits.body_bytes if table else 1 << 20

    async def handle(self, request: CallerRequest, reply: CallerReply) -> None:
        """Send the response to one request and log its end."""
        request_id = self.context.dialect.request_id(request.headers)
        with request_context(request_id):
            route_name = ""
            log_fields: dict[str, object] = {}
            code = ResultCode.OK
            status = 0
            try:
                call = await self._admit(request)
                route_name = call.route.name
                if call.tenant is not None:
                    log_fields["tenant"] = call.tenant.name
                status = await self._run(call, reply, log_fields)
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
                self._log_end(route_name, code, status, request.arrived_at, log_fields)

    async def _admit(self, request: CallerRequest) -> Call:
        traits = self.context.dialect.read_call(request.headers)
        if request.body.may_be_large:
            # No memory is held for a body whose head is refused.
            await self._admit_head(request, traits)
        body = await self._read_body(request, traits.time_left)
        route, tenant = await self._admit_head(request, traits)
        seconds = route.timeout
        if traits.time_left is not None:
            seconds = min(seconds, traits.time_left)
        deadline = request.arrived_at + seconds
        self.context.time_limits.check_admission(
            deadline, asyncio.get_running_loop().time()
        )
        group = pick_group(route, self.context.rng)
        began_as = self._began_as(request, traits)
        build, known_by = None, None
        if traits.last_event and route.kind is CallKind.STREAM:
            found = await self._find_build(route, group, began_as, traits)
            group, build, known_by = found
        connection = request.headers.get("Connection", "")
        return Call(
            traits=traits,
            route=route,
            group=self.context.fleet.group(group),
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(request.items, connection),
            body=body,
            arrived_at=request.arrived_at,
            deadline=deadline,
            caller=request.caller,
            began_as=began_as,
            build=build,
            has_begun=self._has_begun(began_as, group, known_by),
            parts=shared_parts(traits),
            tenant=tenant,
        )

    async def _admit_head(
        self, request: CallerRequest, traits: CallTraits
    ) -> tuple[Route, Tenant | None]:
        """Return a request's route, and its tenant if it needs an API key.

        :raises RequestError: if the head shows that the request can't be run.
        """
        table = await self._route_table()
        route = table.find(request.host, request.target)
        if route is None:
            raise RequestError(ResultCode.UNKNOWN_ROUTE)
        if not traits.request_id:
            raise RequestError(ResultCode.BAD_HEADER, "A request needs an id.")
        _check_writable(request)
        return route, self._tenant(request, table.routing, route)

    def _began_as(self, request: CallerRequest, traits: CallTraits) -> str:
        """Return the id under which a stream began."""
        resumed = self.context.dialect.resumed_id(request.items)
        return resumed if traits.last_event and resumed else traits.request_id

    async def _find_build(
        self, route: Route, group: str, began_as: str, traits: CallTraits
    ) -> tuple[str, str, KnownBy]:
        """Return where a resumed stream can go on.

        :param group: the group to take if it is not known.
        :returns: the group, the build, and how that is known.
        :raises RequestError: if it is not known and there are several builds.
        """
        groups = (group, *(target.group for target in route.targets))
        found = await self.context.stream_builds.find(began_as, groups)
        record, fleet = found.record, self.context.fleet
        self.telemetry.on_resumed(group, found.known_by.value)
        answers = found.answers
        logger.info(
            "stream is resumed",
            extra={
                "began_as": began_as[:MAX_LOGGED_ID],
                "last_event": traits.last_event,
                "build": None if record is None else record.build,
                "known_by": found.known_by.value,
                "in_sync": fleet.in_sync,
                "store_heard_ms": fleet.build_history.heard_ms,
                "entries": answers and answers.entries,
                "asked": answers and answers.asked,
                "informed": answers and answers.informed,
            },
        )
        if record is None:
            raise RequestError(
                ResultCode.NO_UPSTREAM,
                "The build at which the stream began is not known.",
                UNKNOWN_BUILD_RETRY_SECONDS,
            )
        return record.group, record.build, found.known_by

    def _has_begun(self, began_as: str, group: str, known_by: KnownBy | None) -> bool:
        """Return whether a stream is taken to have begun, and count it if so.

        :param known_by: how its build is known; ``None`` for a new stream.
        """
        precedence = self.context.resume_precedence
        return known_by is not None and precedence.take(began_as, group, known_by)

    def _tenant(
        self, request: CallerRequest, routing: Routing, route: Route
    ) -> Tenant | None:
        """Return the tenant that sent a request; ``None`` if it needs no API key.

        An entry without a connection to the store may not know a new key yet: the
        refusal is then a 503, as callers do not retry after a 401. A key that it knows
        may have been removed, and is accepted until the store is reached again.

        :raises RequestError: if the route needs a key and the caller's is not known.
        """
        if routing.tenants is None:
            return None
        key = self.context.dialect.api_key(request.items)
        tenant = routing.tenants.find(key)
        if tenant is not None or route.public:
            return tenant
        if key and not self.context.fleet.in_sync:
            raise RequestError(
                ResultCode.NO_UPSTREAM,
                "The key is not known, and the configuration may be outdated.",
                STALE_CONFIG_RETRY_SECONDS,
            )
        raise RequestError(ResultCode.UNAUTHENTICATED)

    async def _read_body(
        self, request: CallerRequest, time_left: float | None
    ) -> bytes:
        """Return a request's body.

        Without a time limit, a caller whose body got lost on the way would wait for a
        response until its own timeout.

        :param time_left: seconds until the caller's deadline; ``None`` for no deadline.
        :raises RequestError: if the body is too large or does not arrive in time.
        """
        seconds = DEFAULT_BODY_TIMEOUT_SECONDS if time_left is None else time_left
        try:
            async with self.context.time_limits.limit(request.arrived_at + seconds):
                body = await request.body.read(self.body_limit)
        except TimeoutError:
            if self.context.time_limits.is_over(asyncio.get_running_loop().time()):
                raise self.context.time_limits.shutdown_error() from None
            raise RequestError(
                ResultCode.DEADLINE_UNREACHABLE, "The body did not come in time."
            ) from None
        if body is None:
            raise RequestError(ResultCode.BODY_TOO_LARGE)
        return body

    async def _route_table(self) -> RouteTable:
        """Return the routes in force, waiting for them if the entry has just started.

        An entry accepts connections shortly before it has loaded the configuration.
        Waiting is cheaper than a refusal, which costs the caller a round trip and a
        delay of half a second. While the store is unavailable, the route may exist:
        the refusal is a 503, as callers do not retry after a 404.

        :raises RequestError: if no configuration is known within the time limit.
        """
        fleet = self.context.fleet
        if not fleet.ready:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(INITIAL_LOAD_TIMEOUT_SECONDS):
                    await fleet.first_ready.wait()
        table = fleet.table
        if table is None or not fleet.upstreams_loaded:
            raise RequestError(
                ResultCode.NO_UPSTREAM, "No configuration is known yet.", 0.5
            )
        return table

    async def _run(
        self, call: Call, reply: CallerReply, log_fields: dict[str, object]
    ) -> int:
        """Run a request if its tenant's share allows, and return the status sent."""

        async def run(admitted: Call) -> int:
            return await self._run_admitted(admitted, reply, log_fields)

        shares = self.context.shares
        return await (run(call) if shares is None else shares.run(call, run))

    async def _run_admitted(
        self, call: Call, reply: CallerReply, log_fields: dict[str, object]
    ) -> int:
        """Run an admitted request and return the status sent to the caller.

        :param log_fields: receives the fields of the log line at the request's end.
        """
        self.context.retry_budget.on_request(call.group.name)
        if self.context.quarantine.is_watching:
            fingerprint = fingerprint_of(call)
            self.context.quarantine.check(fingerprint, call.shared_part_names)
        if call.route.kind is CallKind.STREAM:
            now = asyncio.get_running_loop().time()
            output_tokens = call.traits.expected_tokens or call.traits.max_tokens
            self.context.mix.observe(call.traits.prompt_tokens, output_tokens, now)
            sized_prompt = self.context.size_shares.begin(
                call.route.name, call.traits.prompt_tokens
            )
            call = dataclasses.replace(call, sized_prompt=sized_prompt)
            log_fields["prompt"] = call.traits.prompt_tokens
            log_fields["size"] = sized_prompt.size_class
            run = StreamRun(self.context, call, reply)
            served = False
            try:
                status = await run.run()
                served = 200 <= status < 300
                return status
            finally:
                sized_prompt.end(served=served)
                log_fields["goes_first"] = call.goes_first
                log_fields.update(run.stream.timeline.fields(call.arrived_at))
        return await PlainRun(self.context, call, reply).run()

    async def _refuse(
        self, error: RequestError, request_id: str, reply: CallerReply
    ) -> int:
        """Send an error response, or abort a response that has started."""
        if reply.started:
            reply.abort()
            return 0
        own_headers = self.context.dialect.refusal_headers(request_id)
        headers = [item for item in own_headers if is_writable(item[1])]
        if error.retry_after is not None:
            headers.append(("Retry-After", f"{error.retry_after:.2f}"))
        body = f"{int(error.code)} {error.message}\n".encode()
        headers.append(("Content-Type", "text/plain"))
        await reply.respond(error.info.status, tuple(headers), body)
        return error.info.status

    def _log_end(
        self,
        route: str,
        code: ResultCode,
        status: int,
        arrived_at: float,
        log_fields: dict[str, object],
    ) -> None:
        seconds = asyncio.get_running_loop().time() - arrived_at
        tenant = str(log_fields.get("tenant", ""))
        self.telemetry.on_ended(tenant, route, code, seconds)
        if (size_class := log_fields.get("size")) is not None:
            self.telemetry.on_ended_by_size(route, SizeClass(str(size_class)), code)
        logger.info(
            "request ended",
            extra={
                "route": route,
                "generation": self.context.fleet.generation,
                "code": int(code),
                "status": status,
                "ms": round(seconds * 1e3, 1),
                **log_fields,
            },
        )


def _check_writable(request: CallerRequest) -> None:
    """Check that the HTTP library can forward a request unchanged.

    When writing a request, the library drops bytes that are not valid UTF-8 and a URL
    fragment (``#...``), which HTTP does not allow in a request target, so the upstream
    would receive a different request. It rejects control characters.

    :raises RequestError: if the request can't be forwarded unchanged.
    """
    if "#" in request.target:
        raise RequestError(ResultCode.BAD_HEADER, "The path must not contain '#'.")
    for name, value in request.items:
        if not is_writable(value):
            raise RequestError(ResultCode.BAD_HEADER, f"{name} is no text in UTF-8.")
