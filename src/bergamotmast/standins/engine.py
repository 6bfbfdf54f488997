"""In-process stand-in for a model engine, with continuous batching and fault injection.

The engine runs on the event loop's clock, so it works in real and in simulated time.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses

from ..errors import NotReachedError
from ..errors import PortError
from ..errors import ReplyLostError
from ..history import Execution
from ..history import HistorySink
from ..history import NullHistory
from ..model import Assignment
from ..model import CacheEvent
from ..model import EngineLoad
from ..model import EngineState
from ..model import GenerateRequest
from ..model import Order
from ..model import Role
from ..model import TokenChunk
from .engine_batch import NEVER
from .engine_batch import Batch
from .engine_batch import Stage
from .engine_batch import Stream
from .engine_cache import PrefixCache
from .engine_orders import Loader
from .engine_orders import OrderExecutor
from .engine_orders import load_instantly
from .engine_spec import EngineSpec
from .engine_text import GeneratedAnswer
from .engine_text import directive
from .engine_text import generate_answer
from .kv_exchange import KvExchange

DEFAULT_ASSIGNMENT = Assignment(Role.MIXED, ("model@1",))


class _ChunkQueue:
    """The chunks of one stream that its reader has not taken yet."""

    __slots__ = ("chunks", "error", "stream", "waiter")

    def __init__(self) -> None:
        self.chunks: collections.deque[TokenChunk] = collections.deque()
        self.error: PortError | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.stream: Stream | None = None

    def put(self, chunk: TokenChunk) -> None:
        self.chunks.append(chunk)
        self._wake()

    def fail(self, error: PortError) -> None:
        self.error = self.error or error
        self._wake()

    async def get(self) -> TokenChunk:
        while not self.chunks:
            if self.error is not None:
                raise self.error
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.chunks.popleft()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadSample:
    """The engine's load from a point in time until the next sample."""

    at: float
    running: int
    waiting: int
    kv_used: int


