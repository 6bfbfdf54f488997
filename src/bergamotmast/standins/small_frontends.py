"""HTTP frontends of the plain service, the instance list and the weight store."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from ..adapters.service_http import IDEMPOTENCY_KEY_HEADER
from ..adapters.service_http import REQUEST_ID_HEADER
from ..adapters.weights_http import WeightStoreBody
from ..errors import NotReachedError
from ..model import InstanceInfo
from ..model import Priority
from ..model import ServiceCall
from . import http_common
from .instance_list import InstanceListStandIn
from .service import ServiceStandIn
from .weights import WeightStoreStandIn

CALL_TIMEOUT_SECONDS = 3600.0
"""Deadline of each call: long enough that the service stand-in never hits it."""


def service_application(standin: ServiceStandIn) -> web.Application:
    """Return an application that serves a plain service at every path.

    While the service is unreachable it aborts connections, as a response of any status
    would count as the service's own.
    """

    async def call(request: web.Request) -> web.Response:
        try:
            answer = await standin.call(await _service_call(request))
        except NotReachedError:
            return http_common.abort_connection(request)
        response = web.Response(status=answer.status, body=answer.body)
        response.headers["Content-Type"] = answer.content_type
        return response

    app = http_common.application()
    knobs: dict[str, http_common.Knob] = {
        "crash": standin.crash,
        "restart": standin.restart,
        "seconds": http_common.attribute_setter(standin, "seconds"),
        "status": http_common.attribute_setter(standin, "status"),
        "reachable": http_common.attribute_setter(standin, "reachable"),
        "lost_replies": http_common.attribute_setter(standin, "lost_replies"),
    }
    http_common.add_control(
        app, knobs, lambda: {"executions": dict(standin.executions), "up": standin.up}
    )
    app.router.add_route("*", "/{path:.*}", call)
    return app


async def _service_call(request: web.Request) -> ServiceCall:
    deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_SECONDS
    return ServiceCall(
        request_id=request.headers.get(REQUEST_ID_HEADER, ""),
        tenant="",
        request_class="",
        priority=Priority.STANDARD,
        route="",
        method=request.method,
        path=request.path_qs,
        body=await request.read(),
        content_type=request.content_type,
        repeatable=True,
        idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
        deadline=deadline,
    )


def instance_list_application(standin: InstanceListStandIn) -> web.Application:
    """Return an application that serves the instance list at ``/instances``."""

    async def instances(request: web.Request) -> web.Response:
        return http_common.json_response(await standin.instances())

    def put(**fields: object) -> None:
        standin.put(msgspec.convert(fields, InstanceInfo))

    app = http_common.application()
    app.router.add_get("/instances", instances)
    knobs: dict[str, http_common.Knob] = {
        "put": put,
        "remove": standin.remove,
        "leaving": standin.set_leaving,
        "down": http_common.attribute_setter(standin, "down"),
        "lag": http_common.attribute_setter(standin, "lag"),
    }
    http_common.add_control(app, knobs, lambda: {"reads": standin.reads})
    return app


def weight_store_application(standin: WeightStoreStandIn) -> web.Application:
    """Return an application that serves a weight store.

    ``GET /store`` returns sizes and bandwidth, ``POST /loads/{version}`` returns once
    the version is loaded.
    """

    async def store(request: web.Request) -> web.Response:
        body = WeightStoreBody(await standin.sizes(), await standin.rate())
        return http_common.json_response(body)

    async def load(request: web.Request) -> web.Response:
        await standin.load(request.match_info["version"])
        return web.Response()

    app = http_common.application()
    app.router.add_get("/store", store)
    app.router.add_post("/loads/{version}", load)
    knobs: dict[str, http_common.Knob] = {
        "down": http_common.attribute_setter(standin, "down"),
        "rate": http_common.attribute_setter(standin, "gigabytes_per_second"),
    }
    http_common.add_control(app, knobs, lambda: {"loads": standin.loads})
    return app
