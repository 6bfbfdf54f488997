"""Process lifecycle of the daemons: signals, background tasks, addresses, metrics."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import signal
import typing as t

from aiohttp import web

from .errors import SettingError

if t.TYPE_CHECKING:
    from .adapters.metrics import OpenTelemetryMetrics

logger = logging.getLogger(__name__)

METRICS_PATH = "/metrics"

CANCEL_TIMEOUT_SECONDS = 0.5
"""Maximum wait for the cleanup of cancelled tasks."""


def install_signal_handlers() -> asyncio.Event:
    """Install signal handlers; return the event that SIGTERM and SIGINT set.

    Repeated signals have no further effect. Must be called before anything listens:
    until then a signal terminates the process at once. SIGHUP would do so as well by
    default, and cut off all requests; here it only writes a log line.
    """
    requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, requested.set)
    loop.add_signal_handler(signal.SIGHUP, _on_reload)
    return requested


def _on_reload() -> None:
    logger.info("reload", extra={"changed": "nothing that is read while running"})


def metrics_handler(
    metrics: OpenTelemetryMetrics,
) -> cabc.Callable[[web.BaseRequest], cabc.Awaitable[web.Response]]:
    """Return an HTTP handler that responds with all metrics in Prometheus format."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(body=metrics.exposition(), content_type="text/plain")

    return handle


@contextlib.contextmanager
def bind_errors(address: str, flag: str = "--listen-address") -> cabc.Iterator[None]:
    """Convert an ``OSError`` of a bind into an error of the address setting.

    :param flag: flag that sets the address.
    """
    try:
        yield
    except OSError as error:
        allowed = f"an address that is free here: {error}"
        raise SettingError(flag, address, allowed) from error


class Shutdown:
    """Request to shut down a process, made by a signal or by the failure of a task.

    :param requested: event that is set when the process must shut down.
    :param failure: exception of the first failed task; ``None`` if none has failed.
    """

    def __init__(self, requested: asyncio.Event) -> None:
        self.requested = requested
        self.failure: BaseException | None = None

    def on_failure(self, failure: BaseException) -> None:
        """Log a task's failure and request the shutdown: the process needs the task."""
        logger.error("a task has failed", exc_info=failure)
        self.failure = self.failure or failure
        self.requested.set()

    def raise_failure(self) -> None:
        """Raise the exception of the failed task, if there is one."""
        if self.failure is not None:
            raise self.failure


@contextlib.asynccontextmanager
async def run_background_tasks(
    coroutines: cabc.Iterable[cabc.Coroutine[t.Any, t.Any, None]], shutdown: Shutdown
) -> cabc.AsyncIterator[list[asyncio.Task[None]]]:
    """Run background tasks during an ``async with`` block.

    The failure of a task requests the shutdown and leaves the other tasks running. The
    block receives the tasks in order and may cancel single ones. At its end all tasks
    are cancelled and awaited together, for :data:`CANCEL_TIMEOUT_SECONDS` at most. If
    they were awaited one after the other, each cleanup that calls an unresponsive
    service would add its timeout, and the process would be killed before its last
    responses are sent.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    def on_done(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (failure := task.exception()) is not None:
            shutdown.on_failure(failure)

    for task in tasks:
        task.add_done_callback(on_done)
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_SECONDS)
