"""Detection of restores of a key-value service, and numbers that outlast them.

A service restored from a backup reissues revisions and leases. Its answers carry the
number of restores, the era. Prefixed with the era, numbers of different eras never
compare equal, and those of a later era are greater.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import math
import typing as t

from ..errors import KeyValueUnavailableError
from ..errors import ReplyLostError

logger = logging.getLogger(__name__)

NUMBERS_PER_ERA = 10**15
"""Upper bound on the numbers that a service issues; a power of ten keeps both parts
readable in logs."""

EPOCHS_PER_ERA = 1_000_000
"""Upper bound on the epochs used between two restores of the service."""

_ResultT = t.TypeVar("_ResultT")


def qualify(era: int, number: int) -> int:
    """Return a number prefixed with its era; 0, meaning none, stays 0."""
    return era * NUMBERS_PER_ERA + number if number else 0


def era_of(qualified: int) -> int:
    """Return the era of a qualified number."""
    return qualified // NUMBERS_PER_ERA


def unqualify(qualified: int) -> int:
    """Return the number without its era."""
    return qualified % NUMBERS_PER_ERA


def read_era(text: str) -> int | None:
    """Return the number of restores in a header; ``None`` if missing or invalid."""
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


class RestoreTracker:
    """The era of a service as its answers report it.

    :param era: number of restores; ``None`` until an answer reports it.
    :param known_since: when an answer first reported the era; a point on the event
        loop's clock.
    :param on_restored: callbacks for a restore that an answer reveals.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.known_since = -math.inf
        self.on_restored: list[cabc.Callable[[], None]] = []
        self._restored = asyncio.Event()

    @property
    def known_era(self) -> int:
        """The current era, as far as known."""
        return self.era or 0

    def min_epoch(self) -> int:
        """Return an epoch above those of all planners before the last restore.

        Engines remember fencing tokens that a restored service may have lost, and
        refuse orders under lower ones.
        """
        return self.known_era * EPOCHS_PER_ERA

    def is_of_other_era(self, qualified: int) -> bool:
        """Return whether a number is of another era; 0 belongs to all eras."""
        return qualified != 0 and era_of(qualified) != self.known_era

    def record(self, era: int | None) -> int:
        """Record the era of an answer and return the current era.

        :param era: ``None`` if the answer has none.
        :raises ReplyLostError: for an answer from before a known restore.
        """
        if era is None or era == self.era:
            return self.known_era
        if era < self.known_era:
            raise ReplyLostError("the answer is from before a restore of the store")
        former, self.era = self.era, era
        self.known_since = asyncio.get_running_loop().time()
        if former is not None:
            logger.warning("store was restored", extra={"era": era, "former": former})
            self._restored.set()
            self._restored = asyncio.Event()
            for callback in self.on_restored:
                callback()
        return era

    async def read_within(
        self, era: int, read: cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, _ResultT]]
    ) -> _ResultT:
        """Read within one era; fail as soon as any call reveals a restore.

        The restored service may reissue the awaited revision for different changes.

        :raises KeyValueUnavailableError: if the service was restored.
        """
        if self.known_era != era:
            raise KeyValueUnavailableError("the store was restored")
        reading = asyncio.ensure_future(read())
        restored = asyncio.ensure_future(self._restored.wait())
        try:
            await asyncio.wait((reading, restored), return_when=asyncio.FIRST_COMPLETED)
            if self.known_era != era:
                raise KeyValueUnavailableError("the store was restored")
            return await reading
        finally:
            reading.cancel()
            restored.cancel()
            await asyncio.gather(reading, restored, return_exceptions=True)