class EngineStandIn:
    """Stand-in for one engine; implements the engine port.

    A role change fails the streams that still run, and so does an order that unloads
    their model. The sender of an order must drain the engine first.

    :param name: name in the history, and in the handles of exported KV caches.
    :param assignment: role and loaded versions at the first start.
    :param loader: loads a version, for instance a weight store stand-in's ``load``.
    :param exchange: shared by engines that import each other's KV caches.
    :param boot_prefix: makes boot ids differ between processes with the same engine
        name.
    :param up: ``False`` between a crash and the restart.
    :param reachable: ``False`` makes every call fail, while running streams go on.
    :param lost_order_replies: number of the next orders that are accepted, but whose
        replies are lost.
    """

    def __init__(
        self,
        name: str,
        spec: EngineSpec | None = None,
        *,
        assignment: Assignment = DEFAULT_ASSIGNMENT,
        loader: Loader = load_instantly,
        exchange: KvExchange | None = None,
        history: HistorySink | None = None,
        boot_prefix: str = "",
    ) -> None:
        self.name = name
        self.spec = spec or EngineSpec()
        self.exchange = exchange or KvExchange()
        self.history = history or NullHistory()
        self.boot_prefix = boot_prefix
        self.boot_count = 1
        self.up = True
        self.reachable = True
        self.lost_order_replies = 0
        self.orders = OrderExecutor(
            name,
            assignment,
            self.spec.change_seconds,
            self.spec.honours_fencing,
            loader,
            self.history,
            self._on_order_ended,
        )
        self.role = assignment.role
        self._reset()

    @property
    def boot_id(self) -> str:
        """Identity of the engine since its last start; differs after each restart."""
        return f"{self.name}-{self.boot_prefix}{self.boot_count}"

    async def state(self) -> EngineState:
        """Return the engine's assignment, fencing token and capacity.

        :raises NotReachedError: if the engine is down or unreachable.
        """
        self._check_reachable()
        rates = self.batch.rates
        changing = self.orders.target is not None
        return EngineState(
            boot_id=self.boot_id,
            assignment=None if changing else self.orders.assignment,
            changing=changing,
            token=self.orders.token,
            max_streams=rates.max_streams,
            kv_capacity=self.spec.kv_capacity,
            prefill_rate=rates.prefill_rate,
            decode_rate=rates.decode_rate,
        )

    async def load(self) -> EngineLoad:
        """Return the load as it was ``load_lag`` seconds ago.

        :raises NotReachedError: if the engine is down or unreachable.
        """
        self._check_reachable()
        self._advance()
        measured_at = _now() - self.spec.load_lag
        self._drop_samples_before(measured_at)
        sample = self._samples[0]
        return EngineLoad(measured_at, sample.running, sample.waiting, sample.kv_used)

    async def order(self, order: Order) -> None:
        """Accept an order; streams of models that are no longer served fail.

        :raises NotReachedError: if the engine is down or unreachable.
        :raises OrderRefusedError: for a stale fencing token, or while another order
            is in progress.
        :raises ReplyLostError: if the order was accepted and its reply is lost.
        """
        self._check_reachable()
        self.orders.accept(order)
        for stream_id, chunk_queue in list(self._chunk_queues.items()):
            if chunk_queue.stream and not self.orders.serves_model(
                chunk_queue.stream.request.model
            ):
                self._fail_stream(stream_id, "the engine no longer serves the model")
        if self.lost_order_replies:
            self.lost_order_replies -= 1
            raise ReplyLostError("the order's reply was lost")

    async def generate(
        self, request: GenerateRequest
    ) -> cabc.AsyncGenerator[TokenChunk, None]:
        """Yield the answer's chunks; closing the generator cancels the stream.

        :raises NotReachedError: before the first chunk, if the engine is down or
            unreachable, or can't run the request.
        :raises ReplyLostError: if the stream fails, for instance by a crash.
        """
        chunk_queue = self._accept_stream(request)
        try:
            while True:
                chunk = await chunk_queue.get()
                yield chunk
                if chunk.finish:
                    return
        finally:
            if self._chunk_queues.get(request.stream_id) is chunk_queue:
                self._remove_stream(request.stream_id)

    async def cancel(self, stream_id: str) -> None:
        """Cancel a stream, if it still runs.

        :raises NotReachedError: if the engine is down or unreachable.
        """
        self._check_reachable()
        if stream_id in self._chunk_queues or stream_id in self._detached:
            self._fail_stream(stream_id, "the stream was cancelled")

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number, delayed and with gaps.

        :raises NotReachedError: if the engine is down or unreachable.
        """
        self._check_reachable()
        return self.cache.events(after, _now())

    def crash(self, change_done: bool = False, incomplete: bool = False) -> None:
        """Crash: every stream fails, and every call until :meth:`restart`.

        :param change_done: whether an order in progress takes effect all the same.
        :param incomplete: whether the engine restarts without a known assignment.
        """
        self.up = False
        for stream_id in [*self._chunk_queues, *self._detached]:
            self._fail_stream(stream_id, "the engine crashed")
        self.exchange.forget(self.boot_id)
        self.orders.crash(change_done, incomplete)

    def restart(self) -> None:
        """Start again with a new boot id and empty caches."""
        self.boot_count += 1
        self.up = True
        self._reset()

    def break_connections(self) -> None:
        """Break every connection; streams run on until they end or are cancelled."""
        for chunk_queue in self._chunk_queues.values():
            chunk_queue.fail(ReplyLostError("the connection broke"))
        self._detached.update(self._chunk_queues)
        self._chunk_queues.clear()

    def set_speed(self, speed: float) -> None:
        """Run at a multiple of the specified rates.

        :param speed: 1 for the specified rates; 0 for an engine that hangs.
        """
        self._advance()
        self.batch.speed = speed
        self._on_batch_changed()

    @property
    def running(self) -> int:
        """Number of streams in the engine, including those that wait for admission."""
        return self.batch.admitted + self.batch.waiting

    def _reset(self) -> None:
        spec = self.spec
        self.cache = PrefixCache(
            spec.cache_capacity, spec.cache_event_lag, spec.cache_event_gap
        )
        self.batch = Batch(
            spec.roles[self.role],
            spec.kv_capacity,
            spec.tokens_per_chunk,
            self.cache,
            self._export,
            self._import,
        )
        self._chunk_queues: dict[str, _ChunkQueue] = {}
        self._detached: dict[str, _ChunkQueue] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = NEVER
        self._samples: collections.deque[_LoadSample] = collections.deque()
        self._samples.append(_LoadSample(-NEVER, 0, 0, 0))

    def _accept_stream(self, request: GenerateRequest) -> _ChunkQueue:
        answer = generate_answer(request.model, request.prompt, request.max_tokens)
        self._check_admissible(request, answer)
        self.history.record(
            Execution(at=_now(), upstream=self.name, request=request.stream_id)
        )
        chunk_queue = _ChunkQueue()
        if request.resume_tokens >= answer.tokens:
            chunk_queue.put(TokenChunk(request.resume_tokens, 0, "", answer.finish))
            return chunk_queue
        stream = self._new_stream(request, answer, chunk_queue)
        chunk_queue.stream = stream
        self._chunk_queues[request.stream_id] = chunk_queue
        self._advance()
        self.batch.add(stream)
        self._on_batch_changed()
        return chunk_queue

    def _check_admissible(
        self, request: GenerateRequest, answer: GeneratedAnswer
    ) -> None:
        self._check_reachable()
        if not self.orders.serves_model(request.model):
            raise NotReachedError(f"{self.name} does not serve {request.model} now")
        kv_tokens = request.prompt_tokens + answer.tokens
        if kv_tokens > self.spec.kv_capacity:
            raise NotReachedError(f"{kv_tokens} tokens exceed the KV memory")
        if (
            request.stream_id in self._chunk_queues
            or request.stream_id in self._detached
        ):
            raise NotReachedError(f"stream {request.stream_id} is running")

    def _new_stream(
        self,
        request: GenerateRequest,
        answer: GeneratedAnswer,
        chunk_queue: _ChunkQueue,
    ) -> Stream:
        imported = self.exchange.take(request.kv_handle) if request.kv_handle else None
        return Stream(
            request,
            answer,
            self._prefix_tokens(request),
            lambda chunk: self._deliver(chunk_queue, chunk),
            request.resume_tokens,
            request.prompt_tokens + answer.tokens,
            importing=imported is not None,
        )

    def _prefix_tokens(self, request: GenerateRequest) -> int:
        """Return how many leading prompt tokens the request's prefix key covers."""
        if not request.prefix_key:
            return 0
        stated = directive(request.prompt, "prefix")
        if stated is None:
            return int(request.prompt_tokens * self.spec.shared_share)
        return min(stated, request.prompt_tokens)

    def _deliver(self, chunk_queue: _ChunkQueue, chunk: TokenChunk) -> None:
        chunk_queue.put(chunk)
        if chunk.finish and chunk_queue.stream:
            stream_id = chunk_queue.stream.request.stream_id
            self._chunk_queues.pop(stream_id, None)
            self._detached.pop(stream_id, None)

    def _export(self, stream: Stream) -> str:
        tokens = stream.request.prompt_tokens + stream.next_index + 1
        return self.exchange.export(self.boot_id, tokens)

    def _import(self, stream: Stream) -> None:
        """Simulate the transfer of the KV cache of the prompt and the resumed text."""
        tokens = stream.request.prompt_tokens + stream.request.resume_tokens
        asyncio.get_running_loop().call_later(
            tokens / self.spec.transfer_rate, self._on_imported, self.batch, stream
        )

    def _on_imported(self, batch: Batch, stream: Stream) -> None:
        # The engine may have restarted during the transfer, with a new batch.
        if batch is self.batch:
            self._advance()
            batch.imported(stream)
            self._on_batch_changed()

    def _fail_stream(self, stream_id: str, reason: str) -> None:
        """End a stream and raise :exc:`ReplyLostError` at its reader."""
        chunk_queue = self._chunk_queues.get(stream_id) or self._detached.get(stream_id)
        self._remove_stream(stream_id)
        if chunk_queue is not None:
            chunk_queue.fail(ReplyLostError(reason))

    def _remove_stream(self, stream_id: str) -> None:
        """Remove a stream from the batch, if it still runs."""
        chunk_queue = self._chunk_queues.pop(stream_id, None)
        chunk_queue = chunk_queue or self._detached.pop(stream_id, None)
        if chunk_queue is None or chunk_queue.stream is None:
            return
        self._advance()
        if chunk_queue.stream.stage is not Stage.ENDED:
            self.batch.remove(chunk_queue.stream)
        self._on_batch_changed()

    def _on_order_ended(self) -> None:
        """Switch to the rates of a new role, which also empties the prefix cache."""
        assignment = self.orders.assignment
        if assignment is not None and assignment.role is not self.role:
            self.role = assignment.role
            self._advance()
            self.cache.clear(_now())
            self.batch.rates = self.spec.roles[self.role]

    def _check_reachable(self) -> None:
        if not self.up or not self.reachable:
            raise NotReachedError(f"{self.name} is not reached")

    def _advance(self) -> None:
        self.batch.advance(_now())

    def _on_timer(self) -> None:
        # A loop may fire a timer up to one clock tick early. If the event counted as
        # not yet due, the timer would be set for the same moment again and the loop
        # would spin.
        self.batch.advance(max(_now(), self._timer_due))
        self._timer = None
        self._on_batch_changed()

    def _on_batch_changed(self) -> None:
        """Record a load sample and set the timer for the batch's next event."""
        batch = self.batch
        running = len(batch.decoding)
        waiting = batch.admitted + batch.waiting - running
        last = self._samples[-1]
        if (last.running, last.waiting, last.kv_used) != (
            running,
            waiting,
            batch.kv_used,
        ):
            now = _now()
            self._samples.append(_LoadSample(now, running, waiting, batch.kv_used))
            self._drop_samples_before(now - self.spec.load_lag)
        self._set_timer(batch.next_event())

    def _set_timer(self, due: float) -> None:
        if self._timer is not None and due == self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._timer_due = due
        if due < NEVER:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._on_timer)

    def _drop_samples_before(self, at: float) -> None:
        """Drop the samples that are older than the one in effect at ``at``."""
        while len(self._samples) > 1 and self._samples[1].at <= at:
            self._samples.popleft()


def _now() -> float:
    return asyncio.get_running_loop().time()
