"""Cuts between entries that run as processes, and between them and the store.

Datagrams pass through relays: the store tells each entry addresses of relays as those
of the others. A relay sends on from the address that the receiver knows the sender by.
"""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import json
import typing as t

from aiohttp import web

from bergamotmast.direct.presence import PRESENCE_PREFIX
from platform_standin import Store

Address = tuple[str, int]
Pair = tuple[int, int]

SLOW_SECONDS = 1.5
"""Delay of each reply of a slow store."""


class Relay(asyncio.DatagramProtocol):
    """Receives what one entry sends to another one."""

    def __init__(self, deliver: cabc.Callable[[bytes], None]) -> None:
        self.deliver = deliver

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.deliver(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an entry that has ended."""


class PeerRelays:
    """A relay for each ordered pair of entries, named ``entry-0``, ``entry-1`` ...

    :param cut: pairs of sender and receiver between which datagrams are lost.
    :param addresses: the address at which each entry receives datagrams.
    :param relays: sockets by the entry that sends to them, and whom it means.
    """

    def __init__(self) -> None:
        self.cut: set[Pair] = set()
        self.addresses: dict[int, Address] = {}
        self.relays: dict[Pair, asyncio.DatagramTransport] = {}

    async def open(self, count: int) -> None:
        """Open the relays of some entries."""
        loop = asyncio.get_running_loop()
        pairs = ((s, r) for s in range(count) for r in range(count) if s != r)
        for sender, receiver in pairs:
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=(sender, receiver): Relay(
                    lambda data: self.carry(*pair, data)
                ),
                local_addr=("127.0.0.1", 0),
            )
            self.relays[sender, receiver] = transport

    def close(self) -> None:
        for transport in self.relays.values():
            transport.close()

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram on, unless the pair is cut."""
        address = self.addresses.get(receiver)
        if address is not None and (sender, receiver) not in self.cut:
            self.relays[receiver, sender].sendto(data, address)

    def part(self, entry: int, others: cabc.Iterable[int], way: str = "both") -> None:
        """Lose datagrams between an entry and others.

        :param way: ``both``, or ``in`` or ``out`` for those to or from the entry.
        """
        for other in others:
            if way in ("both", "in"):
                self.cut.add((other, entry))
            if way in ("both", "out"):
                self.cut.add((entry, other))

    def register(self, number: int, address: str) -> None:
        """Note where an entry receives datagrams."""
        host, _, port = address.rpartition(":")
        self.addresses[number] = (host, int(port))

    def address(self, reader: int, number: int) -> str | None:
        """Return the address by which an entry knows another one."""
        transport = self.relays.get((reader, number))
        if transport is None:
            return None
        host, port = transport.get_extra_info("sockname")
        return f"{host}:{port}"


class PartedStore(Store):
    """A store with an address for each entry, which can be cut off from it.

    :param relays: the relays that entries are told of.
    :param numbers: entries by the port that they call.
    :param cuts: how each entry is cut off: ``silent``, ``refused`` (503), ``reset``,
        or ``slow``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.relays = PeerRelays()
        self.numbers: dict[int, int] = {}
        self.cuts: dict[int, str] = {}

    def _put(self, key: str, value: object, lease: int) -> None:
        super()._put(key, value, lease)
        number = _entry_number(key)
        if number is not None and isinstance(value, bytes):
            self.relays.register(number, value.decode())

    @web.middleware
    async def _faults(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        number = self.numbers.get(transport.get_extra_info("sockname")[1], -1)
        await self._hold(number)
        if self.cuts.get(number) == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        if transport.is_closing():
            return web.Response(status=503)
        refusal = self._refusal(number, transport)
        response = refusal or await super()._faults(request, handler)
        await self._hold(number)
        response = self._refusal(number, transport) or response
        return self._as_told(number, response)

    async def _hold(self, number: int) -> None:
        """Wait while the store is silent for an entry."""
        while self.cuts.get(number) == "silent":
            await asyncio.sleep(0.02)

    def _refusal(
        self, number: int, transport: asyncio.BaseTransport
    ) -> web.Response | None:
        cut = self.cuts.get(number)
        if cut == "reset":
            t.cast(asyncio.Transport, transport).abort()
        return web.Response(status=503) if cut in ("refused", "reset") else None

    def _as_told(self, number: int, response: web.StreamResponse) -> web.StreamResponse:
        """Return a reply with the addresses of relays in place of the entries'."""
        text = response.text if isinstance(response, web.Response) else None
        if number < 0 or not text or PRESENCE_PREFIX not in text:
            return response
        body = json.loads(text)
        for item in (body, *body.get("items", ()), *body.get("events", ())):
            other = _entry_number(item.get("key", ""))
            address = other is not None and self.relays.address(number, other)
            if address and "value" in item:
                item["value"] = base64.b64encode(address.encode()).decode()
        response.text = json.dumps(body)  # type: ignore[attr-defined]
        return response


def _entry_number(key: str) -> int | None:
    """Return the number of the entry that registers under a key."""
    if not key.startswith(f"{PRESENCE_PREFIX}entry-"):
        return None
    return int(key.rpartition("-")[2])
