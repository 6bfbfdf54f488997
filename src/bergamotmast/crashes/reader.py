"""Reads single requests' crashes, for entries that do not watch all of them.

A waiting watch counts against the service's limit on reads. In a fleet of many entries
a second watch each would use it up, so an entry reads what the others know of a request
once it has seen it crash an upstream itself, and again while it refuses it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

from ..errors import PortError
from ..ports import KeyValueService
from .quarantine import Quarantine
from .records import request_prefix

logger = logging.getLogger(__name__)

READ_INTERVAL_SECONDS = 1.0
"""Minimum time between two rounds of reads."""

CONSULT_SECONDS = 0.3
"""Time limit for the read between two attempts of a request."""

MAX_READS_PER_ROUND = 16
"""Maximum number of requests that are read at a time, however many are lost."""


class CrashReader:
    """Reads what other entries know of the requests that a quarantine asks for.

    :param wanted: fingerprints to read, in order.
    """

    def __init__(self, kv: KeyValueService, quarantine: Quarantine) -> None:
        self.kv = kv
        self.quarantine = quarantine
        self.wanted: dict[str, None] = {}
        self.changed = asyncio.Event()
        quarantine.on_refusal = self.read_soon
        quarantine.consult = self.read_now

    def read_soon(self, fingerprint: str) -> None:
        """Schedule a read of a request's crashes."""
        self.wanted[fingerprint] = None
        self.changed.set()

    async def read_now(self, fingerprint: str) -> None:
        """Read a request's crashes, for a caller that waits for its next attempt."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONSULT_SECONDS):
                await self._read(fingerprint)

    async def run(self) -> None:
        """Read what is wanted until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.wanted:
                for fingerprint in list(self.wanted)[:MAX_READS_PER_ROUND]:
                    del self.wanted[fingerprint]
                    await self._read(fingerprint)
                await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def _read(self, fingerprint: str) -> None:
        try:
            found = await self.kv.range(request_prefix(fingerprint))
        except PortError as error:
            logger.info("crashes are not read", extra={"error": error.message})
            return
        self.quarantine.replace_request(fingerprint, found.items)
