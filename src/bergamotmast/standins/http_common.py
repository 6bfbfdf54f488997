"""Helpers of all stand-ins' HTTP frontends: serving, JSON, errors and control paths."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import typing as t

import msgspec
from aiohttp import web

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import BergamotmastError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import LeaseLapsedError
from ..errors import OrderRefusedError
from ..errors import ReplyLostError

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a request's body."""

Handler = cabc.Callable[[web.Request], cabc.Awaitable[web.StreamResponse]]
Knob = cabc.Callable[..., object]
"""Action of a control path, called with the members of a JSON object as keywords."""

_T = t.TypeVar("_T")


def application() -> web.Application:
    """Return an application that maps the ports' errors to statuses or aborts."""
    return web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_errors])


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> cabc.AsyncIterator[str]:
    """Serve an application within an ``async with`` and yield its URL.

    Handlers are cancelled when their client disconnects, as an engine cancels a stream
    whose connection is closed.

    :param port: port to listen on; 0 for any free one.
    """
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        bound_host, bound_port = runner.addresses[0][:2]
        yield f"http://{bound_host}:{bound_port}"
    finally:
        await runner.cleanup()


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a value as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


async def read_json(request: web.Request, kind: type[_T]) -> _T:
    """Decode a request's body; an empty one counts as ``{}``.

    :raises HTTPBadRequest: if it is not valid JSON of type ``kind``.
    """
    try:
        return decode_json(await request.read() or b"{}", kind)
    except DecodingError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def add_control(
    app: web.Application,
    knobs: cabc.Mapping[str, Knob],
    counters: cabc.Callable[[], dict[str, object]],
) -> None:
    """Add ``POST /control/{knob}`` for fault injection, and ``GET /control``.

    :param knobs: actions by name; the arguments are the members of the request's JSON
        object.
    :param counters: returns the reply of both paths.
    """

    async def set_knob(request: web.Request) -> web.Response:
        knob = knobs.get(request.match_info["knob"])
        if knob is None:
            raise web.HTTPNotFound(text=f"knobs: {', '.join(sorted(knobs))}")
        arguments = await read_json(request, dict[str, t.Any])
        try:
            knob(**arguments)
        except (TypeError, ValueError, KeyError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return json_response(counters())

    async def show_counters(request: web.Request) -> web.Response:
        return json_response(counters())

    app.router.add_get("/control", show_counters)
    app.router.add_post("/control/{knob}", set_knob)


def attribute_setter(target: object, name: str) -> Knob:
    """Return a knob that sets an attribute of an object to its argument ``value``."""

    def set_knob(value: t.Any) -> None:
        setattr(target, name, value)

    return set_knob


def abort_connection(request: web.Request) -> web.Response:
    """Abort the client's connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def _errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except (ReplyLostError, KeyValueOutcomeUnknownError):
        return abort_connection(request)
    except LeaseLapsedError as error:
        return _error(error, 404)
    except OrderRefusedError as error:
        return _error(error, 409)
    except BergamotmastError as error:
        return _error(error, 503)
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=repr(error)) from error


def _error(error: BergamotmastError, status: int) -> web.Response:
    return json_response({"error": {"message": error.message}}, status)
