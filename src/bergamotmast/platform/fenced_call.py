"""Calls of the lease's holder to the platform, under a fencing token."""

from __future__ import annotations

import aiohttp
import msgspec

from ..adapters.http_calls import JSON_TYPE
from ..adapters.http_calls import exchange
from ..direct.fenced_call import FencedReply

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call; the platform answers within milliseconds, unless it is slow."""

_REPLIES = {200: FencedReply.ACCEPTED, 409: FencedReply.FENCED}


async def post_fenced(
    session: aiohttp.ClientSession, url: str, holder: str, token: int, body: object
) -> FencedReply:
    """Send a JSON body as the holder of a fencing token."""
    headers = JSON_TYPE | {"X-Lease-Holder": holder, "X-Fencing-Token": str(token)}
    async with exchange(
        session,
        "POST",
        url,
        total=CALL_TIMEOUT_SECONDS,
        data=msgspec.json.encode(body),
        headers=headers,
    ) as response:
        return _REPLIES.get(response.status, FencedReply.RETRY)
