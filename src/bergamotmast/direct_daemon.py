"""Composition root of a direct entry: wires up its parts, serves, and shuts down."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random
import time

from aiohttp import web

from .adapters.connection_probe import TcpConnectionProbe
from .adapters.datagrams import datagram_port
from .adapters.http_calls import single_call_session
from .adapters.metrics import OpenTelemetryMetrics
from .adapters.upstream_http import HttpUpstreamClient
from .callers.guard import MAX_PROBE_CONNECTIONS
from .callers.guard import CallerGuard
from .callers.guard import DescriptorLimits
from .callers.guard import ListenerLimits
from .callers.server import Admission
from .crashes.part_records import PARTS_PREFIX
from .crashes.quarantine import Quarantine
from .crashes.records import CRASHES_PREFIX
from .crashes.records import CrashRecordWriter
from .crashes.trials import Trials
from .direct import liveness_exchange
from .direct.build_history import BUILDS_KEY
from .direct.build_recorder import BuildRecorder
from .direct.capacity_exchange import CapacityExchange
from .direct.context import Context
from .direct.core import DirectCore
from .direct.crash_detector import CrashDetector
from .direct.engine_memory import EngineMemoryWatch
from .direct.fleet import Fleet
from .direct.http_frontend import DirectHttpFrontend
from .direct.learned_capacity import LearnedCapacity
from .direct.limited_engines import LimitedEngineWatch
from .direct.liveness_exchange import LivenessExchange
from .direct.named_limits import NamedLimits
from .direct.notices import NoticeExchange
from .direct.overload_watch import OverloadWatch
from .direct.peer_messages import PeerInbox
from .direct.peer_messages import Send
from .direct.placer import RequestPlacer
from .direct.ports import Directory
from .direct.presence import Presence
from .direct.presence import presence_key
from .direct.rate_limits import RateLimits
from .direct.record_check import RecordCheck
from .direct.reported_loads import ReportedLoads
from .direct.response_buffer import HeldResponses
from .direct.retry_budget import SharedRetryBudget
from .direct.role_planner import Duty
from .direct.role_planner import RolePlanner
from .direct.scaling_duty import ScalingDuty
from .direct.scaling_record import ScalingRecordStore
from .direct.shares import tenant_shares
from .direct.shares.share_exchange import ShareExchange
from .direct.shares.tenant_shares import TenantShares
from .direct.slot_exchange import SlotExchange
from .direct.store_progress import CatchUp
from .direct.store_progress import SharedRead
from .direct.store_watcher import StoreWatcher
from .direct.stream_build_exchange import StreamBuildExchange
from .direct.stream_build_log import STREAMS_PREFIX
from .direct.stream_build_log import StreamBuildLog
from .direct.unix_clock import UnixClock
from .direct.usage_exchange import UsageExchange
from .direct.usage_record import USAGE_KEY
from .direct.usage_record import UsageRecordStore
from .direct.usage_reporter import UsageReporter
from .history import NullHistory
from .lifecycle import METRICS_PATH
from .lifecycle import Shutdown
from .lifecycle import bind_errors
from .lifecycle import install_signal_handlers
from .lifecycle import metrics_handler
from .lifecycle import run_background_tasks
from .planner.election import PlannerElection
from .planner.plan_store import PlanStore
from .platform.contracts import decode_contracts
from .platform.directory import PlatformDirectory
from .platform.headers import PlatformDialect
from .platform.orders import PlatformOrders
from .platform.scaling import PlatformScaling
from .platform.store import PlatformStore
from .platform.usage import PlatformUsage
from .policy.buffer_budget import BufferBudget
from .policy.caller_memory import MemoryLimits
from .policy.decisions import Decisions
from .policy.retry_window import RetryLimits
from .policy.shutdown_admission import ShutdownWindow
from .policy.usage_ledger import Source
from .policy.usage_ledger import UsageLedger
from .policy.watch_pause import watch_pause
from .protocol.plan import HOLDER_KEY
from .serving import FIRST_REQUEST_GRACE_SECONDS
from .serving import HttpListener
from .settings import DirectEntrySettings

logger = logging.getLogger(__name__)

DEREGISTRATION_SECONDS = 2.6
"""Time after SIGTERM for which every new request is accepted: the load balancer probes
readiness once a second and removes an entry after two failed probes."""

SHUTDOWN_MARGIN_SECONDS = 1.0
"""Time left between the last response and the platform's SIGKILL."""

FINAL_RESPONSE_SECONDS = 0.35
"""Part of that margin for the responses to requests that the shutdown ended."""

