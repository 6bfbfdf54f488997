"""Client for the reports and role change orders of the platform's engines."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from ..adapters.json_bodies import decode_body
from ..direct.model import Upstream
from ..direct.ports import MAX_CONTROL_BODY_BYTES
from ..direct.ports import UpstreamClient
from ..direct.role_planner import OrderReply
from ..direct.role_planner import RoleOrderCommand
from ..errors import OrderRefusedError
from ..errors import PortError
from ..errors import ReplyLostError
from .headers import EXPECTED_UPSTREAM

PROBE_TIMEOUT_SECONDS = 0.3
"""Timeout of a report that is requested as a probe."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a report or an order; both are answered within milliseconds."""

_REPLIES = {202: OrderReply.TAKEN, 200: OrderReply.HOLDS, 409: OrderReply.CONFLICT}
_STALE_TOKEN_STATUS = 412


class _Report(msgspec.Struct, frozen=True):
    """An engine's report; ``sequence`` counts the orders that it has accepted."""

    sequence: int
    busy: bool
    born: object = None


class PlatformOrders:
    """Implements the orders and the probes of the direct entry's engines."""

    def __init__(self, client: UpstreamClient) -> None:
        self.client = client

    async def sequence(self, upstream: Upstream) -> int | None:
        """Return how many orders an engine has accepted; ``None`` while one runs."""
        status, body = await self._call(upstream, "GET", "/report", b"")
        if status != 200:
            raise ReplyLostError(f"the engine's report has status {status}")
        report = decode_body(body, _Report, ReplyLostError, "the report")
        return None if report.busy else report.sequence

    async def probe(self, engine: Upstream) -> bool:
        """Return whether an engine responds; reports don't queue behind other work."""
        with contextlib.suppress(PortError, TimeoutError):
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                status, _ = await self._call(engine, "GET", "/report", b"")
            return status == 200
        return False

    async def boot(self, engine: Upstream) -> str | None:
        """Return when an engine started, as registrations tell it, or ``None``."""
        with contextlib.suppress(PortError, TimeoutError):
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                _, body = await self._call(engine, "GET", "/report", b"")
            born = decode_body(body, _Report, ReplyLostError, "the report").born
            return str(born) if isinstance(born, int) else None
        return None

    async def order(self, command: RoleOrderCommand) -> OrderReply:
        """Send a role change order."""
        body = msgspec.json.encode(
            {
                "operation": "stage",
                "stage": command.order.role.value,
                "holder": command.holder,
                "fencing-token": command.token,
                "precondition": command.sequence,
            }
        )
        status, _ = await self._call(command.upstream, "POST", "/order", body)
        if status == _STALE_TOKEN_STATUS:
            raise OrderRefusedError("the engine has seen a higher fencing token")
        if status not in _REPLIES:
            raise ReplyLostError(f"the reply to the order has status {status}")
        return _REPLIES[status]

    async def _call(
        self, upstream: Upstream, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = [(EXPECTED_UPSTREAM, upstream.name)]
        if body:
            headers.append(("Content-Type", "application/json"))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self.client.send(
                    upstream.address, method, target, tuple(headers), body, fresh=True
                ) as reply:
                    return reply.status, await reply.read(MAX_CONTROL_BODY_BYTES)
        except TimeoutError as error:
            raise ReplyLostError(f"{target}: timed out") from error
