"""Exchange of demand and shares among all entries, over UDP.

For each group, one entry judges whether it is short of capacity and works out the
shares of the tenants: its keeper, chosen by rendezvous hashing among the entries that
the store lists. Nothing is sent until an entry sees evidence of a shortage. Its keeper
then asks all entries to report, which they do until the shortage is over. The keeper
holds nothing that outlasts it: the next one begins with the next reports. Until it has
judged them, or an entry that reaches none has judged by itself, the last shares stay in
force.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import math
import random

import msgspec

from ...policy.entry_ranking import first_entries
from ...policy.entry_ranking import stable_hash
from ...policy.scarcity import GroupShortage
from ...policy.scarcity import Report
from ...policy.scarcity import Shares
from ...telemetry import Telemetry
from ..peer_messages import Address
from ..peer_messages import PeerInbox
from ..peer_messages import Send
from ..peer_messages import ShareNotice
from ..peer_messages import ShareReport
from .group_view import MAX_NAMED_TENANTS
from .group_view import SHARES_SECONDS
from .group_view import GroupView

TICK_SECONDS = 0.25
"""Interval between two looks at all groups."""

MIN_INTERVAL_SECONDS = 1.0
"""Shortest interval between two reports of an entry about a group."""

MAX_REPORTS_PER_SECOND = 150.0
"""Reports a second that a keeper handles for a group; with more entries, the interval
grows."""

SILENT_SECONDS = 3.0
"""Time without a reply after which the deputy is asked."""

SILENT_INTERVALS = 2.5
"""The same in intervals, if that is longer: two datagrams may get lost."""

RETRY_SECONDS = 5.0
"""Time for which an entry that has not replied is not asked again."""

KEPT_INTERVALS = 2.0
"""Intervals for which a report keeps shares in force, if that is longer than they are
in force without it: until after the next report."""

FIRST_REPORT_SECONDS = 2.0 * TICK_SECONDS
"""Time after which the reports that all entries were asked for have come, beside the
time over which they are spread."""

KEEPERS = 2
"""Number of entries that are asked one after the other: the keeper and a deputy."""

MAX_KEPT_GROUPS = 64
"""Maximum number of groups that this entry judges."""


class ShareExchange:
    """Exchanges demand and shares with the other entries.

    :param own_entry: key under which this entry registers.
    :param entries: returns the addresses of all entries that may be running, by key.
    :param send: sends a datagram without blocking.
    :param views: what this entry sees of each group.
    :param kept: groups that this entry judges for all entries.
    :param alone: groups that it judges for itself, as it reaches no keeper.
    :param called_at: when entries that don't report were last asked to, by group;
        points in time.
    :param silent_until: until when entries that have not replied are not asked, by
        their keys; points in time.
    :param ranked: keeper and deputy by group, and the entries they were chosen among.
    """

    def __init__(
        self,
        own_entry: str,
        entries: cabc.Callable[[], cabc.Mapping[str, Address]],
        send: Send,
        clock: cabc.Callable[[], float],
        rng: random.Random,
        telemetry: Telemetry,
    ) -> None:
        self.own_entry = own_entry
        self.entries = entries
        self.send = send
        self.clock = clock
        self.rng = rng
        self.telemetry = telemetry
        self.views: dict[str, GroupView] = {}
        self.kept: dict[str, GroupShortage] = {}
        self.alone: dict[str, GroupShortage] = {}
        self.called_at: dict[str, float] = {}
        self.silent_until: dict[str, float] = {}
        self.ranked: dict[str, tuple[frozenset[str], list[str]]] = {}

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the messages of other entries."""
        inbox.receivers[ShareReport] = self._on_report
        inbox.receivers[ShareNotice] = self._on_notice

    async def run(self) -> None:
        """Look at all groups until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    def view(self, group: str) -> GroupView:
        """Return what this entry sees of a group."""
        view = self.views.get(group)
        if view is None:
            view = self.views[group] = GroupView(group, self.telemetry)
        return view

    def tick(self) -> None:
        """Send the reports that are due, judge groups, and ask for missing reports."""
        now = self.clock()
        interval = self._interval()
        self._forget_departed()
        for view in self.views.values():
            view.watch(now)
            if view.is_watched(now) and now >= view.next_report_at:
                view.next_report_at = now + interval
                self._report(view, now)
        for group, shortage in list(self.kept.items()):
            if not shortage.is_watched(now):
                del self.kept[group]
                self.called_at.pop(group, None)
            else:
                self._lead(group, shortage, now)

    def _forget_departed(self) -> None:
        """Forget which entries were silent that are gone.

        One that returns under its name would otherwise count as silent at once.
        """
        entries = self.entries()
        for view in self.views.values():
            for entry in view.asked_since.keys() - entries.keys():
                del view.asked_since[entry]
        for entry in self.silent_until.keys() - entries.keys():
            del self.silent_until[entry]

    def _lead(self, group: str, shortage: GroupShortage, now: float) -> None:
        """Judge a group for all entries, and tell them."""
        was_short = shortage.is_short
        seconds = MIN_INTERVAL_SECONDS
        if not shortage.is_judged:
            seconds = FIRST_REPORT_SECONDS + self._spread_seconds()
        if now >= shortage.judged_at + seconds:
            shortage.judge(now, self._interval())
        begins = shortage.is_short and not was_short
        if begins or now >= self.called_at.get(group, -math.inf) + self._interval():
            self.called_at[group] = now
            self._call(group, shortage, now, to_all=begins)

    def _spread_seconds(self) -> float:
        """Return over how many seconds the entries spread their first reports."""
        return len(self.entries()) / MAX_REPORTS_PER_SECOND

    def _interval(self) -> float:
        """Return the interval between two reports of an entry about a group."""
        return max(MIN_INTERVAL_SECONDS, len(self.entries()) / MAX_REPORTS_PER_SECOND)

    def _report(self, view: GroupView, now: float) -> None:
        # A deputy judges the group in place of a silent keeper later than shares last
        # without a reply. All tenants would be admitted in between.
        kept_seconds = max(SHARES_SECONDS, KEPT_INTERVALS * self._interval())
        view.keep_shares(now + kept_seconds)
        report = view.report(now)
        keeper = self._keeper(view, now)
        if keeper == self.own_entry:
            self.alone.pop(view.group, None)
            self._keep(self.own_entry, view.group, report, now)
            self._apply_own(view, self.kept.get(view.group), now)
        elif keeper is not None:
            self.alone.pop(view.group, None)
            # Its address may have lapsed since it was ranked.
            address = self.entries().get(keeper)
            if address is not None:
                view.asked_since.setdefault(keeper, now)
                message = ShareReport(
                    self.own_entry, view.group, **msgspec.structs.asdict(report)
                )
                self.send(msgspec.msgpack.encode(message), address)
        else:
            shortage = self.alone.setdefault(view.group, GroupShortage(now))
            shortage.on_report(self.own_entry, report, now)
            shortage.judge(now, self._interval())
            self._apply_own(view, shortage, now)

    def _keeper(self, view: GroupView, now: float) -> str | None:
        """Return the entry that judges a group; ``None`` if no reply comes from any."""
        for keeper in self._ranked(view.group):
            if keeper == self.own_entry or not self._is_silent(keeper, view, now):
                return keeper
        return None

    def _ranked(self, group: str) -> list[str]:
        """Return the keeper of a group and its deputy.

        Ranking 300 entries takes 1.6 ms, so it is done only when they change.
        """
        entries = frozenset((self.own_entry, *self.entries()))
        known, ranked = self.ranked.get(group, (frozenset(), []))
        if entries != known:
            ranked = first_entries(KEEPERS, entries, stable_hash(group))
            self.ranked[group] = entries, ranked
        return ranked

    def _is_silent(self, keeper: str, view: GroupView, now: float) -> bool:
        if now < self.silent_until.get(keeper, -math.inf):
            return True
        seconds = max(SILENT_SECONDS, SILENT_INTERVALS * self._interval())
        if now < view.asked_since.get(keeper, now) + seconds:
            return False
        self.silent_until[keeper] = now + RETRY_SECONDS
        del view.asked_since[keeper]
        return True

    def _keep(self, entry: str, group: str, report: Report, now: float) -> None:
        """Record a report about a group that this entry judges."""
        shortage = self.kept.get(group)
        if shortage is not None and shortage.is_outdated(now):
            del self.kept[group]
            shortage = None
        if shortage is None:
            is_cause = report.alarmed or report.short
            if len(self.kept) >= MAX_KEPT_GROUPS or not is_cause:
                return
            shortage = self.kept[group] = GroupShortage(now)
        shortage.on_report(entry, report, now)

    def _apply_own(
        self, view: GroupView, shortage: GroupShortage | None, now: float
    ) -> None:
        """Apply the shares that this entry has worked out."""
        if shortage is None:
            return
        if not shortage.is_judged:
            view.on_undecided(now)
            return
        shares = shortage.shares(view.reported, MAX_NAMED_TENANTS)
        view.on_shares(
            shares, short=shortage.is_short, watched=shortage.is_watched(now), now=now
        )

    def _call(
        self, group: str, shortage: GroupShortage, now: float, *, to_all: bool
    ) -> None:
        """Send the shares to the entries that have not reported lately, or to all."""
        message = self._notice(group, shortage, shortage.shares((), MAX_NAMED_TENANTS))
        latest = now - 2.0 * self._interval()
        for entry, address in self.entries().items():
            _, reported_at = shortage.reports.get(entry, (None, -math.inf))
            if entry != self.own_entry and (to_all or reported_at < latest):
                self.send(message, address)
        if (view := self.views.get(group)) is not None:
            view.on_call(now)
            # A deputy knows the reports of those entries only that reach no keeper.
            if to_all and self._keeper(view, now) == self.own_entry:
                self._apply_own(view, shortage, now)

    def _notice(self, group: str, shortage: GroupShortage, shares: Shares) -> bytes:
        notice = ShareNotice(
            self.own_entry,
            group,
            shortage.is_watched(self.clock()),
            shortage.is_short,
            dict(shares.fractions),
            shares.rest,
            shortage.is_judged,
        )
        return msgspec.msgpack.encode(notice)

    def _on_report(self, message: ShareReport, address: Address) -> None:
        now = self.clock()
        self._keep(message.sender, message.group, message, now)
        shortage = self.kept.get(message.group)
        if shortage is None:
            notice = ShareNotice(self.own_entry, message.group, False, False, {}, 1.0)
            self.send(msgspec.msgpack.encode(notice), address)
            return
        shares = shortage.shares(message.demands, MAX_NAMED_TENANTS)
        self.send(self._notice(message.group, shortage, shares), address)

    def _on_notice(self, message: ShareNotice, address: Address) -> None:
        now = self.clock()
        view = self.views.get(message.group)
        if view is None:
            # This entry has had no request for the group; it has nothing to report.
            return
        self.silent_until.pop(message.sender, None)
        view.asked_since.pop(message.sender, None)
        if message.sender != self._keeper(view, now):
            # A deputy knows the reports of those entries only that reach no keeper.
            return
        if not view.is_watched(now):
            # All entries are asked at the same moment.
            delay = self.rng.uniform(0.0, self._spread_seconds())
            view.next_report_at = now + delay
        if not message.judged:
            view.on_undecided(now)
            return
        view.on_shares(
            Shares(message.fractions, message.rest),
            short=message.short,
            watched=message.watched,
            now=now,
        )
