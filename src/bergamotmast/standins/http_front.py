"""What the HTTP fronts of all stand-ins share."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import typing as t

import msgspec
from aiohttp import web

from ..errors import BergamotmastError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import LeaseLapsedError
from ..errors import OrderRefusedError
from ..errors import ReplyLostError

MAX_BODY = 16 * 1024 * 1024
"""Bytes a client may send."""

Handler = cabc.Callable[[web.Request], cabc.Awaitable[web.StreamResponse]]
Knob = cabc.Callable[..., object]

_T = t.TypeVar("_T")


def application() -> web.Application:
    """Return an application whose errors become what a client would see of them."""
    return web.Application(client_max_size=MAX_BODY, middlewares=[_errors])


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> cabc.AsyncIterator[str]:
    """Serve an application within an ``async with``, which gets its address.

    Handlers are cancelled when their client goes, as an engine ends a stream whose
    connection is closed.
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
    """Decode a request's body.

    :raises HTTPBadRequest: if it is not of the kind.
    """
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def add_control(
    app: web.Application,
    knobs: cabc.Mapping[str, Knob],
    counters: cabc.Callable[[], dict[str, object]],
) -> None:
    """Add ``POST /control/{knob}``, which takes its arguments as a JSON object.

    :param counters: answers ``GET /control``.
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


def attribute(target: object, name: str) -> Knob:
    """Return a knob that sets an attribute to its argument ``value``."""

    def set_knob(value: t.Any) -> None:
        setattr(target, name, value)

    return set_knob


def drop(request: web.Request) -> web.Response:
    """Break the client's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def _errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except (ReplyLostError, KeyValueOutcomeUnknownError):
        return drop(request)
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
