"""The thin daemons: an entry and a side as processes of their own."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random
import ssl
import sys
import typing as t

import aiohttp
import zmq.asyncio
from aiohttp import web

from .adapters.curve_files import load_keys
from .adapters.engine_http import HttpEngine
from .adapters.http_calls import client_session
from .adapters.instance_list_http import HttpInstanceList
from .adapters.key_value_http import HttpKeyValueService
from .adapters.metrics import OpenTelemetryMetrics
from .adapters.service_http import HttpService
from .adapters.weights_http import HttpWeightStore
from .adapters.zeromq import ZmqDialer
from .adapters.zeromq import ZmqListener
from .app import EntryProcess
from .app import ProcessParts
from .app import SideProcess
from .app import engine_side
from .app import service_side
from .entry.core import READINESS_DRAIN_SECONDS
from .entry.http import CallerLimits
from .errors import SettingError
from .history import NullHistory
from .lifecycle import METRICS_PATH
from .lifecycle import Ending
from .lifecycle import address_errors
from .lifecycle import exposition
from .lifecycle import running
from .lifecycle import told_to_end
from .policy.presets import PRESETS
from .serving import Listening
from .settings import EntrySettings
from .settings import SharedSettings
from .settings import SideSettings

if t.TYPE_CHECKING:
    from .ports import KeyValueService

logger = logging.getLogger(__name__)

CLAIMS_SECONDS = 1.0
"""Given to the last records of claims; a silent key-value service takes none."""

FINAL_ANSWER_SECONDS = 2.0
"""Given after ``--shutdown-seconds`` for telling callers what became of their requests:
a side's word takes up to 0.5 s, the end of a call's claim up to 1 s."""


async def serve_entry(settings: EntrySettings) -> None:
    """Run an entry until it is told to end and its last answer is out.

    A task that fails ends the process in the same steps: most requests at work need
    none of what failed, and would be cut off.
    """
    ending = Ending(told_to_end())
    async with _outside(settings) as (session, context):
        metrics = OpenTelemetryMetrics(settings.name)
        parts = _parts(settings, _key_values(settings, session), metrics)
        keys = load_keys(settings.curve_secret_file, settings.curve_peers_file)
        entry = EntryProcess(
            parts,
            ZmqDialer(context, keys),
            HttpInstanceList(session, settings.instance_list_url),
            _weights(settings, session),
            may_plan=settings.planner,
            lease_seconds=settings.planner_lease_seconds,
        )
        limits = CallerLimits(settings.max_body_bytes, settings.max_context_tokens)
        application = entry.application(limits)
        application.router.add_get(METRICS_PATH, exposition(metrics))
        callers = Listening(
            application, settings.listen_address, entry.busy, _tls(settings)
        )
        async with (
            _serving(callers),
            running(entry.background_tasks(), ending),
        ):
            await _until(ending.told)
            await _end_entry(entry, callers, settings.shutdown_seconds)
    ending.raise_failure()


async def serve_side(settings: SideSettings) -> None:
    """Run a side until it is told to end and its work in flight is done.

    A task that fails ends the process in the same steps.
    """
    ending = Ending(told_to_end())
    async with _outside(settings) as (session, context):
        metrics = OpenTelemetryMetrics(settings.name)
        parts = _parts(settings, _key_values(settings, session), metrics)
        keys = load_keys(settings.curve_secret_file, settings.curve_peers_file)
        with address_errors(settings.listen_address):
            listener = ZmqListener(context, settings.listen_address, keys)
        side = _side(settings, parts, listener, session)
        application = web.Application()
        application.router.add_get(METRICS_PATH, exposition(metrics))
        async with contextlib.AsyncExitStack() as stack:
            if settings.metrics_address:
                metrics_listening = Listening(application, settings.metrics_address)
                await stack.enter_async_context(_serving(metrics_listening))
            await stack.enter_async_context(running(side.background_tasks(), ending))
            await _until(ending.told)
            if not await _bounded(side.core.leave(), settings.shutdown_seconds):
                await side.core.abort_attempts()
            side.listener.close()
    ending.raise_failure()


def _side(
    settings: SideSettings,
    parts: ProcessParts,
    listener: ZmqListener,
    session: aiohttp.ClientSession,
) -> SideProcess:
    if settings.upstream_kind == "engine":
        engine = HttpEngine(session, settings.upstream_url)
        return engine_side(parts, listener, engine)
    service = HttpService(session, settings.upstream_url)
    return service_side(parts, listener, service, settings.service_concurrency)


@contextlib.asynccontextmanager
async def _outside(
    settings: SharedSettings,
) -> cabc.AsyncIterator[tuple[aiohttp.ClientSession, zmq.asyncio.Context]]:
    context = zmq.asyncio.Context()
    try:
        async with client_session() as session:
            logger.info("%s starts in %s", settings.name, settings.zone)
            yield session, context
    finally:
        context.destroy(linger=0)


def _key_values(
    settings: SharedSettings, session: aiohttp.ClientSession
) -> KeyValueService:
    return HttpKeyValueService(session, settings.key_value_url, settings.name)


def _weights(
    settings: SharedSettings, session: aiohttp.ClientSession
) -> HttpWeightStore | None:
    if not settings.weight_store_url:
        return None
    return HttpWeightStore(session, settings.weight_store_url)


def _parts(
    settings: SharedSettings, kv: KeyValueService, metrics: OpenTelemetryMetrics
) -> ProcessParts:
    policies = PRESETS.get(settings.policy)
    if policies is None:
        allowed = f"one of {', '.join(PRESETS)}"
        raise SettingError("--policy", settings.policy, allowed)
    return ProcessParts(
        name=settings.name,
        zone=settings.zone,
        kv=kv,
        policies=policies,
        history=NullHistory(),
        telemetry=metrics,
        rng=random.Random(),
    )


def _tls(settings: EntrySettings) -> ssl.SSLContext | None:
    if not settings.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.tls_certificate_file, settings.tls_key_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingError(
            "--tls-certificate-file",
            settings.tls_certificate_file,
            f"a certificate chain with its key: {error}",
        ) from error
    return context


@contextlib.asynccontextmanager
async def _serving(listening: Listening) -> cabc.AsyncIterator[None]:
    with address_errors(listening.address):
        await listening.start()
    try:
        yield
    finally:
        await listening.close()


async def _end_entry(entry: EntryProcess, callers: Listening, seconds: float) -> None:
    """Serve on until callers are sent elsewhere and the last request is answered."""
    told_at = asyncio.get_running_loop().time()
    end_by = told_at + seconds
    entry.core.closing = True
    if not await callers.drain(told_at + READINESS_DRAIN_SECONDS, end_by):
        logger.warning("work in flight did not end within %g s", seconds)
        entry.core.abort_requests()
        await callers.wait_until_closed(end_by + FINAL_ANSWER_SECONDS)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLAIMS_SECONDS):
            await entry.claims.flush()


async def _until(told: asyncio.Event) -> None:
    """Say that the process is ready, and wait until it is told to end."""
    print("ready", file=sys.stdout, flush=True)
    await told.wait()
    logger.info("told to end")


async def _bounded(work: cabc.Awaitable[None], seconds: float) -> bool:
    """Return whether work ended within its time."""
    try:
        async with asyncio.timeout(seconds):
            await work
    except TimeoutError:
        logger.warning("work in flight did not end within %g s", seconds)
        return False
    return True
