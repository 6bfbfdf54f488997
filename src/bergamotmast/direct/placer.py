"""Placement of requests: keeps a load tracker per upstream and applies the policy."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import heapq
import random
import typing as t
import zlib

from ..errors import RequestError
from ..errors import ResultCode
from ..model import Role
from ..policy.decisions import ALL_DECISIONS
from ..policy.decisions import Decisions
from ..policy.direct_placement import EngineCandidate
from ..policy.direct_placement import Placement
from ..policy.direct_placement import choose_decode_engine
from ..policy.direct_placement import place_prompt
from ..policy.direct_placement import prefill_priority
from ..policy.engine_load import EngineLoadTracker
from ..policy.engine_memory import needed_tokens
from ..policy.group_times import GroupPrefillTimes
from ..policy.plain_placement import PlainUpstreamLoad
from ..policy.prefix_cache import PrefillKey
from ..policy.reachability import Reachability
from ..telemetry import NullTelemetry
from .capacity_switch import CapacitySwitch
from .engine_memory import EngineMemoryWatch
from .engine_speed_log import EngineSpeedLog
from .features import Features
from .fleet import Fleet
from .incarnations import Incarnations
from .learned_capacity import LearnedCapacity
from .model import Call
from .model import CallTraits
from .model import Group
from .model import Upstream
from .model import UpstreamKey
from .ports import LoadHint
from .prefill_notice import MeasuredPrefillNotice

MIN_TRANSFER_TOKENS = 400
"""Shortest prefix, in tokens, that is transferred from another engine instead of being
prefilled: it takes 8 ms to prefill and less than 3 ms to transfer."""


class UpstreamsLimitedError(RequestError):
    """No upstream takes a request in time, as all suitable ones limit their requests.

    :param upstreams: the suitable upstreams.
    """

    def __init__(self, upstreams: cabc.Collection[Upstream]) -> None:
        super().__init__(ResultCode.UPSTREAMS_LIMITED)
        self.upstreams = upstreams


class UpstreamsRestingError(UpstreamsLimitedError):
    """All suitable upstreams have asked this entry for rest."""


class Permits(t.Protocol):
    """The permits of one request to be sent to upstreams that limit their requests."""

    def is_obtainable(self, upstream: Upstream, now: float) -> bool:
        """Return whether the request may get a permit in time."""
        ...

    def wait(self, upstream: Upstream, now: float) -> float:
        """Return for how many seconds the request would wait at least for a permit."""
        ...

    def holds(self, upstream: Upstream, now: float) -> bool:
        """Return whether a permit is held that may still be used."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixLookup:
    """Result of a prefix-cache lookup for a prompt at one engine.

    :param uncached_tokens: tokens to prefill.
    :param transferred_tokens: tokens before them to transfer from another engine.
    :param prefix_source: address of the engine to transfer the prefix from; empty if
        nothing is to be transferred.
    """

    uncached_tokens: int
    transferred_tokens: int
    prefix_source: str


