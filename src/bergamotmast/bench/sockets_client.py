"""Closed-loop load generator for the measurement on real sockets."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing as t

import aiohttp
import msgspec

from ..decoding import JsonDecoder
from ..errors import BergamotmastError
from ..model import GenerateRequest
from ..model import Priority
from ..standins.engine_text import expected_text
from .sockets_fleet import MODEL
from .sockets_fleet import REQUEST_CLASS

PROMPT_TOKENS = 50

_EVENT = b"data: "
_END_OF_STREAM = b"\n\ndata: [DONE]\n\n"


class UnexpectedAnswerError(BergamotmastError):
    """A call's answer is incomplete or differs from the expected one."""


class _Choice(msgspec.Struct):
    text: str


class _Event(msgspec.Struct):
    choices: list[_Choice]


_DECODER = JsonDecoder[_Event](_Event)


@dataclasses.dataclass(frozen=True, slots=True)
class CallSample:
    """Latencies of one call.

    :param tokens: length of the answer.
    :param first: seconds to the first event.
    :param gaps: seconds between consecutive events; 0 for events received together.
    """

    tokens: int
    first: float
    gaps: tuple[float, ...]


class RequestFormat(t.Protocol):
    """Format of the requests that one kind of target accepts."""

    def body(self, request_id: str, prompt: str, tokens: int) -> bytes:
        """Return the body."""
        ...


class EngineRequestFormat:
    """Requests of an engine, or of a pass-through before one."""

    def body(self, request_id: str, prompt: str, tokens: int) -> bytes:
        """Return the body."""
        request = GenerateRequest(
            stream_id=request_id,
            model=MODEL,
            prompt=prompt,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=tokens,
            priority=Priority.STANDARD,
        )
        return msgspec.json.encode(request)


class EntryRequestFormat:
    """Requests of an entry."""

    def body(self, request_id: str, prompt: str, tokens: int) -> bytes:
        """Return the body."""
        fields = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
        return msgspec.json.encode(fields | {"stream": True})


class CallerPool:
    """Concurrent callers of one target that share an HTTP session.

    :param caller: format of the target's requests.
    :param url: base address of the target.
    """

    _request_numbers = itertools.count(1)

    def __init__(
        self, session: aiohttp.ClientSession, caller: RequestFormat, url: str
    ) -> None:
        self.session = session
        self.caller = caller
        self.url = url + "/v1/completions"

    async def run(self, callers: int, tokens: int, seconds: float) -> list[CallSample]:
        """Run callers that each make one call after the other.

        :param callers: number of concurrent callers.
        :param tokens: length of each answer.
        :param seconds: time in which new calls begin; calls in flight are completed.
        """
        until = asyncio.get_running_loop().time() + seconds
        work = (self._repeat(tokens, until) for _ in range(callers))
        return [s for samples in await asyncio.gather(*work) for s in samples]

    async def _repeat(self, tokens: int, until: float) -> list[CallSample]:
        samples = []
        while asyncio.get_running_loop().time() < until:
            samples.append(await self.call(tokens))
        return samples

    async def call(self, tokens: int) -> CallSample:
        """Make one call.

        :raises UnexpectedAnswerError: if the answer is incomplete or differs.
        """
        request_id = f"n{next(self._request_numbers)}"
        head = f"[out={tokens}] {request_id} "
        prompt = head + "word " * (PROMPT_TOKENS - 2)
        headers = {
            "X-Tenant": "t",
            "X-Request-Class": REQUEST_CLASS,
            "X-Request-Id": request_id,
            "Content-Type": "application/json",
        }
        body = self.caller.body(request_id, prompt, tokens)
        loop = asyncio.get_running_loop()
        times = [loop.time()]
        parts = []
        async with self.session.post(self.url, data=body, headers=headers) as response:
            async for part in response.content.iter_any():
                parts.append(part)
                times += [loop.time()] * part.count(_EVENT)
        if answer_text(b"".join(parts)) != expected_text(MODEL, prompt, tokens):
            raise UnexpectedAnswerError(
                f"call {request_id} of {self.url}: unexpected text"
            )
        return call_sample(tokens, times)


def answer_text(stream: bytes) -> str:
    """Return the text of a complete stream of server-sent events.

    :raises UnexpectedAnswerError: if the end-of-stream event is missing.
    """
    if not stream.endswith(_END_OF_STREAM):
        raise UnexpectedAnswerError(
            f"stream without its final event: {stream[-200:]!r}"
        )
    events = stream.removesuffix(_END_OF_STREAM).split(b"\n\n")
    decoded = (_DECODER.decode(event.removeprefix(_EVENT)) for event in events)
    return "".join(event.choices[0].text for event in decoded)


def call_sample(tokens: int, times: list[float]) -> CallSample:
    """Return the latencies of a call.

    :param times: when the call was sent, then when each event arrived, the final event
        included, which carries no token.
    """
    events = times[1:-1]
    gaps = tuple(b - a for a, b in itertools.pairwise(events))
    return CallSample(tokens, events[0] - times[0], gaps)
