"""An entry's view of the configuration, the upstreams and the other entries."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import enum
import logging
import typing as t

import msgspec

from ..errors import ConfigError
from ..model import Role
from ..policy.entry_share import EntryShare
from ..ports import KeyValue
from ..protocol.plan import ENGINES_PREFIX
from ..protocol.plan import decode_engine_plan
from ..protocol.plan import engine_of_key
from .addresses import datagram_address
from .build_history import BUILDS_KEY
from .build_history import RETENTION_SECONDS
from .build_history import BuildHistory
from .model import Group
from .model import Upstream
from .model import UpstreamKey
from .ports import Directory
from .presence import PRESENCE_PREFIX
from .registrations import decode_registration
from .resting_upstreams import RestingUpstreams
from .routing import RouteTable
from .said_leaving import SaidLeaving
from .store_progress import AppliedRevision
from .unregistered_builds import RegisteredIncarnations
from .upstream_records import PlannedRole
from .upstream_records import UpstreamRecord

logger = logging.getLogger(__name__)

MISSING_UPSTREAM_GRACE_SECONDS = 2.0
"""How long an upstream whose registration lapsed during an outage is still used.

The platform restores the registrations of live upstreams within about two seconds of
the store's return; an upstream that is missing after that is gone.
"""


TYPICAL_ROLE_CHANGE_SECONDS = 3.2
"""Typical time from an order to the first request under the new role."""

DEPARTED_RETENTION_SECONDS = 60.0
"""How long a departed upstream is remembered, to recognize its registration after a
restore of the store from a backup that is a few seconds old. This does not depend on
how long streams of its build may go on."""


LAPSED_ADDRESS_SECONDS = 10.0
"""How long the address of an entry with a lapsed registration is kept: after an outage
that has ended all leases, entries register again within some seconds."""


class KeyListener(t.Protocol):
    """Receiver of the keys below one prefix."""

    def put(self, item: KeyValue) -> None:
        """Apply one key's new value."""
        ...

    def remove(self, key: str) -> None:
        """Apply a key's removal."""
        ...

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply a snapshot of all keys below the prefix.

        :param restored: whether the store was restored from a backup before.
        """
        ...


class ReadReason(enum.Enum):
    """Why all keys are read; determines how missing upstreams are handled.

    ``RESYNC`` is a read on startup or after a watch that ended without an outage.
    """

    RESYNC = "resync"
    OUTAGE = "outage"
    RESTORE = "restore"


class Fleet:
    """The state of the store as of the last read or watch event.

    :param own_entry: key under which this entry registers.
    :param table: routes in force; ``None`` before the first configuration.
    :param upstreams_loaded: whether the upstreams have been loaded once.
    :param upstream_records: registered upstreams, by key.
    :param departed: when the record of a departed upstream expires, by key and boot;
        points in time.
    :param incarnations: builds of the incarnations that have registered.
    :param said_leaving: upstreams that have said in a reply that they leave.
    :param resting: upstreams that have asked this entry for rest.
    :param build_history: builds at which streams may have begun.
    :param outdated_revisions: revisions of outdated registrations in a restored store,
        by key.
    :param undecodable: the errors of registrations that can't be decoded, by key.
    :param planned_roles: roles assigned by the plan, by engine.
    :param entries: datagram addresses of the registered entries, by key.
    :param lapsed_entries: addresses of entries whose registration has lapsed, and until
        when these are kept, by key; points in time.
    :param entry_share: this entry's share of budgets common to all entries.
    :param on_removal: callbacks for the removal of an existing key, by key.
    :param on_departed: callbacks for an incarnation that has departed.
    :param on_registered: callbacks for each registration, and for an incarnation that
        has answered before its own.
    :param existing_keys: keys of ``on_removal`` that the store is known to hold.
    :param listeners: receivers of keys that are none of the fleet's, by prefix.
    :param first_ready: set once requests can be routed for the first time.
    :param in_sync: whether changes of the store are being received.
    :param applied: up to where they are applied.
    """

    def __init__(
        self,
        directory: Directory,
        clock: cabc.Callable[[], float],
        own_entry: str = "",
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.table: RouteTable | None = None
        self.upstreams_loaded = False
        self.upstream_records: dict[str, UpstreamRecord] = {}
        self.departed: dict[tuple[str, str], float] = {}
        self.incarnations = RegisteredIncarnations(clock)
        self.said_leaving = SaidLeaving()
        self.resting = RestingUpstreams(clock)
        self.build_history = BuildHistory(
            clock, self.registered_builds, self.incarnations.build
        )
        self.outdated_revisions: dict[str, int] = {}
        self.undecodable: dict[str, str] = {}
        self.planned_roles: dict[str, PlannedRole] = {}
        self.entries: dict[str, tuple[str, int]] = {}
        self.lapsed_entries: dict[str, tuple[tuple[str, int], float]] = {}
        self.entry_share = EntryShare(own_entry)
        self.on_removal: dict[str, cabc.Callable[[], None]] = {}
        self.on_departed: list[cabc.Callable[[Upstream], None]] = []
        self.on_registered: list[cabc.Callable[[Upstream], None]] = []
        self.existing_keys: set[str] = set()
        self.listeners: dict[str, KeyListener] = {BUILDS_KEY: self.build_history}
        self.first_ready = asyncio.Event()
        self.in_sync = False
        self.applied = AppliedRevision()

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.table is not None and self.upstreams_loaded

    @property
    def generation(self) -> int:
        """Generation of the configuration in force; 0 before the first one."""
        return self.table.routing.generation if self.table else 0

    def group(self, name: str) -> Group:
        """Return a group, a plain one if the configuration does not describe it."""
        assert self.table is not None
        return self.table.routing.groups.get(name) or Group(name)

    def engine_groups(self) -> list[str]:
        """Return the names of the groups of engines."""
        assert self.table is not None
        groups = self.table.routing.groups.values()
        return [group.name for group in groups if group.engine is not None]

    def tightest_objective(self, group: str) -> float:
        """Return the lowest latency objective of a group's streams, in seconds."""
        assert self.table is not None
        return self.table.tightest_objective(group)

    def present(self, group: str, now: float) -> list[Upstream]:
        """Return the upstreams of a group that are registered and not leaving."""
        return [
            record.upstream
            for record in self.upstream_records.values()
            if record.upstream.group == group
            and not record.upstream.leaving
            and (record.gone_at is None or now < record.gone_at)
        ]

    def takes_requests(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream that was chosen earlier may still be sent to."""
        record = self.upstream_records.get(self._key(upstream))
        return (
            record is not None
            and record.upstream.boot == upstream.boot
            and not record.upstream.leaving
            and (record.gone_at is None or now < record.gone_at)
            and self.resting.ends_at(upstream) is None
        )

    def _key(self, upstream: Upstream) -> str:
        """Return the key under which an upstream registers."""
        return self.directory.upstream_prefix + upstream.name

    def registered_builds(self, group: str) -> set[str]:
        """Return the builds of a group whose upstreams are registered.

        One whose registration lapsed in an outage counts while its streams may go on.
        """
        now = self.clock()
        return {
            record.upstream.build
            for record in self.upstream_records.values()
            if record.upstream.group == group
            and (record.gone_at is None or now < record.gone_at + RETENTION_SECONDS)
        }

    def knows_all_builds(self, group: str) -> bool:
        """Return whether no build of a group can have streams without being known."""
        return self.in_sync and self.build_history.is_complete(group)

    def stream_groups(self) -> frozenset[str]:
        """Return the names of the groups that stream responses."""
        return frozenset() if self.table is None else self.table.stream_groups

    def registered(self, name: str) -> Upstream | None:
        """Return an upstream as it is registered, or ``None``."""
        record = self.upstream_records.get(self.directory.upstream_prefix + name)
        return None if record is None else record.upstream

    def is_registered(self, key: UpstreamKey) -> bool:
        """Return whether an incarnation is registered: replies may outlast it."""
        name, boot = key
        registered = self.registered(name)
        return registered is not None and registered.boot == boot

    def members(self, group: str, now: float) -> list[Upstream]:
        """Return the upstreams of a group that are eligible for new requests."""
        unchanging = self._unchanging(group, now)
        return [u for u in unchanging if self.resting.ends_at(u) is None]

    def resting_members(self, group: str, now: float) -> list[Upstream]:
        """Return the upstreams that would be eligible if they didn't rest."""
        unchanging = self._unchanging(group, now)
        return [u for u in unchanging if self.resting.ends_at(u) is not None]

    def _unchanging(self, group: str, now: float) -> list[Upstream]:
        """Return the present upstreams that are not changing their role."""
        return [u for u in self.present(group, now) if not self._changing(u, now)]

    def decode_available_at(
        self, group: str, now: float, build: str | None = None
    ) -> float | None:
        """Return when a group without a decode engine is expected to have one again.

        ``None`` if no engine is known to be changing to that role.

        :param build: the build that it must have; ``None`` for any.
        """
        started = [
            planned_role.at
            for upstream in self.present(group, now)
            if build in (None, upstream.build)
            and (planned_role := self.planned_roles.get(upstream.name)) is not None
            and planned_role.role is not Role.PREFILL
            and self._changing(upstream, now)
        ]
        return min(started) + TYPICAL_ROLE_CHANGE_SECONDS if started else None

    def _changing(self, upstream: Upstream, now: float) -> bool:
        """Return whether an engine is changing its role, during which it refuses work.

        A request sent to it would only lose time.
        """
        planned_role = self.planned_roles.get(upstream.name)
        if planned_role is None or now >= planned_role.until:
            return False
        if planned_role.boot not in ("", upstream.boot):
            # A restart voids the order.
            return False
        return planned_role.role is not upstream.role

    def put(self, item: KeyValue) -> None:
        """Apply one key's new value; a value that can't be processed is ignored."""
        try:
            self._put(item)
        except Exception:
            # An unexpected value would otherwise terminate the process, with all its
            # running requests, and every process started after it. The last known
            # state is kept until the key changes again.
            logger.exception("key cannot be processed", extra={"key": item.key})

    def _put(self, item: KeyValue) -> None:
        if item.key in self.on_removal:
            self.existing_keys.add(item.key)
        if item.key == self.directory.config_key:
            self._put_routing(item)
        elif item.key.startswith(self.directory.upstream_prefix):
            self._put_upstream(item)
        elif item.key.startswith(ENGINES_PREFIX):
            self._put_planned_role(item)
        elif item.key.startswith(PRESENCE_PREFIX):
            self._put_entry(item)
        else:
            for prefix, listener in self.listeners.items():
                if item.key.startswith(prefix):
                    listener.put(item)

    def remove(self, key: str, revision: int) -> None:
        """Apply a key's removal; a removed configuration stays in force."""
        self._forget_entry(key)
        if key in self.existing_keys:
            self._notify_removal(key)
        for prefix, listener in self.listeners.items():
            if key.startswith(prefix):
                listener.remove(key)
        record = self.upstream_records.get(key)
        self.undecodable.pop(key, None)
        if record is not None and revision > record.revision:
            del self.upstream_records[key]
            self._record_departed(key, record.upstream)
            logger.info(
                "upstream is gone",
                extra={"upstream": record.upstream.name, "revision": revision},
            )

    def replace_all(
        self,
        items: tuple[KeyValue, ...],
        now: float,
        reason: ReadReason,
        era: int = 0,
    ) -> None:
        """Replace upstreams, entries and configuration by a snapshot of all keys.

        :param era: number of restores of the store before the read.
        """
        self.build_history.store_era = era
        present = {item.key for item in items}
        for key in self.existing_keys - present:
            self._notify_removal(key)
        upstream_prefix = self.directory.upstream_prefix
        self.replace_upstreams(_items_with_prefix(upstream_prefix, items), now, reason)
        self.replace_entries(_items_with_prefix(PRESENCE_PREFIX, items))
        restored = reason is ReadReason.RESTORE
        for prefix, listener in self.listeners.items():
            listener.replace_all(_items_with_prefix(prefix, items), restored=restored)
        for item in items:
            if item.key == self.directory.config_key or item.key in self.on_removal:
                self.put(item)

    def replace_upstreams(
        self, items: tuple[KeyValue, ...], now: float, reason: ReadReason
    ) -> None:
        """Replace the upstreams by a snapshot of all their registrations.

        After an outage or a restore, missing upstreams are kept for
        :data:`MISSING_UPSTREAM_GRACE_SECONDS`.
        """
        if reason is ReadReason.RESTORE:
            outdated = filter(self._is_outdated, items)
            self.outdated_revisions = {item.key: item.mod_revision for item in outdated}
            logger.info(
                "upstreams are read after a restore of the store",
                extra={"outdated": sorted(self.outdated_revisions)},
            )
        for item in items:
            self.put(item)
        present = {item.key for item in items}
        self.undecodable = {k: e for k, e in self.undecodable.items() if k in present}
        for key in [key for key in self.upstream_records if key not in present]:
            record = self.upstream_records[key]
            if reason is ReadReason.RESYNC and record.gone_at is None:
                self.remove(key, record.revision + 1)
            elif record.gone_at is None or reason is ReadReason.RESTORE:
                record.gone_at = now + MISSING_UPSTREAM_GRACE_SECONDS
            elif now >= record.gone_at:
                self.remove(key, record.revision + 1)
        self.upstreams_loaded = True
        self.build_history.on_read()
        self._signal_ready()

    def _is_outdated(self, item: KeyValue) -> bool:
        """Return whether a restored registration is older than the known state.

        The upstream has since begun to leave, left or restarted, and requests routed by
        this registration would be lost. A live upstream rewrites its registration, and
        the watch reports that change.
        """
        try:
            upstream = decode_registration(self.directory, item)
        except ConfigError:
            return False
        if (item.key, upstream.boot) in self.departed:
            return True
        record = self.upstream_records.get(item.key)
        if record is None or record.upstream.boot != upstream.boot:
            return False
        return record.upstream.leaving and not upstream.leaving

    def _record_departed(self, key: str, upstream: Upstream) -> None:
        now = self.clock()
        expired = [k for k, expires_at in self.departed.items() if now >= expires_at]
        for expired_key in expired:
            del self.departed[expired_key]
        self.departed[key, upstream.boot] = now + DEPARTED_RETENTION_SECONDS
        self.incarnations.on_departed(upstream)
        self.build_history.note(upstream.group, upstream.build)
        for notify in self.on_departed:
            notify(upstream)

    def on_answered_as(self, upstream: Upstream, boot: str) -> None:
        """Record which incarnation has answered under an upstream's name.

        What is known of the registered one doesn't hold for another one. An answer that
        is older than the registration, or than the last answer, doesn't count.
        """
        key = self._key(upstream)
        record = self.upstream_records.get(key)
        if record is None or record.upstream.boot != upstream.boot:
            return
        if boot == upstream.boot or (key, boot) in self.departed:
            return
        self.upstream_records[key] = record.superseded(boot)
        self._record_departed(key, record.upstream)
        for notify in self.on_registered:
            notify(self.upstream_records[key].upstream)

    def on_leaving(self, upstream: Upstream) -> None:
        """Record that an upstream says in a reply that it leaves."""
        if upstream in self.said_leaving:
            return
        now = self.clock()
        registered = {r.upstream.key for r in self.upstream_records.values()}
        self.said_leaving.forget(registered, now - DEPARTED_RETENTION_SECONDS)
        self.said_leaving.add(upstream, now)
        record = self.upstream_records.get(self._key(upstream))
        if record is not None and record.upstream.boot == upstream.boot:
            record.upstream = dataclasses.replace(record.upstream, leaving=True)
        logger.info(
            "upstream says that it leaves",
            extra={
                "upstream": upstream.name,
                "group": upstream.group,
                "in_sync": self.in_sync,
            },
        )

    def replace_entries(self, items: tuple[KeyValue, ...]) -> None:
        """Replace the other entries by a snapshot of their registrations."""
        present = {item.key for item in items}
        for key in [key for key in self.entries if key not in present]:
            self._forget_entry(key)
        for item in items:
            self.put(item)

    def _notify_removal(self, key: str) -> None:
        self.existing_keys.discard(key)
        self.on_removal[key]()

    def _signal_ready(self) -> None:
        if self.ready:
            self.first_ready.set()

    def _put_entry(self, item: KeyValue) -> None:
        address = datagram_address(item.value)
        if address is None:
            logger.warning("entry's address is invalid", extra={"key": item.key})
            self._forget_entry(item.key)
        else:
            self.entries[item.key] = address
            self.lapsed_entries.pop(item.key, None)
            self.entry_share.on_registered(item.key, self.clock())

    def _forget_entry(self, key: str) -> None:
        address = self.entries.pop(key, None)
        if address is not None:
            now = self.clock()
            self.entry_share.on_lapsed(key, now)
            self.lapsed_entries[key] = (address, now + LAPSED_ADDRESS_SECONDS)

    def known_entries(self, now: float) -> dict[str, tuple[str, int]]:
        """Return the datagram addresses of all entries that may be running, by key."""
        for key, (_, until) in list(self.lapsed_entries.items()):
            if now >= until:
                del self.lapsed_entries[key]
        lapsed = {key: address for key, (address, _) in self.lapsed_entries.items()}
        return lapsed | self.entries

    def entries_with(self, own_entry: str, now: float) -> dict[str, tuple[str, int]]:
        """Return the known entries and this one, whose address is not used."""
        return {own_entry: ("", 0)} | self.known_entries(now)

    def _put_planned_role(self, item: KeyValue) -> None:
        try:
            engine_plan = decode_engine_plan(item.value)
        except msgspec.DecodeError as error:
            logger.warning(
                "plan cannot be decoded", extra={"key": item.key, "error": str(error)}
            )
            return
        name = engine_of_key(item.key)
        engine = self.registered(name)
        self.planned_roles[name] = PlannedRole(
            engine_plan.assignment.role,
            self.clock(),
            engine_plan.token,
            engine.boot if engine is not None else "",
        )
        logger.info(
            "plan is known",
            extra={"upstream": name, "role": engine_plan.assignment.role.value},
        )

    def _put_routing(self, item: KeyValue) -> None:
        try:
            routing = self.directory.decode_routing(item.value)
        except ConfigError as error:
            logger.warning(
                "configuration cannot be decoded",
                extra={"revision": item.mod_revision, "error": error.message},
            )
            return
        # A delayed reply to a read may hold an older version. Applying it would route
        # requests by a configuration that the operators have replaced.
        if routing.generation <= self.generation:
            return
        self.table = RouteTable(routing)
        self.build_history.changed.set()
        self._signal_ready()
        logger.info(
            "configuration is in force",
            extra={
                "generation": routing.generation,
                "revision": item.mod_revision,
                "routes": len(routing.routes),
            },
        )

    def _put_upstream(self, item: KeyValue) -> None:
        known = self.upstream_records.get(item.key)
        if known is not None and known.revision >= item.mod_revision:
            known.gone_at = None
            return
        if self.outdated_revisions.get(item.key) == item.mod_revision:
            return
        try:
            upstream = decode_registration(self.directory, item)
        except ConfigError as error:
            # Heartbeats rewrite registrations every second; each error is logged once.
            if self.undecodable.get(item.key) != error.message:
                self.undecodable[item.key] = error.message
                logger.warning(
                    "upstream's registration cannot be decoded",
                    extra={"key": item.key, "error": error.message},
                )
            if known is not None:
                del self.upstream_records[item.key]
                self.build_history.note(known.upstream.group, known.upstream.build)
            return
        self.undecodable.pop(item.key, None)
        if known is not None and known.superseded_boot == upstream.boot != "":
            earlier = UpstreamRecord(upstream, item.mod_revision)
            self.upstream_records[item.key] = earlier.superseded(known.upstream.boot)
            return
        if upstream in self.said_leaving:
            upstream = dataclasses.replace(upstream, leaving=True)
        self.upstream_records[item.key] = UpstreamRecord(upstream, item.mod_revision)
        self.incarnations.on_registered(upstream)
        self.build_history.on_registered(upstream.group, upstream.build)
        self.departed.pop((item.key, upstream.boot), None)
        if known is not None and known.upstream.boot != upstream.boot:
            self._record_departed(item.key, known.upstream)
        elif (
            known is not None
            and self.incarnations.build(known.upstream.build) != upstream.build
        ):
            self.build_history.note(known.upstream.group, known.upstream.build)
        for notify in self.on_registered:
            notify(upstream)
        if known is None or known.upstream != upstream:
            logger.info(
                "upstream is known",
                extra={
                    "upstream": upstream.name,
                    "group": upstream.group,
                    "address": upstream.address,
                    "leaving": upstream.leaving,
                    "build": upstream.build,
                    "role": upstream.role.value if upstream.role else "",
                    "revision": item.mod_revision,
                },
            )


def _items_with_prefix(
    prefix: str, items: tuple[KeyValue, ...]
) -> tuple[KeyValue, ...]:
    return tuple(item for item in items if item.key.startswith(prefix))
