"""In-process stand-in for a plain service, which counts its executions."""

from __future__ import annotations

import asyncio
import collections

import xxhash

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..history import Execution
from ..history import HistorySink
from ..history import NullHistory
from ..model import ServiceAnswer
from ..model import ServiceCall


def expected_body(method: str, path: str, body: bytes) -> bytes:
    """Return the body of the answer to a call, which depends on the call alone."""
    digest = xxhash.xxh3_64_hexdigest(body)
    return f'{{"method":"{method}","path":"{path}","seen":"{digest}"}}'.encode()


class ServiceStandIn:
    """Stand-in for a plain service.

    :param name: name in the history.
    :param seconds: duration of a call.
    :param status: HTTP status of the answers.
    :param reachable: ``False`` makes new calls fail before they run.
    :param up: ``False`` between a crash and the restart.
    :param lost_replies: number of the next calls that run, but whose replies are lost.
    :param executions: executions by idempotency key; calls without a key count under
        their request id.
    """

    def __init__(
        self, name: str, seconds: float = 0.0, history: HistorySink | None = None
    ) -> None:
        self.name = name
        self.seconds = seconds
        self.history = history or NullHistory()
        self.status = 200
        self.reachable = True
        self.up = True
        self.lost_replies = 0
        self.executions: collections.Counter[str] = collections.Counter()
        self._running: set[asyncio.Future[None]] = set()

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Run one call, which counts as executed from its start.

        :raises NotReachedError: if the service is down or unreachable; the call did
            not run.
        :raises ReplyLostError: if the call ran and its reply is lost.
        """
        if not self.up or not self.reachable:
            raise NotReachedError(f"{self.name} is not reached")
        self.executions[call.idempotency_key or call.request_id] += 1
        self.history.record(
            Execution(
                at=asyncio.get_running_loop().time(),
                upstream=self.name,
                request=call.request_id,
                key=call.idempotency_key,
            )
        )
        await self._run()
        if self.lost_replies:
            self.lost_replies -= 1
            raise ReplyLostError(f"the reply of {self.name} was lost")
        body = expected_body(call.method, call.path, call.body)
        return ServiceAnswer(self.status, body, "application/json")

    async def is_refused(self) -> bool:
        """Return whether the service is down."""
        return not self.up

    def crash(self) -> None:
        """Crash: the replies of running calls are lost, and new calls fail."""
        self.up = False
        for ended in self._running:
            if not ended.done():
                ended.set_exception(ReplyLostError(f"{self.name} crashed"))

    def restart(self) -> None:
        """Start again; the execution counts are kept, so that tests can read them."""
        self.up = True

    async def _run(self) -> None:
        if not self.seconds:
            return
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        timer = loop.call_later(self.seconds, _end, ended)
        self._running.add(ended)
        try:
            await ended
        finally:
            timer.cancel()
            self._running.discard(ended)


def _end(ended: asyncio.Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)
