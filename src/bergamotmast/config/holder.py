"""The configuration a process has in force; it only ever moves forward."""

from __future__ import annotations

import asyncio

from ..history import ConfigInForce
from ..history import HistorySink
from ..selection import Selection
from .document import Configuration
from .document import decode_configuration

PEER_PULL_DELAY_SECONDS = 0.8
"""Time a process is given to read an edit from the key-value service.

Every process hears of an edit from its peers as soon as from the service. If it asked
them at once, each edit would carry the whole document over many sessions, when the
service has only the few bytes that changed. A process that the service does not reach
asks after this time, well within the time that an edit may take.
"""

INITIAL_PULL_INTERVAL_SECONDS = 0.5
"""Between two pulls of a process that has no configuration yet."""


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
        self._behind_since: float | None = None

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
        self._behind_since = None
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

    def should_pull(self, generation: int) -> bool:
        """Return whether to ask a peer that has this generation for its document.

        Saying so begins a new wait, so that one peer is asked at a time.
        """
        if generation <= self.generation:
            return False
        now = asyncio.get_running_loop().time()
        if self._behind_since is None:
            self._behind_since = now
            if self.generation:
                return False
        elif now < self._behind_since + self._pull_delay():
            return False
        self._behind_since = now
        return True

    def _pull_delay(self) -> float:
        return (
            PEER_PULL_DELAY_SECONDS
            if self.generation
            else INITIAL_PULL_INTERVAL_SECONDS
        )

    async def wait_for_newer(self, generation: int) -> Configuration:
        """Wait until a configuration newer than this is in force and return it."""
        while self.generation <= generation:
            await self._changed.wait()
        return self.current
