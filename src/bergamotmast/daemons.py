"""Daemons that run an entry or a side as a process of its own."""

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
from .app import ProcessDependencies
from .app import SideProcess
from .app import engine_side
from .app import service_side
from .callers.guard import MAX_PROBE_CONNECTIONS
from .callers.guard import CallerGuard
from .callers.guard import DescriptorLimits
from .callers.guard import ListenerLimits
from .entry.core import READINESS_DRAIN_SECONDS
from .entry.http import CallerLimits
from .errors import SettingError
from .history import NullHistory
from .lifecycle import METRICS_PATH
from .lifecycle import Shutdown
from .lifecycle import bind_errors
from .lifecycle import install_signal_handlers
from .lifecycle import metrics_handler
from .lifecycle import run_background_tasks
from .policy.caller_memory import MemoryLimits
from .policy.presets import PRESETS
from .serving import HttpListener
from .settings import EntrySettings
from .settings import SharedSettings
from .settings import SideSettings

if t.TYPE_CHECKING:
    from .ports import KeyValueService

logger = logging.getLogger(__name__)

CLAIM_FLUSH_TIMEOUT_SECONDS = 1.0
"""Timeout of the last writes of claims; the key-value service may be unresponsive."""

FINAL_RESPONSE_SECONDS = 2.0
"""Time after ``--shutdown-seconds`` for the responses to aborted requests: a side's
reply takes up to 0.5 s, the write that ends a call's claim up to 1 s."""


async def serve_entry(settings: EntrySettings) -> None:
    """Run an entry until a signal or a failure, and shut it down gracefully.

    A failed background task starts the same shutdown: most running requests don't
    depend on the task and would otherwise be cut off.
    """
    shutdown = Shutdown(install_signal_handlers())
    async with _open_clients(settings) as (session, context):
        metrics = OpenTelemetryMetrics(settings.name)
        dependencies = _dependencies(
            settings, _key_value_client(settings, session), metrics
        )
        keys = load_keys(settings.curve_secret_file, settings.curve_peers_file)
        entry = EntryProcess(
            dependencies,
            ZmqDialer(context, keys),
            HttpInstanceList(session, settings.instance_list_url),
            _weight_store_client(settings, session),
            may_plan=settings.planner,
            lease_seconds=settings.planner_lease_seconds,
        )
        limits = CallerLimits(settings.max_body_bytes, settings.max_context_tokens)
        application = entry.application(limits)
        application.router.add_get(METRICS_PATH, metrics_handler(metrics))
        guard = CallerGuard(
            metrics,
            MemoryLimits.of_process(settings.memory_mb),
            DescriptorLimits.of_process(settings.max_descriptors),
        )
        callers = HttpListener(
            application,
            settings.listen_address,
            entry.busy,
            _tls(settings),
            limits=ListenerLimits(guard, lambda: settings.max_body_bytes),
        )
        async with (
            _serving(callers),
            run_background_tasks(entry.background_tasks(), shutdown),
        ):
            await _wait_for_shutdown(shutdown.requested)
            await _shut_down_entry(entry, callers, settings.shutdown_seconds)
    shutdown.raise_failure()


