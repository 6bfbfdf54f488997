"""Membership of an entry: the sides that it keeps connections to."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import random

from ..config.holder import ConfigHolder
from ..errors import PortError
from ..model import InstanceInfo
from ..policy.subset import choose_subset
from ..ports import InstanceList
from ..protocol import timing
from .peer import Peer

logger = logging.getLogger(__name__)

POLL_INTERVAL = 1.0
"""Seconds between two reads of the instance list, before jitter."""


class Membership:
    """Opens and closes the peers of one entry as the instance list changes.

    :param entry: name of the entry.
    :param zone: its availability zone.
    :param instance_list: the platform's list of instances.
    :param open_peer: makes the peer of an upstream, given its seconds between
        heartbeats.
    :param holder: the configuration in force.
    :param rng: source of jitter.
    :param peers: open peers by name of their upstream.
    :param infos: the last instance list by name.
    :param observes_all: returns whether every side must be observed, as a planner
        requires.
    :param tasks: the running tasks of the peers by name of their upstream.
    """

    def __init__(
        self,
        entry: str,
        zone: str,
        instance_list: InstanceList,
        open_peer: cabc.Callable[[InstanceInfo, float], Peer],
        holder: ConfigHolder,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.instance_list = instance_list
        self.open_peer = open_peer
        self.holder = holder
        self.rng = rng
        self.peers: dict[str, Peer] = {}
        self.infos: dict[str, InstanceInfo] = {}
        self.observes_all: cabc.Callable[[], bool] = _never
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def is_leaving(self, name: str) -> bool:
        """Return whether an upstream is not listed or is marked as leaving.

        The instance list or the configuration may mark it. The readiness that its side
        reports is not considered: a leaving side refuses work itself.
        """
        info = self.infos.get(name)
        if info is None or info.leaving:
            return True
        return name in self.holder.selection.leaving

    async def run(self) -> None:
        """Poll the instance list until cancelled.

        While the list can't be read, the last one stays in force.
        """
        try:
            while True:
                await self._poll()
                await asyncio.sleep(POLL_INTERVAL * self.rng.uniform(0.8, 1.2))
        finally:
            for task in self.tasks.values():
                task.cancel()

    async def _poll(self) -> None:
        try:
            instances = await self.instance_list.instances()
        except PortError as error:
            logger.warning("instance list: %s", error.message)
            return
        self.infos = {info.name: info for info in instances}
        wanted = self._working_upstreams()
        for name in sorted(wanted):
            self._ensure_peer(self.infos[name], timing.HEARTBEAT_INTERVAL_SECONDS)
        if self.observes_all():
            wanted |= self._observe(set(self.infos) - wanted)
        wanted |= self._observe(self._observed_leaving() - wanted)
        for name in sorted(set(self.peers) - wanted):
            if not self.peers[name].attempts:
                self._drop_peer(name)

    def _working_upstreams(self) -> set[str]:
        """Return the upstreams that get work from this entry: a subset of each group.

        A process that starts while the key-value service is down knows no groups, and
        without connections it would serve nothing for the whole outage. It therefore
        connects to a subset of all upstreams: any side passes the configuration on.
        """
        if self.holder.generation == 0:
            everyone = {name: info.zone for name, info in self.infos.items()}
            return set(choose_subset(self.entry, self.zone, everyone))
        wanted: set[str] = set()
        for members in self.holder.selection.members.values():
            zones = {
                name: self.infos[name].zone
                for name in members
                if name in self.infos and not self.is_leaving(name)
            }
            wanted |= choose_subset(self.entry, self.zone, zones)
        return wanted

    def _observed_leaving(self) -> set[str]:
        """Return the leaving upstreams to observe.

        Without this, a side that is replaced while its upstream is leaving and the
        key-value service is down would have no session with any entry. It would keep a
        configuration in which it is not leaving and accept work.
        """
        leaving = {n: i.zone for n, i in self.infos.items() if self.is_leaving(n)}
        return set(choose_subset(self.entry, self.zone, leaving))

    def _observe(self, names: set[str]) -> set[str]:
        interval = timing.observer_interval(len(self.infos))
        for name in sorted(names):
            peer = self.peers.get(name)
            if peer is None or peer.is_observer or not peer.attempts:
                self._ensure_peer(self.infos[name], interval)
        return names

    def _ensure_peer(self, info: InstanceInfo, interval: float) -> None:
        peer = self.peers.get(info.name)
        if peer is not None and _can_stay(peer, info, interval):
            peer.info = info
            return
        if peer is not None:
            self._drop_peer(info.name)
        peer = self.open_peer(info, interval)
        self.peers[info.name] = peer
        self.tasks[info.name] = asyncio.create_task(peer.run())

    def _drop_peer(self, name: str) -> None:
        self.tasks.pop(name).cancel()
        del self.peers[name]


def _never() -> bool:
    return False


def _can_stay(peer: Peer, info: InstanceInfo, interval: float) -> bool:
    """Return whether a peer can stay as it is.

    Changes of the interval between heartbeats are ignored, unless they turn a working
    session into an observing one or the reverse.
    """
    same_kind = peer.is_observer == (interval > timing.HEARTBEAT_INTERVAL_SECONDS)
    return same_kind and peer.info.side_address == info.side_address