IDLE_POLL_SECONDS = 0.05
"""Interval between two checks whether all earlier requests have completed."""

PLANNER_LEASE_SECONDS = 3
"""Time to live of the planner's lease. After its holder has failed, no role changes
until the lease expires, even if a role has no engine left and nothing is served."""

VACANCY_POLL_SPREAD_SECONDS = 0.3
"""Jitter of the entries' polls after the planner's lease has become free."""

FIRST_POLL_SPREAD_SECONDS = 1.5
"""Maximum delay of the first poll of the lease: roles should be assigned before the
first callers connect."""

COMMAND_RECOVERY_SECONDS = 3.0
"""Maximum time in which an operator's command detects a stalled connection."""

MAX_PLAN_WRITES = 24
"""Maximum number of engines changed by one transaction. The store accepts 32 operations
per transaction, of which the plan needs three for itself."""


async def serve_direct(settings: DirectEntrySettings) -> None:
    """Run an entry until a signal or a failure, and shut it down gracefully.

    A failed background task starts the same shutdown: the running requests are not
    affected by it and are completed.
    """
    logger.info("starts", extra={"zone": settings.zone})
    shutdown = Shutdown(install_signal_handlers())
    rng = random.Random()
    metrics = OpenTelemetryMetrics(settings.name)
    clock = asyncio.get_running_loop().time
    fleet = Fleet(PlatformDirectory(), clock, presence_key(settings.name))
    decisions = Decisions.without(filter(None, settings.switched_off.split(",")))
    features = decode_contracts(settings.contracts)
    learned = LearnedCapacity(fleet, settings.learned_capacity, features, metrics, rng)
    placer = RequestPlacer(fleet, settings.name, settings.zone, rng, decisions, learned)
    host, _, port = settings.peer_address.rpartition(":")
    memory = MemoryLimits.of_process(settings.memory_mb)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            HttpUpstreamClient(memory.whole_replies, memory.unparsed_replies)
        )
        session = await stack.enter_async_context(single_call_session())
        with bind_errors(settings.peer_address, "--peer-address"):
            peers = await stack.enter_async_context(datagram_port(host, int(port)))
        store = PlatformStore(
            session,
            settings.store_address,
            settings.store_recovery_ms / 1e3,
            lambda: watch_pause(len(fleet.entries)),
        )
        orders = PlatformOrders(client)
        crash_writer = CrashRecordWriter(store, rng)
        quarantine = Quarantine(
            settings.name,
            metrics,
            rng,
            Trials(settings.name, store),
            crash_writer,
        )
        fleet.listeners[CRASHES_PREFIX] = quarantine.records
        fleet.listeners[PARTS_PREFIX] = quarantine.parts.records
        limits = RetryLimits(settings.retry_share, settings.retry_free)
        retry_budget = SharedRetryBudget(fleet, limits, metrics)
        named_limits = NamedLimits(fleet, metrics)
        slot_exchange = SlotExchange(
            presence_key(settings.name), fleet, named_limits, peers.send, rng
        )
        context = Context(
            fleet,
            client,
            PlatformDialect(),
            placer,
            rng,
            retry_budget,
            RateLimits(fleet, named_limits, slot_exchange),
            quarantine,
            CrashDetector(fleet, metrics, TcpConnectionProbe()),
            metrics,
            liveness_probe=orders,
            incarnation_probe=orders,
        )
        context.partial_events.limit = memory.partial_events
        if features.scarcity:
            budget = BufferBudget(total_limit=memory.read_ahead)
            context.held_responses = HeldResponses(metrics, budget)
            placer.memory_watch = EngineMemoryWatch(metrics)
        inbox = PeerInbox()
        peers.on_datagram = inbox.receive
        context.notices = NoticeExchange(
            settings.name, placer, fleet.entries.values, peers.send
        )
        context.notices.listen(inbox)
        slot_exchange.listen(inbox)
        capacity_exchange = CapacityExchange(
            presence_key(settings.name), fleet, learned, peers.send, rng
        )
        capacity_exchange.listen(inbox)
        if liveness_exchange.is_on(features):
            LivenessExchange(
                presence_key(settings.name), placer, peers.send, rng, metrics
            ).attach(context.liveness_checker, inbox)
        stream_build_exchange = StreamBuildExchange(
            presence_key(settings.name),
            context.stream_builds,
            lambda: fleet.entries,
            peers.send,
        )
        stream_build_exchange.listen(inbox)
        context.stream_builds.peers = stream_build_exchange
        stream_build_log = StreamBuildLog(
            store,
            context.stream_builds,
            f"{STREAMS_PREFIX}{settings.name}/{rng.getrandbits(32):08x}",
            settings.store_writes_per_second,
            lambda: fleet.entries,
        )
        fleet.listeners[STREAMS_PREFIX] = stream_build_log
        context.stream_builds.stored = stream_build_log
        record_reads = SharedRead(store, BUILDS_KEY)
        context.stream_builds.check = RecordCheck(record_reads, fleet.build_history)
        context.stream_builds.proof.store = CatchUp(record_reads, fleet.applied)
        build_recorder = BuildRecorder(
            store,
            fleet.build_history,
            presence_key(settings.name),
            fleet.stream_groups,
            lambda: fleet.entries_with(presence_key(settings.name), clock()),
            rng,
            stream_build_exchange,
        )
        if tenant_shares.is_on(settings.tenant_shares, features):
            context.shares = _tenant_shares(settings, context, peers.send)
            context.shares.exchange.listen(inbox)
        core = DirectCore(context, metrics)
        frontend = DirectHttpFrontend(core)
        guard = CallerGuard(
            metrics,
            memory,
            DescriptorLimits.of_process(settings.max_descriptors),
        )
        callers = await _listen(
            stack,
            frontend.callers(),
            settings.listen_address,
            ListenerLimits(guard, lambda: core.body_limit),
            frontend.busy,
            frontend.admission,
        )
        few = ListenerLimits(guard, max_connections=MAX_PROBE_CONNECTIONS)
        await _listen(stack, frontend.probes(), settings.ready_address, few)
        if settings.metrics_address:
            await _listen(stack, _metrics(metrics), settings.metrics_address, few)
        presence = Presence(store, settings.name, settings.peer_address, rng)
        election = _election(settings, store, context)
        duties: list[Duty] = []
        if settings.usage_address:
            context.usage = _usage_exchange(settings, fleet, rng, peers.send)
            context.usage.listen(inbox)
            records = UsageRecordStore(store, rng, store.restores)
            fleet.listeners[USAGE_KEY] = records
            sink = PlatformUsage(session, settings.usage_address)
            duties.append(
                UsageReporter(
                    settings.name,
                    election,
                    records,
                    context.usage,
                    sink,
                    settings.order_pause_ms / 1e3,
                    settings.usage_due_seconds,
                    rng,
                    metrics,
                )
            )
        if settings.scaling_address:
            context.reported_loads = ReportedLoads()
            duties.append(
                ScalingDuty(
                    settings.name,
                    election,
                    ScalingRecordStore(store, rng),
                    fleet,
                    context.reported_loads,
                    PlatformScaling(session, settings.scaling_address),
                    settings.order_pause_ms / 1e3,
                    rng,
                    metrics,
                )
            )
        planner = _planner(settings, store, context, orders, election, duties)
        store_watcher = StoreWatcher(store, fleet, rng)
        store.restores.on_restored.append(store_watcher.on_restored)
        coroutines = [
            store_watcher.run(),
            presence.run(),
            crash_writer.run(),
            quarantine.run(),
            stream_build_exchange.run(),
            stream_build_log.run(),
            build_recorder.run(),
            capacity_exchange.run(),
            OverloadWatch(frontend.admission, metrics).run(),
            planner.run(),
        ]
        if context.usage is not None:
            coroutines.insert(0, context.usage.run())
        if context.shares is not None:
            coroutines.insert(0, context.shares.exchange.run())
        tasks = await stack.enter_async_context(
            run_background_tasks(coroutines, shutdown)
        )
        await shutdown.requested.wait()
        core.stopping = True
        # The planner releases its lease while requests are drained, so that a slow
        # store does not delay the shutdown.
        tasks[-1].cancel()
        await _drain(frontend, callers, settings.shutdown_seconds)
        if context.usage is not None:
            context.usage.hand_over()
    logger.info("stops")
    shutdown.raise_failure()


