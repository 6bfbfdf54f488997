"""In-process stand-in for the platform's instance list, which lags behind changes."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses

from ..errors import NotReachedError
from ..history import HistorySink
from ..history import LeavingAnnounced
from ..history import NullHistory
from ..history import StayingAnnounced
from ..model import InstanceInfo


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    at: float
    instances: dict[str, InstanceInfo]


class InstanceListStandIn:
    """Stand-in for the instance list.

    :param instances: initial instances.
    :param lag: seconds until a change becomes visible.
    :param down: whether every call fails.
    :param reads: number of calls so far.
    """

    def __init__(
        self,
        instances: cabc.Iterable[InstanceInfo] = (),
        lag: float = 0.0,
        history: HistorySink | None = None,
    ) -> None:
        self.lag = lag
        self.history = history or NullHistory()
        self.down = False
        self.reads = 0
        first = {info.name: info for info in instances}
        self._versions = [_Version(float("-inf"), first)]

    async def instances(self) -> tuple[InstanceInfo, ...]:
        """Return the list as it was ``lag`` seconds ago.

        :raises NotReachedError: while the list is down.
        """
        self.reads += 1
        if self.down:
            raise NotReachedError("the instance list is down")
        visible = _now() - self.lag
        while len(self._versions) > 1 and self._versions[1].at <= visible:
            del self._versions[0]
        return tuple(self._versions[0].instances.values())

    def put(self, info: InstanceInfo) -> None:
        """Add an instance, or replace its entry."""
        self._change({**self._versions[-1].instances, info.name: info})

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        instances = dict(self._versions[-1].instances)
        del instances[name]
        self._change(instances)

    def set_leaving(self, name: str, leaving: bool = True) -> None:
        """Mark an instance as leaving or, with ``False``, as staying."""
        info = self._versions[-1].instances[name]
        self.put(dataclasses.replace(info, leaving=leaving))
        announced = LeavingAnnounced if leaving else StayingAnnounced
        self.history.record(announced(at=_now(), upstream=name))

    def _change(self, instances: dict[str, InstanceInfo]) -> None:
        self._versions.append(_Version(_now(), instances))


def _now() -> float:
    return asyncio.get_running_loop().time()
