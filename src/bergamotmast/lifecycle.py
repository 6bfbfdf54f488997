"""What the daemons share: signals, tasks beside a body, addresses, metrics."""

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

CANCEL_SECONDS = 0.5
"""Most time that a cancelled task's own ending is waited for."""


def told_to_end() -> asyncio.Event:
    """Return the event that SIGTERM and SIGINT set, however often they come.

    To be called before anything listens: until then a signal ends the process at once.
    SIGHUP would too by default, with all that runs; it changes nothing here.
    """
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    loop.add_signal_handler(signal.SIGHUP, _on_reload)
    return told


def _on_reload() -> None:
    logger.info("reload", extra={"changed": "nothing that is read while running"})


def exposition(
    metrics: OpenTelemetryMetrics,
) -> cabc.Callable[[web.BaseRequest], cabc.Awaitable[web.Response]]:
    """Return the handler that answers with all series."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(body=metrics.exposition(), content_type="text/plain")

    return answer


@contextlib.contextmanager
def address_errors(address: str, flag: str = "--listen-address") -> cabc.Iterator[None]:
    """Show an address that can't be listened on as the setting's error."""
    try:
        yield
    except OSError as error:
        allowed = f"an address that is free here: {error}"
        raise SettingError(flag, address, allowed) from error


class Ending:
    """Whether a process is to end: told to, or for the failure of a task.

    :param told: set once it is to end.
    :param failure: of the first task that failed.
    """

    def __init__(self, told: asyncio.Event) -> None:
        self.told = told
        self.failure: BaseException | None = None

    def on_failure(self, failure: BaseException) -> None:
        """Learn that a task has failed, without which the process can't go on long."""
        logger.error("a task has failed", exc_info=failure)
        self.failure = self.failure or failure
        self.told.set()

    def raise_failure(self) -> None:
        """Raise the failure, if one led to the end."""
        if self.failure is not None:
            raise self.failure


@contextlib.asynccontextmanager
async def running(
    works: cabc.Iterable[cabc.Coroutine[t.Any, t.Any, None]], ending: Ending
) -> cabc.AsyncIterator[list[asyncio.Task[None]]]:
    """Run a process's tasks beside the body; the failure of one leaves the others.

    The body is given the tasks in order, and may cancel one before its own end. At its
    end they are cancelled and waited for together, at most :data:`CANCEL_SECONDS`: one
    after the other, each that tells its end to a silent service would take as long, and
    the process would be killed before its last answers are out.
    """
    tasks = [asyncio.create_task(work) for work in works]

    def on_done(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (failure := task.exception()) is not None:
            ending.on_failure(failure)

    for task in tasks:
        task.add_done_callback(on_done)
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=CANCEL_SECONDS)