@contextlib.asynccontextmanager
async def open_store(address: str) -> cabc.AsyncIterator[PlatformStore]:
    """Yield a client of the platform's store for an operator's command.

    :param address: where the store listens, ``host:port``.
    """
    async with single_call_session() as session:
        yield PlatformStore(session, address, COMMAND_RECOVERY_SECONDS)


def routing_directory() -> Directory:
    """Return the decoder of the platform's documents for an operator's command."""
    return PlatformDirectory()


def _tenant_shares(
    settings: DirectEntrySettings, context: Context, send: Send
) -> TenantShares:
    fleet, clock = context.fleet, asyncio.get_running_loop().time
    exchange = ShareExchange(
        presence_key(settings.name),
        lambda: fleet.known_entries(clock()),
        send,
        clock,
        context.rng,
        context.telemetry,
    )
    return TenantShares(exchange, fleet, context.placer, context.rng)


def _usage_exchange(
    settings: DirectEntrySettings, fleet: Fleet, rng: random.Random, send: Send
) -> UsageExchange:
    clock = UnixClock(asyncio.get_running_loop().time, time.time)
    return UsageExchange(
        Source(settings.name, rng.getrandbits(32)),
        UsageLedger(settings.usage_window_seconds),
        clock,
        lambda: fleet.entries,
        send,
    )


