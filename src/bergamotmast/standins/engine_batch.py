"""Discrete-event model of continuous batching, driven from outside.

Between two events all rates are constant. The duration of a decode step depends on
the number of decoding streams and on whether a prefill runs; one prefill runs at a
time, at the role's rate. Streams join the batch at the end of a step. The driver calls
:meth:`Batch.advance` at the time that :meth:`Batch.next_event` returns, so the whole
batch costs one event for each step or chunk.
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
from .engine_text import GeneratedAnswer

NEVER = math.inf

STEP_TOLERANCE_SHARE = 1e-6
"""Share of a step that counts as zero.

Without it, a stream that joins just as a step ends would wait for one step more or
less, depending on the accumulated rounding errors of the steps before.
"""


class Stage(enum.Enum):
    """Stage of a stream's life cycle."""

    WAITING = "waiting"
    IMPORTING = "importing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One request that the engine answers.

    :param answer: the whole answer, which is known from the start.
    :param prefix_tokens: leading prompt tokens covered by the prefix key.
    :param emit: called with each chunk.
    :param next_index: position of the next token to emit.
    :param kv_tokens: KV memory reserved from admission to the end, in tokens.
    :param importing: whether a KV cache is imported instead of a prefill.
    :param prefill_left: tokens left to prefill; negative before the prefill begins.
    :param cached_tokens: prompt tokens found in the prefix cache, until the first
        chunk has reported them.
    :param joined_step: batch step at which the stream began to decode.
    :param joined_index: position of its next token at that step.
    """

    request: GenerateRequest
    answer: GeneratedAnswer
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
        """Batch step that generates the last token."""
        return self.joined_step + self.answer.tokens - self.joined_index


_Queue = list[tuple[int, int, Stream]]
"""Heap of streams; an entry's first two items are its sort key."""


class Batch:
    """All streams of one engine.

    :param rates: rates of the engine's current role.
    :param kv_capacity: size of the KV memory, in tokens.
    :param tokens_per_chunk: decode steps between chunks.
    :param export: exports the KV cache of a stream that ends after its prefill, and
        returns its handle.
    :param on_admitted: called on the admission of a stream that imports a KV cache;
        the import may start.
    :param speed: factor of the rates: 1 as specified, less for a slow engine, 0 for
        one that hangs.
    :param kv_used: KV memory reserved by admitted streams, in tokens.
    :param prefilled: prompt tokens prefilled so far.
    :param decoded: output tokens generated so far.
    :param admitted: number of admitted streams that have not ended.
    :param waiting: number of streams that wait for admission.
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
        """Enqueue a stream; :meth:`advance` must have been called for this moment."""
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
        """Start to decode a stream whose KV cache has been imported."""
        if stream.stage is Stage.IMPORTING:
            self._start_decoding(stream)

    def advance(self, now: float) -> None:
        """Advance to a point in time and emit the chunks that are complete by then."""
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
        """Return the next step at which a stream ends or a chunk is due."""
        while self._finishes[0][2].stage is not Stage.DECODING:
            heapq.heappop(self._finishes)
        return min(self._finishes[0][0], self._chunk_boundary)

    def _complete_step(self, step: int) -> None:
        """Emit the chunks that a step completes.

        At a chunk boundary these are the chunks of all decoding streams, else those
        of the streams that end with this step.
        """
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
        """Return the stream to prefill now: the first by priority, then by arrival."""
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
        stream.joined_step = math.ceil(self._steps - STEP_TOLERANCE_SHARE)
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
