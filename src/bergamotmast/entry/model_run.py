"""Execution of one model request: attempts, resumption and the answer so far."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from ..errors import ResultCode
from ..model import Cost
from ..model import ModelCall
from ..model import TokenChunk
from ..policy import Choice
from ..protocol import messages
from ..protocol import timing
from .attempt import DeadlinePassed
from .attempt import EntryAttempt
from .attempt import SessionLost
from .attempt import SideReplaced
from .interfaces import EntryContext
from .placement import Placement


class ModelRun:
    """Runs one model request until its answer is complete.

    The run stores the text that the caller has received. When an attempt fails, the
    next one resumes from that point on another engine. Chunks of earlier attempts are
    dropped, and a chunk that would leave a gap fails its attempt.

    :param entry: the entry that runs the request.
    :param call: the request.
    :param text: the parts of the answer that the caller has received.
    :param tokens: tokens in that text.
    :param kv_handle: KV cache exported by the prefill engine; empty if there is none.
    :param finished: whether the answer is complete.
    """

    def __init__(self, entry: EntryContext, call: ModelCall) -> None:
        self.entry = entry
        self.call = call
        self.placement = Placement(entry, call)
        self.cost = entry.policy.predict(call)
        self.text: list[str] = []
        self.tokens = 0
        self.kv_handle = ""
        self.finished = False

    async def chunks(self) -> cabc.AsyncGenerator[TokenChunk]:
        """Yield the chunks of the answer.

        :raises RequestError: if the answer can't be completed.
        """
        self.entry.policy.on_admitted(self.call, self.placement.now())
        while not self.finished:
            choice = await self.placement.choose(self.tokens, self._wait_until())
            assert choice.upstream is not None
            async with self.placement.run_apart(choice.upstream) as granted:
                if not granted:
                    self.placement.on_busy(choice.upstream)
                    continue
                attempt = await self._offer(choice)
                if attempt is None:
                    continue
                consumed = self._consume(attempt)
                async with contextlib.aclosing(consumed):
                    async for chunk in consumed:
                        yield chunk
        self.placement.on_answered()

    def _wait_until(self) -> float:
        """Return the local monotonic time until which the run waits for an upstream."""
        return self.call.deadline if self.tokens else self.call.first_token_deadline

    async def _offer(self, choice: Choice) -> EntryAttempt | None:
        assert choice.upstream is not None
        call = self.call
        now = self.placement.now()
        work = messages.ModelWork(
            model=call.model,
            prompt=call.prompt,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            predicted_tokens=max(1, self.cost.decode - self.tokens),
            prefix_key=call.prefix_key,
            first_token_budget=self._wait_until() - now,
            resume_text="".join(self.text),
            resume_tokens=self.tokens,
            kv_handle=self.kv_handle,
            prefill_only=choice.prefill_only,
        )
        cost = self._cost_left(choice.prefill_only)
        return await self.placement.offer(choice.upstream, cost, work)

    def _cost_left(self, prefill_only: bool) -> Cost:
        """Return the predicted cost of the next attempt, in tokens.

        With an exported KV cache no prefill is left. To resume an answer, its tokens
        are prefilled along with the prompt.
        """
        prefill = 0 if self.kv_handle else self.cost.prefill + self.tokens
        decode = 1 if prefill_only else self.cost.decode - self.tokens
        return Cost(prefill, max(1, decode))

    async def _consume(self, attempt: EntryAttempt) -> cabc.AsyncGenerator[TokenChunk]:
        """Yield the chunks that an attempt adds, until it completes or fails."""
        ended = False
        self.kv_handle = ""
        tokens_before = self.tokens
        try:
            while not ended:
                event = await attempt.events.get()
                match event:
                    case messages.Chunk():
                        if event.index > self.tokens:
                            self._on_attempt_failed(attempt, tokens_before)
                            return
                        chunk = self._accept(attempt, event)
                        ended = bool(event.finish)
                        if ended:
                            self._on_finish(attempt, event, tokens_before)
                        if chunk is not None:
                            yield chunk
                            await self._grant(attempt)
                    case messages.Refused():
                        ended = True
                        self.placement.on_refused(
                            attempt.upstream, event.code, event.retry_after or None
                        )
                    case messages.Failed():
                        ended = True
                        self.placement.has_run = True
                        await self.placement.on_crash(
                            attempt.upstream, event.crashed_boot
                        )
                        self._on_attempt_failed(attempt, tokens_before)
                    case SessionLost() | SideReplaced():
                        ended = True
                        self._on_attempt_failed(attempt, tokens_before)
                    case DeadlinePassed():
                        await self._end_at_deadline(attempt)
                        ended = True
                    case _:
                        pass
        finally:
            await self._release(attempt, ended)

    def _accept(
        self, attempt: EntryAttempt, chunk: messages.Chunk
    ) -> TokenChunk | None:
        """Append a chunk to the answer.

        :returns: the chunk for the caller; ``None`` if it is empty or a duplicate.
        """
        if chunk.index < self.tokens or not chunk.tokens:
            return None
        if self.tokens == 0:
            self.placement.has_run = True
            self.entry.policy.on_first_token(
                attempt.upstream, self.call, chunk.cached_tokens, self.placement.now()
            )
        self.tokens += chunk.tokens
        self.text.append(chunk.text)
        finish = "" if chunk.finish == "handoff" else chunk.finish
        return TokenChunk(
            chunk.index, chunk.tokens, chunk.text, finish, chunk.cached_tokens
        )

    def _on_finish(
        self, attempt: EntryAttempt, chunk: messages.Chunk, tokens_before: int
    ) -> None:
        """Complete an attempt; after a handoff, a decode engine continues."""
        self.placement.on_done(attempt.upstream, self.tokens - tokens_before)
        if chunk.finish == "handoff":
            self.kv_handle = chunk.kv_handle
            self.placement.accepted = True
            self.placement.excluded.clear()
        else:
            self.finished = True

    def _on_attempt_failed(self, attempt: EntryAttempt, tokens_before: int) -> None:
        self.placement.on_failed(
            attempt.upstream, ResultCode.UPSTREAM_FAILED, self.tokens - tokens_before
        )

    async def _end_at_deadline(self, attempt: EntryAttempt) -> t.NoReturn:
        """End the request at its deadline with the outcome that the side reports."""
        state = await self.placement.resolve(attempt)
        if state == "never_started":
            raise self.placement.error(ResultCode.EXPIRED_IN_QUEUE, None)
        if state == "unknown" and not (attempt.started or self.tokens):
            raise self.placement.error(ResultCode.OUTCOME_UNKNOWN, None)
        raise self.placement.error(ResultCode.DEADLINE_EXCEEDED, None)

    async def _grant(self, attempt: EntryAttempt) -> None:
        """Grant credit to the side each time half of the window has been consumed."""
        attempt.consumed_chunks += 1
        if attempt.consumed_chunks * 2 >= timing.CHUNK_CREDIT:
            peer = self.entry.membership.peers.get(attempt.upstream)
            if peer is not None:
                await peer.grant(attempt, attempt.consumed_chunks)
            attempt.consumed_chunks = 0

    async def _release(self, attempt: EntryAttempt, ended: bool) -> None:
        """Stop tracking an attempt, and cancel it if it may still run."""
        self.placement.detach(attempt)
        if ended:
            return
        peer = self.entry.membership.peers.get(attempt.upstream)
        if peer is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await peer.cancel(attempt)
