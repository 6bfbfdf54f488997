"""Holder of a process's configuration, whose generation never decreases."""

from __future__ import annotations

import asyncio

from ..history import ConfigInForce
from ..history import HistorySink
from ..selection import Selection
from .document import Configuration
from .document import decode_configuration

PEER_PULL_DELAY_SECONDS = 0.8
"""Delay before a process pulls an edit from a peer, not from the key-value service.

A process learns of an edit from its peers as early as from the service. If it pulled at
once, each edit would send the whole document over many sessions, while the service
sends only the few bytes that changed. A process that can't reach the service pulls
after this delay, well within the time that an edit may take.
"""

INITIAL_PULL_INTERVAL_SECONDS = 0.5
"""Interval between pulls of a process that has no configuration yet."""


class ConfigHolder:
    """Holds the newest configuration that a process has received from any source.

    :param process: name of the process, for its history.
    :param history: records each newer generation.
    :param current: the configuration in force; generation 0 before the first.
    :param document: the same configuration encoded, for forwarding to peers.
    :param selection: its selectors, prepared for matching requests.
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
        """Accept a document if it is newer than the one in force.

        A key-value service restored from a backup, or a peer that was partitioned, may
        offer an older document, which would bring back rules that were already
        replaced. Every accepted edit increments the generation in the document, so
        comparing generations is enough, whatever the source.

        :return: whether the document is now in force.
        :raises DecodingError: if it is not a valid configuration.
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
        """Return whether to pull the document from a peer that has this generation.

        ``True`` restarts the delay, so that one peer is asked at a time.
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
