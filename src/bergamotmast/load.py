"""Load driver that replays a trace against an entry over HTTP."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import json
import typing as t

import aiohttp

from .bench.trace import TraceRequest
from .decoding import DecodingError
from .decoding import decode_json
from .errors import Outcome
from .errors import ResultCode
from .history import HistorySink
from .history import RequestAnswered
from .history import RequestSent

PREFIX_WORDS = 128
"""Length of a shared prefix; long enough to fill the part of a prompt that entries hash
to recognize a prefix."""

ExpectedText = cabc.Callable[[str, str, int], str]
"""Returns a stand-in's complete response to (model, prompt, max_tokens)."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call, as its caller saw it.

    :param prompt_tokens: length of the prompt, tokens.
    :param code: result code; 0 for a complete response.
    :param outcome: ``ran``, ``not_run`` or ``unknown``.
    :param text: received text.
    :param cut_off: whether the response broke off without a result code.
    :param total: total latency, seconds.
    :param first_token: time to first token, seconds; ``None`` if there was none.
    :param inter_token: mean inter-token latency, seconds; ``None`` if not measured.
    :param whole_by_deadline: whether the response was complete by its deadline.
    """

    request_class: str
    prompt_tokens: int
    code: int
    outcome: str
    text: str
    cut_off: bool
    total: float
    first_token: float | None = None
    inter_token: float | None = None
    whole_by_deadline: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """Call that is ready to be sent.

    :param request: request of the trace; gives the time of the call and its deadline.
    :param path: path at the entry.
    :param body: request body.
    :param idempotency_key: idempotency key; empty for none.
    :param expected_text: complete response; empty if unknown.
    """

    request_id: str
    request: TraceRequest
    path: str
    body: bytes
    idempotency_key: str = ""
    expected_text: str = ""


def build_prompt(request: TraceRequest, request_id: str) -> str:
    """Return a prompt of the length that the trace specifies.

    ``[out=N]`` sets the output length of stand-ins; real engines ignore it.
    """
    prefix = f"{request.prefix} " * PREFIX_WORDS if request.prefix else ""
    head = f"{prefix}[out={request.output_tokens}] {request_id} "
    missing = max(0, request.prompt_tokens - len(head.split()))
    return head + "word " * missing


def plan_model_call(
    request: TraceRequest, request_id: str, expected: ExpectedText | None = None
) -> PlannedCall:
    """Return the call of a streamed completion for a request of a trace.

    :param expected: returns the response to expect; unknown if ``None``.
    """
    prompt = build_prompt(request, request_id)
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
    """Sends calls and records their results.

    :param session: HTTP session of the caller.
    :param base_url: base URL of an entry or of a load balancer.
    :param history: receiver of the records of requests and responses.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, history: HistorySink
    ) -> None:
        self.session = session
        self.base_url = base_url
        self.history = history
        self.results: list[CallResult] = []

    async def send(self, planned: PlannedCall) -> CallResult:
        """Send a call, wait for its response and record both."""
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
        reader = _ResponseReader(loop.time(), request)
        try:
            async with self.session.post(
                self.base_url + planned.path,
                data=planned.body,
                headers=_headers(planned),
                timeout=aiohttp.ClientTimeout(total=request.deadline + 10.0),
            ) as response:
                await reader.read(response)
        except (aiohttp.ClientError, TimeoutError):
            reader.cut_off = True
        result = reader.result(loop.time())
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
        """Send all calls at their times and wait for their results.

        :param calls: calls, sorted by time.
        :param on_progress: called with the number of sent calls and of all calls.
        """
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


class _ResponseReader:
    """Reads a response and measures its latencies.

    :param sent_at: time at which the call was sent, seconds on the event loop's clock.
    :param request: request of the trace.
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
        """Read a response, streamed or not."""
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
                self._on_event(decode_json(data, dict))
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
            self._on_detail(decode_json(body, dict)["error"])
        except (DecodingError, ValueError, KeyError, TypeError):
            self.cut_off = True

    def _on_detail(self, detail: dict[str, t.Any]) -> None:
        self.code = int(detail["code"])
        self.outcome = str(detail["outcome"])

    def result(self, now: float) -> CallResult:
        """Return the result of the call."""
        first = None if self.first_at is None else self.first_at - self.sent_at
        tokens = self.request.output_tokens
        inter_token = None
        if self.first_at is not None and tokens > 1 and not self.code:
            inter_token = (self.last_at - self.first_at) / (tokens - 1)
        total = now - self.sent_at
        complete = not self.code and not self.cut_off
        return CallResult(
            request_class=self.request.klass,
            prompt_tokens=self.request.prompt_tokens,
            code=self.code,
            outcome=self.outcome,
            text="".join(self.parts),
            cut_off=self.cut_off,
            total=total,
            first_token=first,
            inter_token=inter_token,
            whole_by_deadline=complete and total <= self.request.deadline,
        )


def percentile(values: cabc.Sequence[float], share: float) -> float | None:
    """Return a percentile of the values; ``None`` if there are none.

    :param share: percentile as a fraction, 0 to 1.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
