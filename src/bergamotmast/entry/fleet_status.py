"""Status of the fleet as one entry knows it, for the administration interface."""

from __future__ import annotations

import asyncio

import msgspec

from ..config.groups import selectors_by_upstream
from ..model import SideReport
from .core import EntryCore
from .peer import Peer


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one upstream as an entry knows it.

    :param name: name of the upstream.
    :param kind: ``engine`` or ``service``; empty if the instance list lacks it.
    :param zone: its availability zone; empty if the instance list lacks it.
    :param labels: its labels in the configuration in force.
    :param selectors: names of the selectors whose group contains it.
    :param leaving: whether it is missing from the instance list, or marked as leaving
        there or in the configuration.
    :param connected: whether this entry has a session with its side.
    :param readiness: readiness that the side reports; empty without a session.
    :param role: the engine's role; empty for a plain service.
    :param models: models and adapters that are loaded.
    :param running: requests that run on the upstream.
    :param queued: requests that wait in its side's queue.
    :param max_streams: maximum number of concurrent requests.
    :param kv_free: free share of KV memory, 0 to 1.
    :param plan: ``epoch.revision`` of the plan that its side follows; empty for none.
    :param report_age: seconds since the side's last report.
    :param generation: generation of the configuration that the side has in force.
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
    """Status of the fleet as one entry knows it.

    :param entry: name of the entry.
    :param generation: generation of the configuration that the entry has in force.
    :param upstreams: all upstreams that are listed or labelled, by name.
    """

    entry: str
    generation: int
    upstreams: tuple[UpstreamStatus, ...]


def read_fleet_status(core: EntryCore) -> FleetStatus:
    """Return the status of all upstreams in the instance list or the configuration."""
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
