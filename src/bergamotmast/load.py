"""A load driver: replays a trace against an entry over real HTTP."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import json
import typing as t

import aiohttp

from .bench.trace import TraceRequest
from .errors import Outcome
from .errors import ResultCode
from .history import HistorySink
from .history import RequestAnswered
from .history import RequestSent

PREFIX_WORDS = 128
"""Words of a shared head, so that it fills the part that entries tell prompts by."""

ExpectedText = cabc.Callable[[str, str, int], str]
"""Returns the whole answer a stand-in gives to (model, prompt, max_tokens)."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """How one call ended, as its caller saw it.

    :param prompt_tokens: length of its prompt.
    :param code: numbered result code; 0 for a whole answer.
    :param first_token: seconds to the first token, or ``None``.
    :param between: mean seconds between tokens, or ``None``.
    :param whole_by_deadline: whether it was whole in time.
    """

    request_class: str
    prompt_tokens: int
    code: int
    outcome: str
    text: str
    cut_off: bool
    total: float
    first_token: float | None = None
    between: float | None = None
    whole_by_deadline: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call, ready to be sent.

    :param path: path at the entry.
    :param body: body of the call.
    :param expected_text: whole answer where it is known, else empty.
    """

    request_id: str
    request: TraceRequest
    path: str
    body: bytes
    idempotency_key: str = ""
    expected_text: str = ""


def prompt_of(request: TraceRequest, request_id: str) -> str:
    """Return a prompt of the length that the trace asks for.

    ``[out=N]`` is read by engine stand-ins alone; a real engine ignores it.
    """
    prefix = f"{request.prefix} " * PREFIX_WORDS if request.prefix else ""
    head = f"{prefix}[out={request.output_tokens}] {request_id} "
    missing = max(0, request.prompt_tokens - len(head.split()))
    return head + "word " * missing


def plan_model_call(
    request: TraceRequest, request_id: str, expected: ExpectedText | None = None
) -> PlannedCall:
    """Return a streamed completion for one request of a trace."""
    prompt = prompt_of(request, request_id)
    max_tokens = max(request.output_tokens, 1)
    body = {
        "model": request.model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    text = expected(request.model, prompt, max_tokens) if expected else ""
    return PlannedCall(
        request_id,
        request,
        "/v1/completions",
        json.dumps(body).encode(),
        expected_text=text,
    )


class LoadDriver:
    """Sends calls and notes how they end.

    :param session: HTTP session of the caller.
    :param base_url: address of an entry or of the balancer before several.
    :param history: takes what was sent and answered.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, history: HistorySink
    ) -> None:
        self.session = session
        self.base_url = base_url
        self.history = history
        self.results: list[CallResult] = []

    async def send(self, planned: PlannedCall) -> CallResult:
        """Send one call and wait for its end."""
        loop = asyncio.get_running_loop()
        request = planned.request
        self.history.record(
            RequestSent(
                at=loop.time(),
                request=planned.request_id,
                request_class=request.klass,
                repeatable=request.repeatable,
                idempotency_key=planned.idempotency_key,
                expected_text=planned.expected_text,
            )
        )
        answer = _Answer(loop.time(), request)
        try:
            async with self.session.post(
                self.base_url + planned.path,
                data=planned.body,
                headers=_headers(planned),
                timeout=aiohttp.ClientTimeout(total=request.deadline + 10.0),
            ) as response:
                await answer.read(response)
        except (aiohttp.ClientError, TimeoutError):
            answer.cut_off = True
        result = answer.result(loop.time())
        self.results.append(result)
        self.history.record(
            RequestAnswered(
                at=loop.time(),
                request=planned.request_id,
                code=result.code,
                outcome=result.outcome,
                text=result.text,
                cut_off=result.cut_off,
            )
        )
        return result

    async def replay(
        self,
        calls: cabc.Sequence[PlannedCall],
        on_progress: cabc.Callable[[int, int], None] | None = None,
    ) -> list[CallResult]:
        """Send every call at its time and wait for all."""
        start = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for number, planned in enumerate(calls, start=1):
                due = start + planned.request.at
                await asyncio.sleep(due - asyncio.get_running_loop().time())
                group.create_task(self.send(planned))
                if on_progress is not None:
                    on_progress(number, len(calls))
        return self.results


def _headers(planned: PlannedCall) -> dict[str, str]:
    headers = {
        "X-Tenant": planned.request.tenant,
        "X-Request-Class": planned.request.klass,
        "X-Request-Id": planned.request_id,
        "Content-Type": "application/json",
    }
    if planned.idempotency_key:
        headers["Idempotency-Key"] = planned.idempotency_key
    return headers


class _Answer:
    """What has been read of one answer.

    :param sent_at: when the call was sent.
    """

    def __init__(self, sent_at: float, request: TraceRequest) -> None:
        self.sent_at = sent_at
        self.request = request
        self.parts: list[str] = []
        self.code = int(ResultCode.OK)
        self.outcome = Outcome.RAN.value
        self.cut_off = False
        self.first_at: float | None = None
        self.last_at = sent_at
        self.chunks = 0

    async def read(self, response: aiohttp.ClientResponse) -> None:
        """Read an answer, streamed or not."""
        if response.status != 200:
            self._on_error(await response.read())
        elif response.content_type == "text/event-stream":
            await self._read_events(response)
        else:
            self.parts.append((await response.read()).decode(errors="replace"))

    async def _read_events(self, response: aiohttp.ClientResponse) -> None:
        done = False
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                done = True
            else:
                self._on_event(json.loads(data))
        self.cut_off = not done and not self.code

    def _on_event(self, event: dict[str, t.Any]) -> None:
        if "error" in event:
            self._on_detail(event["error"])
            return
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.chunks += 1
        self.parts.append(event["choices"][0]["text"])

    def _on_error(self, body: bytes) -> None:
        try:
            self._on_detail(json.loads(body)["error"])
        except (ValueError, KeyError, TypeError):
            self.cut_off = True

    def _on_detail(self, detail: dict[str, t.Any]) -> None:
        self.code = int(detail["code"])
        self.outcome = str(detail["outcome"])

    def result(self, now: float) -> CallResult:
        """Return how the call ended."""
        first = None if self.first_at is None else self.first_at - self.sent_at
        tokens = self.request.output_tokens
        between = None
        if self.first_at is not None and tokens > 1 and not self.code:
            between = (self.last_at - self.first_at) / (tokens - 1)
        total = now - self.sent_at
        whole = not self.code and not self.cut_off
        return CallResult(
            request_class=self.request.klass,
            prompt_tokens=self.request.prompt_tokens,
            code=self.code,
            outcome=self.outcome,
            text="".join(self.parts),
            cut_off=self.cut_off,
            total=total,
            first_token=first,
            between=between,
            whole_by_deadline=whole and total <= self.request.deadline,
        )


def percentile(values: cabc.Sequence[float], share: float) -> float | None:
    """Return the value below which a share of the values lies; ``None`` for none."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