class RequestPlacer:
    """Chooses upstreams by the load that this entry and its peers have placed on them.

    :param name: name of this entry.
    :param zone: availability zone of this entry.
    :param engine_loads: load trackers of engines.
    :param prefill_times: learned prefill times, by group.
    :param plain_loads: load trackers of plain upstreams.
    :param by_hash: keys of engines by the hash used in notices.
    :param last_number: number of this entry's last prefill.
    :param memory_watch: reports full engines; ``None`` if the engines' memory is not
        regarded.
    :param learned: what is known of the load that upstreams handle well.
    :param capacity: groups in which entries learn the engines' speeds together.
    :param reachability: which upstreams respond.
    :param incarnations: which incarnations of engines answer, if that is asked for.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        zone: str,
        rng: random.Random,
        decisions: Decisions = ALL_DECISIONS,
        learned: LearnedCapacity | None = None,
    ) -> None:
        self.decisions = decisions
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.rng = rng
        self.engine_loads: dict[UpstreamKey, EngineLoadTracker] = {}
        self.prefill_times: dict[str, GroupPrefillTimes] = {}
        self.plain_loads: dict[UpstreamKey, PlainUpstreamLoad] = {}
        self.by_hash: dict[int, UpstreamKey] = {}
        self.last_number = 0
        self.memory_watch: EngineMemoryWatch | None = None
        self.learned = learned or LearnedCapacity(
            fleet, "off", Features(), NullTelemetry(), rng
        )
        self.capacity: CapacitySwitch = self.learned
        self.reachability = Reachability()
        self.incarnations: Incarnations | None = None
        self.speed_log = EngineSpeedLog()

    def engine_load(self, upstream: Upstream) -> EngineLoadTracker:
        """Return the load tracker of an engine."""
        key = upstream.key
        tracker = self.engine_loads.get(key)
        if tracker is None:
            self._forget_departed()
            engine = self.fleet.group(upstream.group).engine
            prefill_times = self.group_times(upstream.group)
            kv_capacity = engine.kv_capacity if engine else 1
            tracker = EngineLoadTracker(
                kv_capacity, prefill_times, self.rng.getrandbits(32)
            )
            self.engine_loads[key] = tracker
            self.by_hash[upstream_hash(upstream)] = key
        tracker.role = upstream.role or Role.MIXED
        return tracker

    def group_times(self, group: str) -> GroupPrefillTimes:
        """Return the prefill times of a group's engines."""
        times = self.prefill_times.get(group)
        if times is None:
            times = self.prefill_times[group] = GroupPrefillTimes(group)
        times.shared = self.capacity.is_on(group)
        return times

    def plain_load(self, upstream: Upstream) -> PlainUpstreamLoad:
        """Return the load tracker of a plain upstream."""
        key = upstream.key
        tracker = self.plain_loads.get(key)
        if tracker is None:
            self._forget_departed()
            tracker = self.plain_loads[key] = PlainUpstreamLoad()
        return tracker

    def new_prefill_key(self) -> PrefillKey:
        """Return a key for a prefill that this entry is about to start."""
        self.last_number += 1
        return self.name, self.last_number

    def on_load(self, upstream: Upstream, load: LoadHint) -> None:
        """Apply the load that an upstream has reported in a reply."""
        if not self.decisions.load_hints:
            return
        now = asyncio.get_running_loop().time()
        self.learned.on_load(upstream, load, now)
        if upstream.role is not None:
            self.engine_load(upstream).hint(
                load.running, load.waiting, now, load.slowness
            )
        else:
            self.plain_load(upstream).hint(load.running, load.waiting, now)

    def on_notice(self, sender: str, notice: MeasuredPrefillNotice, now: float) -> None:
        """Apply another entry's notice about a prefill."""
        tracker = self.engine_loads.get(self.by_hash.get(notice.engine, ("", "")))
        if tracker is None:
            return
        key = (sender, notice.number)
        if notice.tokens:
            seconds = tracker.occupied_seconds(notice.tokens, notice.cached, now)
            tracker.begin(
                key, seconds, notice.priority, now, goes_first=notice.goes_first
            )
            tracker.prefix.expect(key, notice.all_parts(key))
        else:
            tracker.end(key, now, done=notice.done)
            if notice.done:
                tracker.last_reply_at = now
                self.reachability.on_reply(self.by_hash[notice.engine], now)
                self._learn_from(tracker, notice, now)

    def _learn_from(
        self, tracker: EngineLoadTracker, notice: MeasuredPrefillNotice, now: float
    ) -> None:
        """Learn from a prefill that another entry has measured."""
        if notice.seconds and self.decisions.learning:
            if self.group_times(tracker.prefill_times.group).shared:
                tracker.learn(notice.prefilled, notice.cached, notice.seconds, now)
                name, _ = self.by_hash[notice.engine]
                self.speed_log.on_learned(name, tracker, now, own=False)

    def lookup_prefix(self, call: Call, upstream: Upstream) -> PrefixLookup:
        """Return how much of a prompt an engine would have to prefill, as estimated."""
        now = asyncio.get_running_loop().time()
        members = self.not_excluded(call, (), now, upstream.build)
        replicas = self._prefix_replicas(call, members)
        return self._lookup_prefix(
            call, upstream, replicas, _best_sources(members, replicas)
        )

    def priority(self, call: Call, tokens: int) -> int:
        """Return the engines' priority for the prefill of a prompt.

        :param tokens: tokens to prefill.
        """
        return prefill_priority(
            call.rank, tokens, self.decisions, goes_first=call.goes_first
        )

    def _prefix_replicas(self, call: Call, members: list[Upstream]) -> dict[str, int]:
        """Return the tokens of a prompt's prefix that each engine could transfer.

        One that may have started anew has lost its prefixes.
        """
        return {
            m.name: self.engine_load(m).prefix.transferable_tokens(call.parts)
            if self.incarnations is None or not self.incarnations.is_doubted(m)
            else 0
            for m in members
        }

    def place_stream(
        self,
        call: Call,
        excluded: cabc.Collection[str],
        build: str | None,
        permits: Permits,
    ) -> tuple[Upstream | None, Upstream, Placement]:
        """Return the prefill engine, the decode engine and the placement of a stream.

        The prefill engine is ``None`` if the decode engine prefills the prompt itself.

        :param excluded: names of engines to exclude.
        :param build: the build that both must have; ``None`` for any.
        :raises UpstreamsLimitedError: if no decode engine takes it in time.
        :raises RequestError: if there is no decode engine.
        """
        now = asyncio.get_running_loop().time()
        suitable = self.not_excluded(call, excluded, now, build)
        members = [m for m in suitable if permits.is_obtainable(m, now)]
        if build is None:
            members = self._at_recorded_builds(call.group.name, members)
        by_name = {member.name: member for member in members}
        candidates = self._candidates(call, members, now, permits)
        tightest = self.fleet.tightest_objective(call.group.name)
        placement = place_prompt(
            candidates,
            call.route.objective,
            tightest,
            self.decisions,
            zone_first=self.zone_first,
        )
        if placement is None:
            raise self.no_upstream_error(
                call, [m for m in suitable if m.role is not Role.PREFILL]
            )
        prefill_upstream = (
            by_name[placement.prefill_engine] if placement.prefill_engine else None
        )
        return prefill_upstream, by_name[placement.decode_engine], placement

    def place_decode(
        self,
        call: Call,
        excluded: cabc.Collection[str],
        build: str,
        permits: Permits,
    ) -> Upstream | None:
        """Return the decode engine for a request that was prefilled elsewhere, if any.

        One that the request holds a permit for is preferred.

        :param excluded: names of engines to exclude.
        :param build: build of the engine that has prefilled it.
        """
        now = asyncio.get_running_loop().time()
        members = self.not_excluded(call, excluded, now, build)
        decode_engines = [
            member
            for member in members
            if member.role is not Role.PREFILL and permits.is_obtainable(member, now)
        ]
        held = [member for member in decode_engines if permits.holds(member, now)]
        chosen = choose_decode_engine(
            self._candidates(call, held or decode_engines, now, permits),
            zone_first=self.zone_first,
        )
        if chosen is None:
            return None
        return next(member for member in decode_engines if member.name == chosen.name)

    def _at_recorded_builds(
        self, group: str, members: list[Upstream]
    ) -> list[Upstream]:
        """Return the engines of the builds at which a new stream may begin.

        A stream at a build that the store doesn't name would be unknown after the end
        of all entries. Without a decode engine of a recorded build it begins all the
        same, as it would not be served otherwise.
        """
        recorded = self.fleet.build_history.recorded_builds(group)
        allowed = [member for member in members if member.build in recorded]
        if any(member.role is not Role.PREFILL for member in allowed):
            return allowed
        return members

    def no_upstream_error(
        self, call: Call, suitable: cabc.Collection[Upstream]
    ) -> RequestError:
        """Return the error of a request that no upstream can be chosen for.

        :param suitable: upstreams that would be chosen if they didn't limit their
            requests.
        """
        if suitable:
            return UpstreamsLimitedError(suitable)
        now = asyncio.get_running_loop().time()
        resting = [
            member
            for member in self.fleet.resting_members(call.group.name, now)
            if member.role is not Role.PREFILL
        ]
        if resting:
            return UpstreamsRestingError(resting)
        return RequestError(ResultCode.NO_UPSTREAM)

    def not_excluded(
        self,
        call: Call,
        excluded: cabc.Collection[str],
        now: float,
        build: str | None = None,
    ) -> list[Upstream]:
        """Return the upstreams that a request may be sent to.

        :param excluded: names of upstreams to exclude.
        :param build: the build that they must have; ``None`` for any.
        """
        return [
            member
            for member in self.fleet.members(call.group.name, now)
            if member.name not in excluded and build in (None, member.build)
        ]

    def _candidates(
        self, call: Call, members: list[Upstream], now: float, permits: Permits
    ) -> list[EngineCandidate]:
        """Return the members that may be chosen, with their predicted load."""
        candidates = []
        self.group_times(call.group.name)
        all_members = self.fleet.members(call.group.name, now)
        replicas = self._prefix_replicas(call, all_members)
        # A KV cache can only be imported by an engine of the build that wrote it.
        sources = {
            build: _best_sources([m for m in all_members if m.build == build], replicas)
            for build in {member.build for member in members}
        }
        for member in self._not_cooling_down(members, now):
            tracker = self.engine_load(member)
            lookup = self._lookup_prefix(call, member, replicas, sources[member.build])
            uncached = lookup.uncached_tokens
            priority = self.priority(call, uncached)
            wait = tracker.wait(priority, now)
            if self.decisions.urgent_load:
                wait = tracker.expected_wait(priority, now)
            candidates.append(
                EngineCandidate(
                    member.name,
                    member.role or Role.MIXED,
                    self.counts_as_same_zone(member),
                    wait + permits.wait(member, now),
                    tracker.prefill_seconds(
                        uncached, call.traits.prompt_tokens - uncached, now
                    ),
                    tracker.slowdown(now),
                    tracker.running_decodes(now),
                    tracker.prefill_times.transfers.times.seconds(
                        call.traits.prompt_tokens, 0
                    ),
                    tracker.occupied_seconds(lookup.transferred_tokens, 0, now)
                    if self.decisions.copies
                    else 0.0,
                    tracker.tie_break,
                    uncached,
                    priority,
                    member.build,
                    self._is_full(call, tracker),
                    self._decode_weight(call.group, member, now),
                    _usual_slots(call.group, member),
                )
            )
        self._report_full(call.group.name, candidates, now)
        return candidates

    def _is_full(self, call: Call, tracker: EngineLoadTracker) -> bool:
        """Return whether an engine's memory is to be spared a request."""
        traits = call.traits
        tokens = needed_tokens(traits.prompt_tokens, traits.max_tokens)
        return self.memory_watch is not None and not tracker.has_room(tokens)

    def _report_full(
        self, group: str, candidates: list[EngineCandidate], now: float
    ) -> None:
        if self.memory_watch is None:
            return
        decoding = [c.full for c in candidates if c.role is not Role.PREFILL]
        self.memory_watch.on_candidates(group, sum(decoding), len(decoding), now)

    def _decode_weight(self, group: Group, engine: Upstream, now: float) -> float:
        """Return how much one decode loads an engine, relative to its group's others.

        An engine with half the speed or half the slots handles half as many well.
        """
        tracker = self.engine_load(engine)
        if not tracker.prefill_times.shared:
            return 1.0
        slots = _usual_slots(group, engine)
        return tracker.time_factor(now) * slots / max(1, engine.slots)

    def _not_cooling_down(self, members: list[Upstream], now: float) -> list[Upstream]:
        """Return the engines that are not cooling down after a failure.

        Decode engines are all kept if every one of them is cooling down. An engine that
        has refused one request may accept the next; if all of them have refused one at
        the same time, excluding them all would refuse every request for the duration of
        the cool-down.

        Engines that other entries find unresponsive are left out, too, unless no decode
        engine remains: this entry's own cool-downs then decide.
        """
        if not self.decisions.leaving_alone:
            return members
        eligible = [m for m in members if now >= self.engine_load(m).avoided_until]
        if any(member.role is not Role.PREFILL for member in eligible):
            return eligible
        eligible = [m for m in members if now >= self.engine_load(m).cool_down_until]
        if any(member.role is not Role.PREFILL for member in eligible):
            return eligible
        decode_engines = [m for m in members if m.role is not Role.PREFILL]
        return eligible + decode_engines

    def _lookup_prefix(
        self,
        call: Call,
        upstream: Upstream,
        replicas: dict[str, int],
        sources: list[Upstream],
    ) -> PrefixLookup:
        """Look a prompt's prefix up at one engine and at the best sources for it.

        :param replicas: transferable tokens of the prefix, by engine.
        :param sources: engines to consider as a source of a transfer.
        """
        cached = self.engine_load(upstream).prefix.expected_cached_tokens(call.parts)
        prefix_tokens, source = cached, ""
        others = sources if self.decisions.fetching else []
        for other in others:
            replica = replicas[other.name]
            if (
                other.name != upstream.name
                and replica >= prefix_tokens + MIN_TRANSFER_TOKENS
            ):
                prefix_tokens, source = replica, other.address
        return PrefixLookup(
            max(1, call.traits.prompt_tokens - prefix_tokens),
            prefix_tokens - cached,
            source,
        )

    def counts_as_same_zone(self, upstream: Upstream) -> bool:
        """Return whether to treat an upstream as being in this availability zone."""
        return upstream.zone == self.zone or not self.decisions.zone_preference

    @property
    def zone_first(self) -> bool:
        """Whether requests leave this availability zone only if it lacks capacity."""
        return self.learned.features.scarcity and self.decisions.zone_preference

    def is_ejected(self, upstream: Upstream, now: float) -> bool:
        """Return whether a plain upstream is ejected."""
        return self.decisions.ejection and self.plain_load(upstream).is_ejected(now)

    def _forget_departed(self) -> None:
        present = {
            record.upstream.key for record in self.fleet.upstream_records.values()
        }
        self.engine_loads = {
            key: load for key, load in self.engine_loads.items() if key in present
        }
        self.learned.forget(self.plain_loads.keys() - present)
        self.plain_loads = {
            key: load for key, load in self.plain_loads.items() if key in present
        }
        self.by_hash = {h: k for h, k in self.by_hash.items() if k in present}
        self.reachability.keep(present)


def _usual_slots(group: Group, engine: Upstream) -> int:
    """Return the slots of a group's engines, or of one engine if they are unknown."""
    return group.engine.slots if group.engine else engine.slots


def _best_sources(members: list[Upstream], replicas: dict[str, int]) -> list[Upstream]:
    """Return the two engines with the longest replicas of a prompt's prefix.

    Two are enough: an engine does not transfer from itself, so its best source is the
    first of them or, for the first one, the second. Comparing every pair of engines
    would make the cost of a placement quadratic in their number.

    :param replicas: transferable tokens of the prefix, by engine.
    """
    return heapq.nlargest(2, members, key=lambda member: replicas[member.name])


def shared_parts(traits: CallTraits) -> tuple[tuple[int, int], ...]:
    """Return the hash and the length in tokens of each part of a prompt, in order."""
    return tuple((_hash(part.key), part.tokens) for part in traits.parts)


def upstream_hash(upstream: Upstream) -> int:
    """Return the hash that identifies an upstream's incarnation in notices."""
    return incarnation_hash(upstream.key)


def incarnation_hash(key: UpstreamKey) -> int:
    """Return the hash that identifies an incarnation in datagrams."""
    name, boot = key
    return _hash(f"{name}/{boot}")


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
