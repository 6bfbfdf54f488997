"""Check of the builds that the store names, for a stream that no entry knows."""

from __future__ import annotations

from .build_history import BUILDS_KEY
from .build_history import BuildHistory
from .build_history import decode
from .store_progress import SharedRead


class RecordCheck:
    """Implements :class:`~bergamotmast.direct.stream_builds.OnlyBuildCheck`.

    Streams begin only at builds that the record names. An entry may learn of a change
    later than a stream begins elsewhere, so the record is read from the store after
    the stream was asked for.

    :param reads: reads of the record.
    """

    def __init__(self, reads: SharedRead, history: BuildHistory) -> None:
        self.reads = reads
        self.history = history

    async def only_build(self, group: str) -> str | None:
        """Return the build at which all unknown streams of a group have begun.

        ``None`` if there may be several, or the store can't be read.
        """
        expected = self.history.only_recorded(group)
        if expected is None:
            return None
        result = await self.reads.read()
        if result is None or result.era != self.history.store_era:
            return None
        records = [decode(item) for item in result.items if item.key == BUILDS_KEY]
        for builds, era in records:
            if (
                builds
                and era == result.era
                and builds.get(group) == frozenset({expected})
            ):
                # A stream may have been heard of meanwhile.
                return self.history.only_recorded(group)
        return None
