"""Decision which engines to avoid because other entries report failed probes of them.

Load pattern: an engine stops responding while all entries send to it. Each entry needs
about a second to find that out, and loses what it has sent to the engine until then.

Without it: the same requests are lost at every entry, and again whenever a cool-down
ends.

A notice is a hint. It names one incarnation of an engine and expires by itself. A reply
to any entry overrides it. An entry that names many engines is taken to be cut off, and
none of its notices counts. If all engines of a group are named, none is avoided.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import math
import random
import typing as t

EngineKey: t.TypeAlias = tuple[str, str]
"""Name and boot of an engine."""

MIN_HOLD_SECONDS = 2.5
"""Shortest time for which a failed probe counts, from its start. The registration of an
engine that has crashed lapses about three seconds after the crash; the probe starts up
to a second after it."""

MAX_HOLD_SECONDS = 5.0
"""Longest time for which a failed probe counts. The time is drawn by each entry, so
that the first ones to try the engine again spare the others the loss."""

MAX_NAMED_SHARE = 0.25
"""Largest share of a group's engines that one entry may name. An entry that is cut off
from one of three zones misses a third of the engines."""

MAX_NAMED = 16
"""Largest number of engines that one entry may name, which bounds the memory and the
size of a datagram."""

DISPUTED_SECONDS = 10.0
"""How long an entry's notices of an engine don't count after the engine has replied to
somebody. If only their link has failed, each further probe fails, too."""

CUT_OFF_SECONDS = 10.0
"""How long an entry that named too many engines is not believed. While it is cut off,
its older notices expire and it names few again for a moment."""

SAME_PROBE_SECONDS = 0.1
"""Differences up to which two times are those of the same probe: the time of a probe is
known only up to the delay of the datagram."""


@dataclasses.dataclass(frozen=True, slots=True)
class FailedProbe:
    """A failed liveness probe of an engine; points in time are on the local clock.

    :param sender: the entry that reports it.
    :param group: group of the engine.
    :param sent_at: when the probe was sent.
    :param until: until when it counts.
    :param disputed: whether the engine had replied to somebody shortly after an earlier
        probe by the same entry failed. It then only counts for the entry's limit.
    """

    sender: str
    group: str
    sent_at: float
    until: float
    disputed: bool = False


class UnresponsiveEngines:
    """Failed probes that entries have reported, and what follows from them.

    :param own_entry: this entry. Its own probes don't make it avoid an engine: it goes
        by its own cool-downs, and thereby finds out when the engine replies again.
    :param probes: latest failed probes, by sender and engine.
    :param replied_at: when an engine last replied to any entry, as far as known; points
        in time.
    :param told_at: the same for replies that all entries have been told of.
    :param disputed_until: until when an entry's notices of an engine don't count;
        points in time.
    :param cut_off_until: until when none of an entry's notices counts; points in time.
    """

    def __init__(self, own_entry: str, rng: random.Random) -> None:
        self.own_entry = own_entry
        self.rng = rng
        self.probes: dict[str, dict[EngineKey, FailedProbe]] = {}
        self.replied_at: dict[EngineKey, float] = {}
        self.told_at: dict[EngineKey, float] = {}
        self.disputed_until: dict[tuple[str, EngineKey], float] = {}
        self.cut_off_until: dict[str, float] = {}

    def on_failed_probe(
        self, sender: str, engine: EngineKey, group: str, sent_at: float, now: float
    ) -> None:
        """Record that a probe by an entry failed; an older one is ignored.

        :param sent_at: when the probe was sent; a point in time.
        """
        hold = self.rng.uniform(MIN_HOLD_SECONDS, MAX_HOLD_SECONDS)
        if now >= sent_at + hold:
            return
        named = self.probes.setdefault(sender, {})
        known = named.get(engine)
        if known is None:
            if len(named) > MAX_NAMED:
                # The entry is over its limit already.
                return
        elif sent_at <= known.sent_at + SAME_PROBE_SECONDS:
            return
        disputed = now < self.disputed_until.get((sender, engine), -math.inf)
        named[engine] = FailedProbe(sender, group, sent_at, sent_at + hold, disputed)
        self._dispute(engine, now)

    def on_reply(
        self, engine: EngineKey, at: float, now: float, *, told: bool = False
    ) -> None:
        """Record that an engine replied to an entry.

        :param at: when the reply arrived there; a point in time.
        :param told: whether the other entries have been told of it.
        """
        if at > self.replied_at.get(engine, -math.inf):
            self.replied_at[engine] = at
            self._dispute(engine, now)
        if told:
            self.told_at[engine] = max(at, self.told_at.get(engine, -math.inf))

    def _dispute(self, engine: EngineKey, now: float) -> None:
        """Discount further notices of an engine by entries that it did not reply to."""
        replied_at = self.replied_at.get(engine, -math.inf)
        for sender, named in self.probes.items():
            probe = named.get(engine)
            if probe is not None and not probe.disputed and replied_at > probe.sent_at:
                self.disputed_until[sender, engine] = now + DISPUTED_SECONDS

    def named(self) -> set[EngineKey]:
        """Return the engines of which any entry has reported a failed probe."""
        return {engine for named in self.probes.values() for engine in named}

    def own_probes(self) -> dict[EngineKey, FailedProbe]:
        """Return the failed probes of this entry that the engines haven't belied."""
        return {
            engine: probe
            for engine, probe in self.probes.get(self.own_entry, {}).items()
            if not self._is_belied(engine, probe)
        }

    def cut_off(self, sizes: cabc.Mapping[str, int], now: float) -> set[str]:
        """Return the entries that have named too many engines to be believed.

        :param sizes: number of engines, by group.
        """
        for sender, named in self.probes.items():
            if _names_many(named, sizes):
                self.cut_off_until[sender] = now + CUT_OFF_SECONDS
        return {sender for sender, until in self.cut_off_until.items() if now < until}

    def avoided(
        self, sizes: cabc.Mapping[str, int], now: float
    ) -> dict[EngineKey, FailedProbe]:
        """Return the engines to avoid, each with the probe that counts longest.

        :param sizes: number of engines, by group.
        """
        self._drop_expired(now)
        avoided: dict[EngineKey, FailedProbe] = {}
        for engine, probe in self._credible(sizes, now):
            if probe.sender == self.own_entry or self._is_belied(engine, probe):
                continue
            known = avoided.get(engine)
            if known is None or known.until < probe.until:
                avoided[engine] = probe
        counts = collections.Counter(probe.group for probe in avoided.values())
        return {
            engine: probe
            for engine, probe in avoided.items()
            if counts[probe.group] < sizes.get(probe.group, 0)
        }

    def untold_replies(
        self, sizes: cabc.Mapping[str, int], now: float
    ) -> dict[EngineKey, float]:
        """Return the replies that belie a notice and that no entry has told of.

        :param sizes: number of engines, by group.
        :returns: when the engine replied, by engine; points in time.
        """
        return {
            engine: self.replied_at[engine]
            for engine, probe in self._credible(sizes, now)
            if self._is_belied(engine, probe)
            and self.told_at.get(engine, -math.inf) <= probe.sent_at
        }

    def forget(self, engine: EngineKey) -> None:
        """Drop all that is known of an incarnation that has departed."""
        for named in self.probes.values():
            named.pop(engine, None)
        self.replied_at.pop(engine, None)
        self.told_at.pop(engine, None)
        for key in [key for key in self.disputed_until if key[1] == engine]:
            del self.disputed_until[key]

    def _credible(
        self, sizes: cabc.Mapping[str, int], now: float
    ) -> cabc.Iterator[tuple[EngineKey, FailedProbe]]:
        """Yield the probes that are not disputed, of entries that are not cut off."""
        cut_off = self.cut_off(sizes, now)
        for sender, named in self.probes.items():
            if sender not in cut_off:
                for engine, probe in named.items():
                    if not probe.disputed:
                        yield engine, probe

    def _is_belied(self, engine: EngineKey, probe: FailedProbe) -> bool:
        """Return whether the engine replied to some entry after the probe was sent."""
        return self.replied_at.get(engine, -math.inf) > probe.sent_at

    def _drop_expired(self, now: float) -> None:
        for sender, named in list(self.probes.items()):
            for engine in [key for key, probe in named.items() if now >= probe.until]:
                del named[engine]
            if not named:
                del self.probes[sender]
        oldest = now - MAX_HOLD_SECONDS
        self.replied_at = {k: at for k, at in self.replied_at.items() if at > oldest}
        self.told_at = {k: at for k, at in self.told_at.items() if at > oldest}
        self.disputed_until = {
            key: until for key, until in self.disputed_until.items() if now < until
        }
        self.cut_off_until = {
            sender: until for sender, until in self.cut_off_until.items() if now < until
        }


def _names_many(
    named: cabc.Mapping[EngineKey, FailedProbe], sizes: cabc.Mapping[str, int]
) -> bool:
    """Return whether one entry names more engines than it may."""
    if len(named) > MAX_NAMED:
        return True
    counts = collections.Counter(probe.group for probe in named.values())
    return any(
        count > max(1.0, MAX_NAMED_SHARE * sizes.get(group, 0))
        for group, count in counts.items()
    )
