"""Client for the instance list over HTTP."""

from __future__ import annotations

import aiohttp

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..errors import ReplyLostError
from ..model import InstanceInfo
from .http_calls import exchange
from .http_calls import read_body

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call."""

_INSTANCES = JsonDecoder[tuple[InstanceInfo, ...]](tuple[InstanceInfo, ...])


class HttpInstanceList:
    """Implements :class:`~bergamotmast.ports.InstanceList`.

    :param url: base address, without a path.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def instances(self) -> tuple[InstanceInfo, ...]:
        """Read the list.

        :raises PortError: if it can't be read.
        """
        url = f"{self.url}/instances"
        async with exchange(
            self.session, "GET", url, total=CALL_TIMEOUT_SECONDS
        ) as response:
            if response.status != 200:
                raise ReplyLostError(f"the instance list answered {response.status}")
            data = await read_body(response)
        try:
            return _INSTANCES.decode(data)
        except DecodingError as error:
            raise ReplyLostError(f"the instance list: {error}") from error