def _election(
    settings: DirectEntrySettings, store: PlatformStore, context: Context
) -> PlannerElection:
    fleet = context.fleet
    election = PlannerElection(
        store,
        settings.name,
        context.rng,
        PLANNER_LEASE_SECONDS,
        first_poll_spread_seconds=FIRST_POLL_SPREAD_SECONDS,
        vacancy_poll_spread_seconds=VACANCY_POLL_SPREAD_SECONDS,
        holder_known=lambda: HOLDER_KEY in fleet.existing_keys,
    )
    fleet.on_removal[HOLDER_KEY] = election.on_vacant
    return election


def _planner(
    settings: DirectEntrySettings,
    store: PlatformStore,
    context: Context,
    orders: PlatformOrders,
    election: PlannerElection,
    duties: cabc.Sequence[Duty],
) -> RolePlanner:
    plan = PlanStore(
        store,
        settings.name,
        context.rng,
        NullHistory(),
        epoch_hint=store.restores.min_epoch,
        max_engines_per_txn=MAX_PLAN_WRITES,
        carry_over=False,
    )
    return RolePlanner(
        settings.name,
        election,
        plan,
        context.fleet,
        context.placer,
        orders,
        context.mix,
        settings.order_pause_ms / 1e3,
        context.rng,
        duties,
        LimitedEngineWatch(context.fleet, context.rate_limits, context.retry_budget),
        context.engine_times,
    )


async def _listen(
    stack: contextlib.AsyncExitStack,
    server: web.Server,
    address: str,
    limits: ListenerLimits,
    busy: cabc.Container[asyncio.BaseProtocol] = (),
    admission: Admission | None = None,
) -> HttpListener:
    listener = HttpListener(server, address, busy, admission=admission, limits=limits)
    stack.push_async_callback(listener.close)
    with bind_errors(address):
        await listener.start()
    return listener


def _metrics(metrics: OpenTelemetryMetrics) -> web.Server:
    handle_metrics = metrics_handler(metrics)

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return await handle_metrics(request)

    return web.Server(handle, access_log=None)


async def _drain(
    frontend: DirectHttpFrontend, callers: HttpListener, seconds: float
) -> None:
    """Serve until the load balancer has removed this entry and all requests are done.

    The entry keeps listening until all earlier requests have completed. If all entries
    are restarted in turn, the load balancer may have no other entry to route to: new
    requests then get a response or a refusal instead of a closed port.

    :param seconds: time from SIGTERM to the platform's SIGKILL.
    """
    loop = asyncio.get_running_loop()
    logger.info("stops soon", extra={"running": len(frontend.busy)})
    now = loop.time()
    end_by = now + max(0.0, seconds - SHUTDOWN_MARGIN_SECONDS)
    window = ShutdownWindow(min(now + DEREGISTRATION_SECONDS, end_by), end_by)
    frontend.core.context.time_limits.begin(window)
    await asyncio.sleep(window.routed_until - now)
    late_ms = round((loop.time() - window.routed_until) * 1e3, 1)
    frontend.shutting_down = True
    await callers.close_idle_connections()
    running = len(frontend.busy)
    logger.info("finishes its requests", extra={"running": running, "late_ms": late_ms})
    # Only requests that arrived earlier are waited for: later ones are short and must
    # not delay a restart.
    earlier = frozenset(frontend.busy)
    while earlier & frontend.busy and loop.time() < end_by:
        await asyncio.sleep(IDLE_POLL_SECONDS)
    await callers.stop_accepting_connections()
    await asyncio.sleep(FIRST_REQUEST_GRACE_SECONDS)
    await callers.stop_accepting_requests()
    logger.info("takes no more requests", extra={"running": len(frontend.busy)})
    await callers.wait_until_closed(end_by + FINAL_RESPONSE_SECONDS)
