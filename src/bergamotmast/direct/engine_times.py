"""Engine time that this entry's streams take, by group of engines."""

from __future__ import annotations

import asyncio

from ..policy.direct_roles import MixMeter
from ..policy.engine_time import EngineTimeMeter
from .capacity_switch import CapacitySwitch
from .fleet import Fleet


class EngineTimes:
    """Measures the streams of this entry for the planner of roles.

    :param mix: mix of tokens, which counts where the capacity of engines isn't learned.
    :param meters: meters of the groups of engines, by name.
    """

    def __init__(self, fleet: Fleet, mix: MixMeter, switch: CapacitySwitch) -> None:
        self.fleet = fleet
        self.mix = mix
        self.switch = switch
        self.meters: dict[str, EngineTimeMeter] = {}

    def on_prefill(self, group: str, seconds: float) -> None:
        """Add a prefill.

        :param seconds: time for which it occupies a prefill engine.
        """
        self._meter(group).add_prefill(seconds, asyncio.get_running_loop().time())

    def on_decode_begun(self, group: str) -> None:
        """Record that a decode engine has been asked for an answer."""
        self._meter(group).begin_decode(asyncio.get_running_loop().time())

    def on_decode_ended(self, group: str) -> None:
        """Record that an answer has ended, in whatever way."""
        self._meter(group).end_decode(asyncio.get_running_loop().time())

    def is_measured(self, group: str) -> bool:
        """Return whether roles follow measured engine time."""
        return self.switch.is_on(group)

    def decode_share(self, group: str, now: float) -> float:
        """Return the share of a group's engine time that decode takes."""
        if self.is_measured(group):
            return self._meter(group).decode_share(now)
        return self.mix.decode_share

    def _meter(self, group: str) -> EngineTimeMeter:
        meter = self.meters.get(group)
        if meter is None:
            engine = self.fleet.group(group).engine
            slots = engine.slots if engine is not None else 1
            now = asyncio.get_running_loop().time()
            meter = self.meters[group] = EngineTimeMeter(slots, now)
        return meter
