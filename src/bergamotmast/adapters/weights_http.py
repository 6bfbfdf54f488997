"""Client for the weight store over HTTP."""

from __future__ import annotations

import urllib.parse

import aiohttp
import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import PortError
from ..errors import ReplyLostError
from .http_calls import exchange
from .http_calls import read_body

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call; loads have no timeout."""


class WeightStoreBody(msgspec.Struct, frozen=True):
    """The weight store's description of itself.

    :param sizes: size of each version, in gigabytes.
    :param gigabytes_per_second: rate that all loads share.
    """

    sizes: dict[str, float]
    gigabytes_per_second: float


class HttpWeightStore:
    """Implements :class:`~bergamotmast.ports.WeightStore`.

    :param url: base address, without a path.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def sizes(self) -> dict[str, float]:
        """Read the size of each model or adapter version, in gigabytes."""
        return (await self._store()).sizes

    async def rate(self) -> float:
        """Read the rate that all loads share, in gigabytes a second."""
        return (await self._store()).gigabytes_per_second

    async def load(self, version: str) -> None:
        """Read a version, as an engine does, and return when it is complete.

        :raises PortError: for a version that the store does not hold.
        """
        quoted = urllib.parse.quote(version, safe="")
        await self._call("POST", f"/loads/{quoted}", None)

    async def _store(self) -> WeightStoreBody:
        data = await self._call("GET", "/store", CALL_TIMEOUT_SECONDS)
        try:
            return decode_json(data, WeightStoreBody)
        except DecodingError as error:
            raise ReplyLostError(f"the weight store: {error}") from error

    async def _call(self, method: str, path: str, total: float | None) -> bytes:
        async with exchange(
            self.session, method, self.url + path, total=total
        ) as response:
            if response.status != 200:
                raise PortError(f"the weight store answered {response.status}")
            return await read_body(response)
