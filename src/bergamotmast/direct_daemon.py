"""The composition root of an entry that reaches upstreams on the users' platform."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random
import signal

import aiohttp
from aiohttp import web

from .adapters.datagrams import datagram_port
from .adapters.http_calls import client_session
from .adapters.opaque_http import HttpUpstreamClient
from .direct.context import Context
from .direct.core import DirectCore
from .direct.fleet import Fleet
from .direct.following import Follower
from .direct.front import DirectFront
from .direct.notices import Notices
from .direct.placing import Placing
from .direct.presence import Presence
from .direct.role_planner import RolePlanner
from .history import NullHistory
from .planner.authority import Authority
from .planner.plan_store import PlanStore
from .platform.directory import PlatformDirectory
from .platform.headers import PlatformDialect
from .platform.orders import PlatformOrders
from .platform.store import PlatformStore
from .settings import DirectEntrySettings
from .telemetry import NullTelemetry

logger = logging.getLogger(__name__)

BACKLOG = 1024
"""Connections waiting to be taken; an overflow costs a caller seconds."""

STILL_ROUTED_SECONDS = 3.0
"""How long after SIGTERM new connections may come: the balancer asks once a second
and takes an entry out after two refusals."""

SHUTDOWN_MARGIN_SECONDS = 0.8
"""Left between the last answer and the platform's SIGKILL."""

PLANNER_LEASE_SECONDS = 5
"""Time to live of the planner's lease: so long roles stay as they are after its end."""

FIRST_LOOK_SECONDS = 1.5
"""Bound of the first look at the lease: roles should be settled before callers come."""

MOST_PLAN_WRITES = 24
"""Engines changed by one transaction; the store takes 32 entries, three are ours."""

IDLE_CHECK_SECONDS = 0.1
"""Between two looks whether the last request is answered."""


async def serve_direct(settings: DirectEntrySettings) -> None:
    """Run an entry until it is told to end and its last answer is out."""
    logger.info("starts", extra={"zone": settings.zone})
    rng = random.Random()
    fleet = Fleet(PlatformDirectory())
    placing = Placing(fleet, settings.name, settings.zone, rng)
    host, _, port = settings.peer_address.rpartition(":")
    async with (
        HttpUpstreamClient() as client,
        _store_session() as session,
        datagram_port(host, int(port)) as peers,
    ):
        context = Context(fleet, client, PlatformDialect(), placing, rng)
        context.notices = Notices(
            settings.name, placing, fleet.entries.values, peers.send
        )
        peers.on_datagram = context.notices.receive
        core = DirectCore(context, NullTelemetry())
        front = DirectFront(core)
        store = PlatformStore(session, settings.store_address)
        presence = Presence(store, settings.name, settings.peer_address, rng)
        told = _signals()
        async with (
            _serving(front.callers(), settings.listen_address),
            _serving(front.probes(), settings.ready_address),
            _running(Follower(store, fleet, rng).run()),
            _running(presence.run()),
            _running(_planner(settings, store, context).run()),
        ):
            await told.wait()
            await _drain(core, settings.shutdown_seconds)
    logger.info("stops")


def _planner(
    settings: DirectEntrySettings, store: PlatformStore, context: Context
) -> RolePlanner:
    name = settings.name
    authority = Authority(
        store,
        name,
        context.rng,
        PLANNER_LEASE_SECONDS,
        first_look_seconds=FIRST_LOOK_SECONDS,
    )
    plan = PlanStore(
        store, name, context.rng, NullHistory(), most_writes=MOST_PLAN_WRITES
    )
    return RolePlanner(
        name,
        authority,
        plan,
        context.fleet,
        context.placing,
        PlatformOrders(context.client),
        context.mix,
        settings.order_pause_ms / 1e3,
        context.rng,
    )


async def _drain(core: DirectCore, seconds: float) -> None:
    """Serve on until callers are sent elsewhere and the last request is answered."""
    loop = asyncio.get_running_loop()
    core.stopping = True
    logger.info("stops soon", extra={"running": core.running})
    told_at = loop.time()
    end_by = told_at + max(0.0, seconds - SHUTDOWN_MARGIN_SECONDS)
    while loop.time() < end_by:
        await asyncio.sleep(IDLE_CHECK_SECONDS)
        if core.running == 0 and loop.time() - told_at >= STILL_ROUTED_SECONDS:
            return


def _signals() -> asyncio.Event:
    """Return the event that SIGTERM sets; SIGHUP changes nothing that is read here."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    loop.add_signal_handler(signal.SIGHUP, logger.info, "reload: nothing to read anew")
    return told


@contextlib.asynccontextmanager
async def _store_session() -> cabc.AsyncIterator[aiohttp.ClientSession]:
    async with client_session() as session:
        yield session


@contextlib.asynccontextmanager
async def _serving(server: web.Server, address: str) -> cabc.AsyncIterator[None]:
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(server, shutdown_timeout=0.5)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
        yield
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def _running(work: cabc.Coroutine[object, object, None]) -> cabc.AsyncIterator[None]:
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
