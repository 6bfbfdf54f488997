"""Client for a plain service over HTTP."""

from __future__ import annotations

import asyncio

import aiohttp
import yarl

from ..errors import NotReachedError
from ..model import ServiceAnswer
from ..model import ServiceCall
from .connection_probe import TcpConnectionProbe
from .http_calls import exchange
from .http_calls import read_body

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

MAX_ANSWER_BYTES = 1 << 26
"""Maximum body of an answer; one without end would exhaust memory."""


class HttpService:
    """Implements :class:`~bergamotmast.ports.PlainService`.

    :param url: base address, without a path.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Run one call and return its whole answer, whatever its status.

        :raises NotReachedError: also if the deadline has passed before it is sent.
        """
        budget = call.deadline - asyncio.get_running_loop().time()
        if budget <= 0:
            raise NotReachedError("the deadline has passed")
        async with exchange(
            self.session,
            call.method,
            self.url + call.path,
            total=budget,
            data=call.body or None,
            headers=_headers(call),
        ) as response:
            body = await read_body(response, MAX_ANSWER_BYTES)
        content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
        return ServiceAnswer(response.status, body, content_type)

    async def is_refused(self) -> bool:
        """Return whether the service's address refuses connections."""
        url = yarl.URL(self.url)
        return await TcpConnectionProbe().is_refused(f"{url.host}:{url.port}")


def _headers(call: ServiceCall) -> dict[str, str]:
    headers = {REQUEST_ID_HEADER: call.request_id}
    if call.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
    if call.content_type:
        headers["Content-Type"] = call.content_type
    return headers
