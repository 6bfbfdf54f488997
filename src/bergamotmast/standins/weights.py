"""In-process stand-in for the weight store, whose bandwidth all loads share."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import PortError


class WeightStoreStandIn:
    """Stand-in for the weight store; loads run one after the other.

    :param versions: size of each model or adapter version, in gigabytes.
    :param gigabytes_per_second: bandwidth shared by all loads.
    :param down: whether every call fails.
    :param loads: number of loads started so far.
    """

    def __init__(
        self,
        versions: cabc.Mapping[str, float] | None = None,
        gigabytes_per_second: float = 10.0,
    ) -> None:
        self.versions = dict(versions or {})
        self.gigabytes_per_second = gigabytes_per_second
        self.down = False
        self.loads = 0
        self._available_at = 0.0

    async def sizes(self) -> dict[str, float]:
        """Return the size of each version, in gigabytes."""
        self._refuse_if_down()
        return dict(self.versions)

    async def rate(self) -> float:
        """Return the bandwidth that all loads share, in gigabytes a second."""
        self._refuse_if_down()
        return self.gigabytes_per_second

    async def load(self, version: str) -> None:
        """Load a version, after all loads that were requested earlier.

        :raises PortError: for an unknown version, or while the store is down.
        """
        self._refuse_if_down()
        if version not in self.versions:
            raise PortError(f"the weight store does not hold {version}")
        self.loads += 1
        now = asyncio.get_running_loop().time()
        seconds = self.versions[version] / self.gigabytes_per_second
        self._available_at = max(now, self._available_at) + seconds
        await asyncio.sleep(self._available_at - now)

    def _refuse_if_down(self) -> None:
        if self.down:
            raise PortError("the weight store is down")
