"""What one entry knows of the fleet, for operators."""

from __future__ import annotations

import asyncio

import msgspec

from ..config.groups import selectors_by_upstream
from ..model import SideReport
from .core import EntryCore
from .peer import Peer


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream as an entry knows it.

    :param kind: ``engine`` or ``service``; empty if the instance list lacks it.
    :param labels: its labels in the configuration in force.
    :param selectors: names of the selectors whose group it is in.
    :param leaving: whether any signal says that it is leaving.
    :param connected: whether this entry has a session with its side.
    :param readiness: the side's own word; empty without a session.
    :param role: the engine's role; empty for a plain service.
    :param models: models and adapters it carries now.
    :param running: requests handed to the upstream and not ended.
    :param queued: requests waiting at its side.
    :param max_streams: most requests it takes at once.
    :param kv_free: free share of KV memory, 0 to 1.
    :param plan: ``epoch.revision`` of the plan that its side obeys; empty for none.
    :param report_age: seconds since the side was last heard.
    :param generation: configuration that the side has in force.
    """

    name: str
    kind: str
    zone: str
    labels: dict[str, str]
    selectors: tuple[str, ...]
    leaving: bool
    connected: bool = False
    readiness: str = ""
    role: str = ""
    models: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    max_streams: int = 0
    kv_free: float = 0.0
    plan: str = ""
    report_age: float = 0.0
    generation: int = 0


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet as one entry knows it.

    :param generation: configuration that the entry has in force.
    """

    entry: str
    generation: int
    upstreams: tuple[UpstreamStatus, ...]


def read_fleet(core: EntryCore) -> FleetStatus:
    """Return what an entry knows now: listed upstreams and labelled ones."""
    groups = selectors_by_upstream(core.holder.current)
    labelled = core.holder.current.labels
    names = sorted(core.membership.infos.keys() | labelled.keys())
    return FleetStatus(
        entry=core.name,
        generation=core.holder.generation,
        upstreams=tuple(
            _upstream(core, name, groups.get(name, frozenset())) for name in names
        ),
    )


def _upstream(core: EntryCore, name: str, selectors: frozenset[str]) -> UpstreamStatus:
    info = core.membership.infos.get(name)
    status = UpstreamStatus(
        name=name,
        kind=info.kind.value if info else "",
        zone=info.zone if info else "",
        labels=core.holder.current.labels.get(name, {}),
        selectors=tuple(sorted(selectors)),
        leaving=core.membership.is_leaving(name),
    )
    peer = core.membership.peers.get(name)
    if peer is None or peer.session is None or peer.report is None:
        return status
    return _with_report(status, peer, peer.report)


def _with_report(
    status: UpstreamStatus, peer: Peer, report: SideReport
) -> UpstreamStatus:
    return msgspec.structs.replace(
        status,
        connected=True,
        readiness=report.readiness.value,
        role=report.role.value if report.role else "",
        models=report.models,
        running=report.running,
        queued=report.queued,
        max_streams=report.max_streams,
        kv_free=report.kv_free,
        plan=_plan(report),
        report_age=asyncio.get_running_loop().time() - peer.reported_at,
        generation=peer.generation,
    )


def _plan(report: SideReport) -> str:
    if not report.plan_epoch:
        return ""
    return f"{report.plan_epoch}.{report.plan_revision}"
