"""Keeps the books on upstreams and asks the policy where a request goes."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import heapq
import random
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
from ..policy.plain_placement import PlainCandidate
from ..policy.plain_placement import PlainUpstreamLoad
from ..policy.plain_placement import choose_plain_upstream
from ..policy.prefill_model import GroupPrefillTimes
from ..policy.prefix_cache import PrefillKey
from .fleet import Fleet
from .model import Call
from .model import CallTraits
from .model import Upstream
from .ports import LoadHint
from .read_notice import ReadNotice

BookKey = tuple[str, str]
"""Name and boot: what was known of an upstream is void once it restarts."""


LEAST_FETCHED = 400
"""Tokens of a prompt's beginning that are worth a fetch from another engine: they take
8 ms to read and under 3 ms to fetch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What an engine has to do for a prompt.

    :param tokens: to read.
    :param fetched: tokens before them that it has to fetch first.
    :param fetch_from: address of the engine that keeps what need not be read; empty
        where that is the engine itself.
    """

    tokens: int
    fetched: int
    fetch_from: str


class Placing:
    """Where requests go, from what this entry and its peers have sent.

    :param name: of this entry.
    :param zone: availability zone of this entry.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        zone: str,
        rng: random.Random,
        decisions: Decisions = ALL_DECISIONS,
    ) -> None:
        self.decisions = decisions
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.rng = rng
        self.engines: dict[BookKey, EngineLoadTracker] = {}
        self.reads: dict[str, GroupPrefillTimes] = {}
        self.plain: dict[BookKey, PlainUpstreamLoad] = {}
        self.by_hash: dict[int, BookKey] = {}
        self.last_number = 0

    def engine_load(self, upstream: Upstream) -> EngineLoadTracker:
        """Return what is known of an engine."""
        key = (upstream.name, upstream.boot)
        book = self.engines.get(key)
        if book is None:
            self._forget_gone()
            engine = self.fleet.group(upstream.group).engine
            reads = self.reads.setdefault(upstream.group, GroupPrefillTimes())
            kv_capacity = engine.kv_capacity if engine else 1
            book = EngineLoadTracker(kv_capacity, reads, self.rng.getrandbits(32))
            self.engines[key] = book
            self.by_hash[upstream_hash(upstream)] = key
        book.role = upstream.role or Role.MIXED
        return book

    def plain_load(self, upstream: Upstream) -> PlainUpstreamLoad:
        """Return what is known of a plain upstream."""
        key = (upstream.name, upstream.boot)
        book = self.plain.get(key)
        if book is None:
            self._forget_gone()
            book = self.plain[key] = PlainUpstreamLoad()
        return book

    def new_key(self) -> PrefillKey:
        """Return a key for a prompt that this entry is about to send."""
        self.last_number += 1
        return self.name, self.last_number

    def on_load(self, upstream: Upstream, load: LoadHint) -> None:
        """Take an upstream's word on its load."""
        if not self.decisions.load_hints:
            return
        now = asyncio.get_running_loop().time()
        if upstream.role is not None:
            self.engine_load(upstream).hint(load.running, load.waiting, now)
        else:
            self.plain_load(upstream).hint(load.running, load.waiting, now)

    def on_notice(self, sender: str, notice: ReadNotice, now: float) -> None:
        """Take another entry's word on a prompt it has sent."""
        book = self.engines.get(self.by_hash.get(notice.engine, ("", "")))
        if book is None:
            return
        key = (sender, notice.number)
        if notice.tokens:
            seconds = book.occupied_seconds(notice.tokens, notice.cached)
            book.begin(key, seconds, notice.priority, now, goes_first=notice.goes_first)
            book.prefix.expect(key, notice.all_parts(key))
        else:
            book.end(key, now, done=notice.done)
            if notice.done:
                book.last_reply_at = now

    def reading(self, call: Call, upstream: Upstream) -> Reading:
        """Return what an engine would have to read of a prompt, as far as known."""
        now = asyncio.get_running_loop().time()
        members = self.fleet.members(call.group.name, now)
        kept = self._kept(call, members)
        return self._reading(call, upstream, kept, _best_sources(members, kept))

    def priority(self, call: Call, tokens: int) -> int:
        """Return the priority with which engines read a prompt.

        :param tokens: to read.
        """
        return prefill_priority(
            call.route.rank, tokens, self.decisions, goes_first=call.goes_first
        )

    def _kept(self, call: Call, members: list[Upstream]) -> dict[str, int]:
        """Return how much of a prompt's beginning could be fetched from each engine."""
        return {
            m.name: self.engine_load(m).prefix.transferable_tokens(call.parts)
            for m in members
        }

    def choose_plain_upstream(
        self, call: Call, tried: cabc.Collection[str]
    ) -> Upstream:
        """Return the plain upstream for a request's next send.

        :raises RequestError: if there is none.
        """
        now = asyncio.get_running_loop().time()
        members = self._untried(call, tried, now)
        by_name = {member.name: member for member in members}
        views = [
            PlainCandidate(
                member.name,
                self._is_near(member),
                max(1, member.slots),
                self.plain_load(member).load(now),
                self._is_ejected(member, now),
            )
            for member in members
        ]
        chosen = choose_plain_upstream(views, self.rng)
        if chosen is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        return by_name[chosen]

    def place_stream(
        self, call: Call, tried: cabc.Collection[str]
    ) -> tuple[Upstream | None, Upstream, Placement]:
        """Return the engine that reads the prompt, if another, and the answering one.

        :raises RequestError: if there is none.
        """
        now = asyncio.get_running_loop().time()
        members = self._untried(call, tried, now)
        by_name = {member.name: member for member in members}
        views = self._views(call, members, now)
        tightest = self.fleet.tightest_objective(call.group.name)
        placement = place_prompt(views, call.route.objective, tightest, self.decisions)
        if placement is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        reader = by_name[placement.prefill_engine] if placement.prefill_engine else None
        return reader, by_name[placement.decode_engine], placement

    def answering(self, call: Call, tried: cabc.Collection[str]) -> Upstream:
        """Return the engine that answers a request whose prompt was read elsewhere.

        :raises RequestError: if there is none.
        """
        now = asyncio.get_running_loop().time()
        untried = self._untried(call, tried, now)
        able = [member for member in untried if member.role is not Role.PREFILL]
        chosen = choose_decode_engine(self._views(call, able, now))
        if chosen is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        return next(member for member in able if member.name == chosen.name)

    def _untried(
        self, call: Call, tried: cabc.Collection[str], now: float
    ) -> list[Upstream]:
        members = self.fleet.members(call.group.name, now)
        return [member for member in members if member.name not in tried]

    def _views(
        self, call: Call, members: list[Upstream], now: float
    ) -> list[EngineCandidate]:
        views = []
        everyone = self.fleet.members(call.group.name, now)
        kept = self._kept(call, everyone)
        sources = _best_sources(everyone, kept)
        for member in self._sound(members, now):
            book = self.engine_load(member)
            reading = self._reading(call, member, kept, sources)
            uncached_tokens = reading.tokens
            priority = self.priority(call, uncached_tokens)
            wait = book.wait(priority, now)
            if self.decisions.urgent_load:
                wait = book.expected_wait(priority, now)
            views.append(
                EngineCandidate(
                    member.name,
                    member.role or Role.MIXED,
                    self._is_near(member),
                    wait,
                    book.prefill_seconds(
                        uncached_tokens, call.traits.prompt_tokens - uncached_tokens
                    ),
                    book.slowdown(now),
                    book.running_decodes(now),
                    book.prefill_times.transfers.times.seconds(
                        call.traits.prompt_tokens, 0
                    ),
                    book.occupied_seconds(reading.fetched, 0)
                    if self.decisions.copies
                    else 0.0,
                    book.tie_break,
                    uncached_tokens,
                    priority,
                )
            )
        return views

    def _sound(self, members: list[Upstream], now: float) -> list[Upstream]:
        """Leave out engines that have just failed, unless no answering one were left.

        An engine that has refused one request may take the next. Where all of them
        have refused one in the same moment, leaving all alone would refuse everything
        for as long.
        """
        if not self.decisions.leaving_alone:
            return members
        sound = [m for m in members if now >= self.engine_load(m).cooldown_until]
        if any(member.role is not Role.PREFILL for member in sound):
            return sound
        answering = [m for m in members if m.role is not Role.PREFILL]
        return sound + answering

    def _reading(
        self,
        call: Call,
        upstream: Upstream,
        kept: dict[str, int],
        sources: list[Upstream],
    ) -> Reading:
        own = self.engine_load(upstream).prefix.expected_cached_tokens(call.parts)
        best, source = own, ""
        others = sources if self.decisions.fetching else []
        for other in others:
            found = kept[other.name]
            if other.name != upstream.name and found >= best + LEAST_FETCHED:
                best, source = found, other.address
        return Reading(max(1, call.traits.prompt_tokens - best), best - own, source)

    def _is_near(self, upstream: Upstream) -> bool:
        """Return whether an upstream is taken to be in this availability zone."""
        return upstream.zone == self.zone or not self.decisions.zone_preference

    def _is_ejected(self, upstream: Upstream, now: float) -> bool:
        return self.decisions.ejection and self.plain_load(upstream).is_ejected(now)

    def _forget_gone(self) -> None:
        present = {
            (seen.upstream.name, seen.upstream.boot)
            for seen in self.fleet.seen.values()
        }
        self.engines = {k: b for k, b in self.engines.items() if k in present}
        self.plain = {k: b for k, b in self.plain.items() if k in present}
        self.by_hash = {h: k for h, k in self.by_hash.items() if k in present}


def _best_sources(members: list[Upstream], kept: dict[str, int]) -> list[Upstream]:
    """Return the two engines that keep most of a prompt's beginning.

    Two are enough: an engine does not fetch from itself, so its best source is the
    first of them or, for the first one, the second. Comparing every pair of engines
    would make the cost of a placement quadratic in their number.
    """
    return heapq.nlargest(2, members, key=lambda member: kept[member.name])


def shared_parts(traits: CallTraits) -> tuple[tuple[int, int], ...]:
    """Return hash and length of the parts of a request's prompt, in order."""
    return tuple((_hash(part.key), part.tokens) for part in traits.parts)


def upstream_hash(upstream: Upstream) -> int:
    """Return the short name of an upstream's present life."""
    return _hash(f"{upstream.name}/{upstream.boot}")


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
