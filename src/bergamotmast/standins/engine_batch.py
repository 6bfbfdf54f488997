"""Continuous batching as a model in time, without a loop of its own.

Between two events the rates are constant: each decode step takes as long as the
number of streams and a prefill under way make it take, and one prefill at a time goes
at the role's rate. Streams join the batch at the end of a step. Whoever drives the
batch calls :meth:`Batch.advance` at the time that :meth:`Batch.next_event` names, so
the whole batch costs one event for each step or chunk.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import heapq
import math

from ..model import GenerateRequest
from ..model import TokenChunk
from .engine_cache import PrefixCache
from .engine_spec import RoleRates
from .engine_text import Answer

NEVER = math.inf

STEP_TOLERANCE = 1e-6
"""Share of a step that counts as none.

A stream that joins just as a step ends would else wait for one step more or less,
depending on how the rounding errors of the steps before it add up.
"""


class Stage(enum.Enum):
    """Where a stream stands."""

    WAITING = "waiting"
    IMPORTING = "importing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One answer being made.

    :param answer: the whole answer, known from the start.
    :param prefix_tokens: leading prompt tokens that the prefix key stands for.
    :param emit: takes each chunk.
    :param next_index: position of the next token to give out.
    :param kv_tokens: KV memory it holds from admission to its end.
    :param importing: whether a KV cache is imported in place of a prefill.
    :param prefill_left: tokens still to prefill; negative before prefill began.
    :param joined_step: step of the batch at which its position was ``joined_index``.
    """

    request: GenerateRequest
    answer: Answer
    prefix_tokens: int
    emit: cabc.Callable[[TokenChunk], None]
    next_index: int
    kv_tokens: int
    importing: bool = False
    stage: Stage = Stage.WAITING
    prefill_left: float = -1.0
    cached_tokens: int = 0
    joined_step: int = 0
    joined_index: int = 0

    @property
    def last_step(self) -> int:
        """Step of the batch at which its last token is made."""
        return self.joined_step + self.answer.tokens - self.joined_index


_Queue = list[tuple[int, int, Stream]]


