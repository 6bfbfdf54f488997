"""The configuration a process has in force; it only ever moves forward."""

from __future__ import annotations

import asyncio

from .config import Configuration
from .config import decode_configuration
from .history import ConfigInForce
from .history import HistorySink
from .selection import Selection


class ConfigHolder:
    """Keeps the newest configuration a process has seen, from wherever it came.

    :param process: name of the process, for its history.
    :param history: where each step forward is recorded.
    :param current: the configuration in force; generation 0 before the first.
    :param document: the same as bytes, to be passed on to peers.
    :param selection: its rules, prepared for use with each request.
    """

    def __init__(self, process: str, history: HistorySink) -> None:
        self.process = process
        self.history = history
        self.current = Configuration()
        self.document = b""
        self.selection = Selection(self.current)
        self._changed = asyncio.Event()

    @property
    def generation(self) -> int:
        """Generation in force."""
        return self.current.generation

    def offer(self, document: bytes) -> bool:
        """Take a document if it is newer than the one in force.

        A key-value service restored from a backup, or a peer that was cut off, may
        bring an older document: callers would see rules come back that were already
        replaced. The generation inside the document is raised by every accepted edit,
        so comparing it is enough, whatever the source.

        :raises msgspec.DecodeError: if it is no configuration.
        """
        configuration = decode_configuration(document)
        if configuration.generation <= self.generation:
            return False
        self.current = configuration
        self.document = document
        self.selection = Selection(configuration)
        at = asyncio.get_running_loop().time()
        self.history.record(
            ConfigInForce(
                at=at, process=self.process, generation=configuration.generation
            )
        )
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_newer(self, generation: int) -> Configuration:
        """Wait until a configuration newer than this is in force and return it."""
        while self.generation <= generation:
            await self._changed.wait()
        return self.current
