"""Error bodies of the caller interface."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from ..errors import CODE_INFO
from ..errors import RequestError


class ErrorDetail(msgspec.Struct, frozen=True):
    """Why a request has no complete answer.

    :param code: numeric result code.
    :param name: name of the result code, in lower case.
    :param outcome: ``not_run``, ``ran`` or ``unknown``.
    :param message: explanation for people, one sentence.
    :param request_id: id of the request, also found in logs.
    """

    code: int
    name: str
    outcome: str
    message: str
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every error."""

    error: ErrorDetail


def error_body(error: RequestError, request_id: str) -> bytes:
    """Encode an error as a JSON body."""
    detail = ErrorDetail(
        code=int(error.code),
        name=error.code.name.lower(),
        outcome=CODE_INFO[error.code].outcome.value,
        message=error.message,
        request_id=request_id,
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_response(error: RequestError, request_id: str) -> web.Response:
    """Return the HTTP response for an error that precedes any part of an answer."""
    headers = {"X-Request-Id": request_id}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return web.Response(
        status=error.info.status,
        body=error_body(error, request_id),
        content_type="application/json",
        headers=headers,
    )