class Batch:
    """All streams of one engine.

    :param rates: speed in the engine's present role.
    :param kv_capacity: tokens of KV memory.
    :param tokens_per_chunk: steps between chunks.
    :param export: names the KV cache of a stream that ends after its prefill.
    :param on_admitted: called when a stream that imports a KV cache may begin to.
    :param speed: 1 for as specified, less for a slow engine, 0 for a stuck one.
    :param kv_used: tokens of KV memory held.
    :param prefilled: prompt tokens prefilled, so far.
    :param decoded: output tokens made, so far.
    """

    def __init__(
        self,
        rates: RoleRates,
        kv_capacity: int,
        tokens_per_chunk: int,
        cache: PrefixCache,
        export: cabc.Callable[[Stream], str],
        on_admitted: cabc.Callable[[Stream], None],
    ) -> None:
        self.rates = rates
        self.kv_capacity = kv_capacity
        self.tokens_per_chunk = tokens_per_chunk
        self.cache = cache
        self.export = export
        self.on_admitted = on_admitted
        self.speed = 1.0
        self.kv_used = 0
        self.prefilled = 0.0
        self.decoded = 0
        self.admitted = 0
        self.waiting = 0
        self.decoding: dict[str, Stream] = {}
        self._arrivals = 0
        self._queue: _Queue = []
        self._prefills: _Queue = []
        self._finishes: _Queue = []
        self._steps = 0.0
        self._chunk_boundary = tokens_per_chunk
        self._updated_at = 0.0

    def add(self, stream: Stream) -> None:
        """Take a stream; :meth:`advance` must have been called for now."""
        self._arrivals += 1
        self.waiting += 1
        key = (int(stream.request.priority), self._arrivals, stream)
        heapq.heappush(self._queue, key)
        self._admit()

    def remove(self, stream: Stream) -> None:
        """End a stream before its last token."""
        self._end(stream)
        self._admit()

    def imported(self, stream: Stream) -> None:
        """Let a stream join whose KV cache has arrived."""
        if stream.stage is Stage.IMPORTING:
            self._start_decoding(stream)

    def advance(self, now: float) -> None:
        """Let the time up to now pass and give out what was made in it."""
        while (event := self.next_event()) <= now:
            self._process_event(event)
        if now > self._updated_at:
            self._elapse(now - self._updated_at)
            self._updated_at = now

    def next_event(self) -> float:
        """Return the time of the next event, or infinity."""
        return self._updated_at + min(
            self._seconds_until_step(), self._seconds_until_prefilled()
        )

    def _seconds_until_step(self) -> float:
        if not self.decoding:
            return NEVER
        return _duration(
            (self._target_step() - self._steps) * self._step_seconds(), self.speed
        )

    def _seconds_until_prefilled(self) -> float:
        stream = self._current_prefill()
        if stream is None:
            return NEVER
        return _duration(stream.prefill_left, self._prefill_rate())

    def _process_event(self, event: float) -> None:
        seconds_until_step = self._seconds_until_step()
        seconds_until_prefilled = self._seconds_until_prefilled()
        self._elapse(event - self._updated_at)
        self._updated_at = event
        if seconds_until_step <= seconds_until_prefilled:
            self._complete_step(self._target_step())
        else:
            self._finish_prefill()

    def _elapse(self, seconds: float) -> None:
        if self.decoding:
            steps = self._steps + seconds * self.speed / self._step_seconds()
            self._steps = min(steps, self._target_step())
        stream = self._current_prefill()
        if stream is not None:
            done = min(stream.prefill_left, seconds * self._prefill_rate())
            stream.prefill_left -= done
            self.prefilled += done

    def _step_seconds(self) -> float:
        return self.rates.step_seconds(
            len(self.decoding), self._current_prefill() is not None
        )

    def _prefill_rate(self) -> float:
        share = self.rates.prefill_share if self.decoding else 1.0
        return self.rates.prefill_rate * share * self.speed

    def _target_step(self) -> int:
        while self._finishes[0][2].stage is not Stage.DECODING:
            heapq.heappop(self._finishes)
        return min(self._finishes[0][0], self._chunk_boundary)

    def _complete_step(self, step: int) -> None:
        """Give out what a step completes; all streams at a chunk's boundary."""
        self._steps = float(step)
        if step == self._chunk_boundary:
            self._chunk_boundary += self.tokens_per_chunk
            for stream in list(self.decoding.values()):
                self._emit_up_to_step(stream, step)
        while self._finishes and self._finishes[0][0] <= step:
            stream = heapq.heappop(self._finishes)[2]
            if stream.stage is Stage.DECODING:
                self._emit_up_to_step(stream, step)
        self._admit()

    def _emit_up_to_step(self, stream: Stream, step: int) -> None:
        end = min(stream.joined_index + step - stream.joined_step, stream.answer.tokens)
        if end > stream.next_index:
            self._emit(stream, end)

    def _emit(self, stream: Stream, end: int, handle: str = "") -> None:
        start = stream.next_index
        stream.next_index = end
        self.decoded += end - start
        finish = "handoff" if handle else ""
        if end >= stream.answer.tokens:
            finish = stream.answer.finish
        cached = stream.cached_tokens
        stream.cached_tokens = 0
        if finish:
            self._end(stream)
        text = stream.answer.text(start, end)
        stream.emit(TokenChunk(start, end - start, text, finish, cached, handle))

    def _current_prefill(self) -> Stream | None:
        """Return the stream to prefill now: by priority, then by arrival."""
        while self._prefills and self._prefills[0][2].stage is not Stage.PREFILLING:
            heapq.heappop(self._prefills)
        if not self._prefills:
            return None
        stream = self._prefills[0][2]
        if stream.prefill_left < 0:
            self._begin_prefill(stream)
        return stream

    def _begin_prefill(self, stream: Stream) -> None:
        request = stream.request
        cached = self.cache.hit(request.prefix_key, stream.prefix_tokens)
        stream.cached_tokens = cached
        tokens = request.prompt_tokens + request.resume_tokens - cached
        stream.prefill_left = float(max(1, tokens))

    def _finish_prefill(self) -> None:
        stream = heapq.heappop(self._prefills)[2]
        request = stream.request
        self.cache.add(request.prefix_key, stream.prefix_tokens, self._updated_at)
        end = stream.next_index + 1
        handle = ""
        if request.prefill_only and end < stream.answer.tokens:
            handle = self.export(stream)
        self._emit(stream, end, handle)
        if stream.stage is not Stage.ENDED:
            self._start_decoding(stream)
        self._admit()

    def _start_decoding(self, stream: Stream) -> None:
        if not self.decoding:
            self._steps = 0.0
            self._chunk_boundary = self.tokens_per_chunk
            self._finishes.clear()
        stream.stage = Stage.DECODING
        stream.joined_step = math.ceil(self._steps - STEP_TOLERANCE)
        stream.joined_index = stream.next_index
        self.decoding[stream.request.stream_id] = stream
        self._arrivals += 1
        heapq.heappush(self._finishes, (stream.last_step, self._arrivals, stream))

    def _admit(self) -> None:
        while self._queue:
            stream = self._queue[0][2]
            if stream.stage is Stage.WAITING and not self._fits(stream):
                return
            key = heapq.heappop(self._queue)
            if stream.stage is Stage.WAITING:
                self._start_admitted(key)

    def _fits(self, stream: Stream) -> bool:
        free = self.kv_capacity - self.kv_used
        return self.admitted < self.rates.max_streams and stream.kv_tokens <= free

    def _start_admitted(self, key: tuple[int, int, Stream]) -> None:
        stream = key[2]
        self.waiting -= 1
        self.admitted += 1
        self.kv_used += stream.kv_tokens
        if stream.importing:
            stream.stage = Stage.IMPORTING
            self.on_admitted(stream)
        else:
            stream.stage = Stage.PREFILLING
            heapq.heappush(self._prefills, key)

    def _end(self, stream: Stream) -> None:
        if stream.stage is Stage.ENDED:
            return
        if stream.stage is Stage.WAITING:
            self.waiting -= 1
        else:
            self.admitted -= 1
            self.kv_used -= stream.kv_tokens
        stream.stage = Stage.ENDED
        self.decoding.pop(stream.request.stream_id, None)


def _duration(amount: float, rate: float) -> float:
    return amount / rate if rate > 0 else NEVER