async def serve_side(settings: SideSettings) -> None:
    """Run a side until a signal or a failure, and shut it down gracefully.

    A failed background task starts the same shutdown.
    """
    shutdown = Shutdown(install_signal_handlers())
    async with _open_clients(settings) as (session, context):
        metrics = OpenTelemetryMetrics(settings.name)
        dependencies = _dependencies(
            settings, _key_value_client(settings, session), metrics
        )
        keys = load_keys(settings.curve_secret_file, settings.curve_peers_file)
        with bind_errors(settings.listen_address):
            listener = ZmqListener(context, settings.listen_address, keys)
        side = _side(settings, dependencies, listener, session)
        application = web.Application()
        application.router.add_get(METRICS_PATH, metrics_handler(metrics))
        async with contextlib.AsyncExitStack() as stack:
            if settings.metrics_address:
                few = ListenerLimits(
                    CallerGuard(dependencies.telemetry),
                    max_connections=MAX_PROBE_CONNECTIONS,
                )
                metrics_listener = HttpListener(
                    application, settings.metrics_address, limits=few
                )
                await stack.enter_async_context(_serving(metrics_listener))
            await stack.enter_async_context(
                run_background_tasks(side.background_tasks(), shutdown)
            )
            await _wait_for_shutdown(shutdown.requested)
            if not await _completes_within(
                side.core.leave(), settings.shutdown_seconds
            ):
                await side.core.abort_attempts()
            side.listener.close()
    shutdown.raise_failure()


def _side(
    settings: SideSettings,
    dependencies: ProcessDependencies,
    listener: ZmqListener,
    session: aiohttp.ClientSession,
) -> SideProcess:
    if settings.upstream_kind == "engine":
        engine = HttpEngine(session, settings.upstream_url)
        return engine_side(dependencies, listener, engine)
    service = HttpService(session, settings.upstream_url)
    return service_side(dependencies, listener, service, settings.service_concurrency)


@contextlib.asynccontextmanager
async def _open_clients(
    settings: SharedSettings,
) -> cabc.AsyncIterator[tuple[aiohttp.ClientSession, zmq.asyncio.Context]]:
    context = zmq.asyncio.Context()
    try:
        async with client_session() as session:
            logger.info("%s starts in %s", settings.name, settings.zone)
            yield session, context
    finally:
        context.destroy(linger=0)


def _key_value_client(
    settings: SharedSettings, session: aiohttp.ClientSession
) -> KeyValueService:
    return HttpKeyValueService(session, settings.key_value_url, settings.name)


def _weight_store_client(
    settings: SharedSettings, session: aiohttp.ClientSession
) -> HttpWeightStore | None:
    if not settings.weight_store_url:
        return None
    return HttpWeightStore(session, settings.weight_store_url)


def _dependencies(
    settings: SharedSettings, kv: KeyValueService, metrics: OpenTelemetryMetrics
) -> ProcessDependencies:
    policies = PRESETS.get(settings.policy)
    if policies is None:
        allowed = f"one of {', '.join(PRESETS)}"
        raise SettingError("--policy", settings.policy, allowed)
    return ProcessDependencies(
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
async def _serving(listener: HttpListener) -> cabc.AsyncIterator[None]:
    with bind_errors(listener.address):
        await listener.start()
    try:
        yield
    finally:
        await listener.close()


async def _shut_down_entry(
    entry: EntryProcess, callers: HttpListener, seconds: float
) -> None:
    """Serve until callers are routed elsewhere and all requests have a response.

    :param seconds: time for running requests, after which they are aborted.
    """
    requested_at = asyncio.get_running_loop().time()
    end_by = requested_at + seconds
    entry.core.closing = True
    if not await callers.drain(requested_at + READINESS_DRAIN_SECONDS, end_by):
        logger.warning("work in flight did not end within %g s", seconds)
        entry.core.abort_requests()
        await callers.wait_until_closed(end_by + FINAL_RESPONSE_SECONDS)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLAIM_FLUSH_TIMEOUT_SECONDS):
            await entry.claims.flush()


async def _wait_for_shutdown(requested: asyncio.Event) -> None:
    """Report readiness on standard output; wait until the shutdown is requested."""
    print("ready", file=sys.stdout, flush=True)
    await requested.wait()
    logger.info("shutdown requested")


async def _completes_within(work: cabc.Awaitable[None], seconds: float) -> bool:
    """Await work with a timeout; return whether it completed in time."""
    try:
        async with asyncio.timeout(seconds):
            await work
    except TimeoutError:
        logger.warning("work in flight did not end within %g s", seconds)
        return False
    return True
