"""Client for orders of numbers of replicas from the platform."""

from __future__ import annotations

import aiohttp

from ..direct.fenced_call import FencedReply
from ..direct.scaling_duty import ScalingOrder
from .fenced_call import post_fenced


class PlatformScaling:
    """Implements :class:`~bergamotmast.direct.scaling_duty.ScalingSink`.

    :param address: where the platform accepts orders, ``host:port``.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.url = f"http://{address}/scaling"

    async def order(self, order: ScalingOrder) -> FencedReply:
        """Send an order."""
        subject = order.subject
        body = {
            "service": subject.group,
            "zone": subject.zone,
            "desired-count": order.count,
        }
        return await post_fenced(
            self.session, self.url, order.holder, order.token, body
        )
