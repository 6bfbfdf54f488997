"""Callers that send random requests to ready entries and record the answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

from ..app import EntryProcess
from ..errors import CODE_INFO
from ..errors import Outcome
from ..errors import RequestError
from ..errors import ResultCode
from ..history import RequestAnswered
from ..history import RequestSent
from ..model import ModelCall
from ..model import Priority
from ..model import ServiceCall
from ..standins.engine_text import expected_text
from ..standins.service import expected_body
from .environment import ENTRIES
from .environment import MODEL
from .environment import FaultEnvironment

REQUESTS_PER_SECOND = 4.0
"""Mean arrival rate; arrivals are a Poisson process."""

MODEL_DEADLINE_SECONDS = 30.0
SERVICE_DEADLINE_SECONDS = 10.0
CALLER_TIMEOUT_MARGIN_SECONDS = 10.0
"""Time after its deadline at which a caller gives up and closes the connection."""

MAX_OUTPUT_TOKENS = 120
RESENT_ORDER_SHARE = 0.3
"""Share of the orders that reuse the idempotency key of an earlier order.

Orders are calls of a route that isn't repeatable.
"""


class Callers:
    """The traffic of one run.

    :param environment: environment whose entries are called.
    :param rng: seeded source of arrivals and requests.
    :param waiting: tasks of the requests that have no answer yet.
    :param errors: unexpected exceptions that entries raised; their callers are
        recorded as answered with an internal error.
    :param keys: idempotency keys of the orders sent so far.
    :param restores: restores of the key-value service that ``keys`` accounts for.
    """

    def __init__(self, environment: FaultEnvironment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.sent = 0
        self.waiting: set[asyncio.Task[None]] = set()
        self.errors: list[Exception] = []
        self.keys: list[str] = []
        self.restores = 0

    async def run(self, end_at: float) -> None:
        """Send requests until a point in time."""
        while self.environment.now() < end_at:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))
            self._send()

    async def finish(self) -> None:
        """Wait until every caller has its answer or has given up."""
        await asyncio.gather(*self.waiting)

    def _send(self) -> None:
        name = self.rng.choice(ENTRIES)
        entry = self.environment.entry(name) or self._any_ready()
        if entry is None:
            return
        self.sent += 1
        request = f"r{self.sent}"
        kind = self.rng.choice(("model", "model", "counter", "orders"))
        if kind == "model":
            sending = self._call_model(entry, request)
        else:
            sending = self._call_service(entry, request, kind)
        task = asyncio.get_running_loop().create_task(sending)
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    def _any_ready(self) -> EntryProcess | None:
        ready = [self.environment.entry(name) for name in ENTRIES]
        return next((entry for entry in ready if entry is not None), None)

    async def _call_model(self, entry: EntryProcess, request: str) -> None:
        now = self.environment.now()
        call = ModelCall(
            request_id=request,
            tenant=self.rng.choice(("a", "b")),
            request_class="c",
            priority=self.rng.choice(tuple(Priority)),
            model=MODEL,
            prompt=f"{request} [out={self.rng.randint(1, MAX_OUTPUT_TOKENS)}]",
            prompt_tokens=self.rng.randint(1, 2000),
            max_tokens=MAX_OUTPUT_TOKENS,
            prefix_key=self.rng.choice(("", "p", "q")),
            first_token_deadline=now + MODEL_DEADLINE_SECONDS / 2,
            deadline=now + MODEL_DEADLINE_SECONDS,
        )
        text = expected_text(call.model, call.prompt, call.max_tokens)
        self._record_sent(request, "model", True, text)
        parts: list[str] = []

        async def read() -> None:
            async for chunk in entry.core.submit_model(call):
                parts.append(chunk.text)

        code = await self._run_in_entry(entry, read(), MODEL_DEADLINE_SECONDS)
        self._record_answer(request, code, "".join(parts))

    async def _call_service(
        self, entry: EntryProcess, request: str, route: str
    ) -> None:
        key = self._idempotency_key(request) if route == "orders" else ""
        body = (key or request).encode()
        call = ServiceCall(
            request_id=request,
            tenant="a",
            request_class="c",
            priority=Priority.STANDARD,
            route=route,
            method="POST",
            path=f"/{route}",
            body=body,
            content_type="text/plain",
            repeatable=route == "counter",
            idempotency_key=key,
            deadline=self.environment.now() + SERVICE_DEADLINE_SECONDS,
        )
        text = expected_body(call.method, call.path, body).decode()
        self._record_sent(request, route, call.repeatable, text, key)
        parts: list[str] = []

        async def read() -> None:
            answer = await entry.core.submit_service(call)
            parts.append(answer.body.decode())

        code = await self._run_in_entry(entry, read(), SERVICE_DEADLINE_SECONDS)
        self._record_answer(request, code, "".join(parts))

    async def _run_in_entry(
        self,
        entry: EntryProcess,
        attempt: t.Coroutine[t.Any, t.Any, None],
        limit: float,
    ) -> ResultCode:
        """Run a request inside its entry's process and return its result code.

        If the entry is killed, or the caller gives up, the outcome is unknown to the
        caller.

        :param limit: deadline of the request, in seconds from now.
        """
        gate = self.environment.gate_of(entry)
        if gate is None:
            attempt.close()
            return ResultCode.OUTCOME_UNKNOWN
        task = gate.run(attempt)
        await asyncio.wait([task], timeout=limit + CALLER_TIMEOUT_MARGIN_SECONDS)
        if not task.done():
            task.cancel()
            return ResultCode.OUTCOME_UNKNOWN
        with contextlib.suppress(asyncio.CancelledError):
            try:
                task.result()
            except RequestError as error:
                return error.code
            except Exception as error:
                self.errors.append(error)
                return ResultCode.INTERNAL
            return ResultCode.OK
        return ResultCode.OUTCOME_UNKNOWN

    def _idempotency_key(self, request: str) -> str:
        """Return a new idempotency key, or at times the key of an earlier order.

        Keys from before a restore of the key-value service are not reused: the
        restore loses claims, so the system can't know that these orders ran.
        """
        if self.restores != self.environment.restores:
            self.restores = self.environment.restores
            self.keys.clear()
        if self.keys and self.rng.random() < RESENT_ORDER_SHARE:
            return self.rng.choice(self.keys)
        self.keys.append(f"key-{request}")
        return self.keys[-1]

    def _record_sent(
        self,
        request: str,
        request_class: str,
        repeatable: bool,
        text: str,
        key: str = "",
    ) -> None:
        self.environment.history.record(
            RequestSent(
                at=self.environment.now(),
                request=request,
                request_class=request_class,
                repeatable=repeatable,
                idempotency_key=key,
                expected_text=text,
            )
        )

    def _record_answer(self, request: str, code: ResultCode, text: str) -> None:
        outcome: Outcome = CODE_INFO[code].outcome
        self.environment.history.record(
            RequestAnswered(
                at=self.environment.now(),
                request=request,
                code=int(code),
                outcome=outcome.value,
                text=text,
            )
        )
