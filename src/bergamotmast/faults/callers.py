"""Callers: they send requests to whichever entry is ready and record what they get."""

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
from .world import ENTRIES
from .world import MODEL
from .world import FaultWorld

RATE = 4.0
"""Requests a second."""

MODEL_SECONDS = 30.0
SERVICE_SECONDS = 10.0
PATIENCE = 10.0
"""Seconds past its deadline that a caller waits before it hangs up."""

MOST_TOKENS = 120
REPLAYED_SHARE = 0.3
"""Share of the orders that a caller sends again, mostly through another entry."""


class Callers:
    """The traffic of one run.

    :param world: whose entries are called.
    :param rng: seeded source of arrivals and of requests.
    :param errors: what no entry should raise; its caller is told an internal error.
    """

    def __init__(self, world: FaultWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.sent = 0
        self.waiting: set[asyncio.Task[None]] = set()
        self.errors: list[Exception] = []
        self.keys: list[str] = []
        self.restores = 0

    async def run(self, until: float) -> None:
        """Send until a point in time."""
        while self.world.now() < until:
            await asyncio.sleep(self.rng.expovariate(RATE))
            self._send()

    async def finish(self) -> None:
        """Wait until every caller has its answer or has hung up."""
        await asyncio.gather(*self.waiting)

    def _send(self) -> None:
        name = self.rng.choice(ENTRIES)
        entry = self.world.entry(name) or self._any_ready()
        if entry is None:
            return
        self.sent += 1
        request = f"r{self.sent}"
        kind = self.rng.choice(("model", "model", "counter", "orders"))
        if kind == "model":
            asking = self._ask_model(entry, request)
        else:
            asking = self._ask_service(entry, request, kind)
        task = asyncio.get_running_loop().create_task(asking)
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    def _any_ready(self) -> EntryProcess | None:
        ready = [self.world.entry(name) for name in ENTRIES]
        return next((entry for entry in ready if entry is not None), None)

    async def _ask_model(self, entry: EntryProcess, request: str) -> None:
        now = self.world.now()
        call = ModelCall(
            request_id=request,
            tenant=self.rng.choice(("a", "b")),
            request_class="c",
            priority=self.rng.choice(tuple(Priority)),
            model=MODEL,
            prompt=f"{request} [out={self.rng.randint(1, MOST_TOKENS)}]",
            prompt_tokens=self.rng.randint(1, 2000),
            max_tokens=MOST_TOKENS,
            prefix_key=self.rng.choice(("", "p", "q")),
            first_token_deadline=now + MODEL_SECONDS / 2,
            deadline=now + MODEL_SECONDS,
        )
        text = expected_text(call.model, call.prompt, call.max_tokens)
        self._record_sent(request, "model", True, text)
        parts: list[str] = []

        async def read() -> None:
            async for chunk in entry.core.submit_model(call):
                parts.append(chunk.text)

        code = await self._within(entry, read(), MODEL_SECONDS)
        self._record_answer(request, code, "".join(parts))

    async def _ask_service(self, entry: EntryProcess, request: str, route: str) -> None:
        key = self._key(request) if route == "orders" else ""
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
            deadline=self.world.now() + SERVICE_SECONDS,
        )
        text = expected_body(call.method, call.path, body).decode()
        self._record_sent(request, route, call.repeatable, text, key)
        parts: list[str] = []

        async def read() -> None:
            answer = await entry.core.submit_service(call)
            parts.append(answer.body.decode())

        code = await self._within(entry, read(), SERVICE_SECONDS)
        self._record_answer(request, code, "".join(parts))

    async def _within(
        self,
        entry: EntryProcess,
        reading: t.Coroutine[t.Any, t.Any, None],
        limit: float,
    ) -> ResultCode:
        """Run a request inside its entry; a broken connection tells nothing."""
        gate = self.world.gate_of(entry)
        if gate is None:
            reading.close()
            return ResultCode.OUTCOME_UNKNOWN
        task = gate.run(reading)
        await asyncio.wait([task], timeout=limit + PATIENCE)
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

    def _key(self, request: str) -> str:
        """Return a key, now and then that of an earlier order sent again.

        A service that came back with older content has lost claims: no caller sends
        an order from before again, because nothing could tell that it ran.
        """
        if self.restores != self.world.restores:
            self.restores = self.world.restores
            self.keys.clear()
        if self.keys and self.rng.random() < REPLAYED_SHARE:
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
        self.world.history.record(
            RequestSent(
                at=self.world.now(),
                request=request,
                request_class=request_class,
                repeatable=repeatable,
                idempotency_key=key,
                expected_text=text,
            )
        )

    def _record_answer(self, request: str, code: ResultCode, text: str) -> None:
        outcome: Outcome = CODE_INFO[code].outcome
        self.world.history.record(
            RequestAnswered(
                at=self.world.now(),
                request=request,
                code=int(code),
                outcome=outcome.value,
                text=text,
            )
        )
