"""Handling of one streamed request: placement, prefill, decode and resumption."""

from __future__ import annotations

import asyncio

from ..errors import RequestError
from .attempt_race import AttemptRace
from .caller import CallerReply
from .context import Context
from .exported_cache import ExportedCache
from .model import Call
from .model import Upstream
from .remote_prefill import RemotePrefill
from .stream import Stream
from .stream_placer import StreamPlacer


class StreamRun:
    """Runs one streamed request."""

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.stream = Stream(context, call, reply)
        self.placer = StreamPlacer(self.stream)
        self.remote_prefill = RemotePrefill(self.stream)

    async def run(self) -> int:
        """Stream the response to the caller and return its status.

        :raises RequestError: if the request failed; the stream may have started.
        """
        complete = False
        try:
            async with self.context.time_limits.limit(self.call.deadline):
                status = await self._run_attempts()
            complete = 200 <= status < 300
            return status
        except TimeoutError:
            raise self.stream.attempts.timeout_error() from None
        finally:
            self.context.stream_builds.on_ended(self.call.began_as, complete=complete)

    async def _run_attempts(self) -> int:
        attempts = self.stream.attempts
        try:
            status = await AttemptRace(self.stream, self).run()
        except RequestError as error:
            failure = self.stream.last_failure
            if failure is not None and not self.stream.reply.started:
                await self.stream.reply.respond(
                    failure.status, failure.headers, failure.body
                )
                return failure.status
            if attempts.may_have_run:
                raise attempts.exhausted_error(error.code) from None
            raise
        attempts.on_answered()
        return status

    async def choose(self, cache: ExportedCache) -> Upstream:
        """Return the decode engine of the next attempt, running a prefill if needed.

        An engine that turns out not to take the request in time is not chosen again.
        """
        permits = self.stream.permits
        while True:
            prefill_upstream, upstream = await self.placer.place()
            if self.stream.goes_on and not await self._is_identified(upstream):
                continue
            if prefill_upstream is not None and not cache:
                pair = prefill_upstream, upstream
                if not all([await self._is_identified(engine) for engine in pair]):
                    if not all(self.context.fleet.is_registered(e.key) for e in pair):
                        continue
                    # An engine of an unknown build neither exports nor imports.
                    prefill_upstream = None
            if prefill_upstream is not None and not cache:
                # Without a permit of both engines, the prompt would be read in vain.
                if not await permits.reserve(upstream):
                    continue
                if not await permits.take(prefill_upstream):
                    continue
                await self.remote_prefill.run(prefill_upstream, cache)
                if cache and not await self._is_kept(cache):
                    cache.release()
                if not cache and self.remote_prefill.may_retry:
                    continue
            if cache:
                decode_upstream = await self._choose_importer(cache)
                if decode_upstream is not None and await self._is_kept(cache):
                    return decode_upstream
                # No engine is left that can import the KV cache, or it is gone.
                cache.release()
            elif await permits.take(upstream):
                return upstream

    async def _choose_importer(self, cache: ExportedCache) -> Upstream | None:
        """Return the engine that imports a KV cache, once the request may be sent."""
        permits = self.stream.permits
        while True:
            upstream = self.context.placer.place_decode(
                self.call, self.stream.excluded_importers, cache.build, permits
            )
            if upstream is None:
                return None
            if not await self._is_identified(upstream):
                continue
            if await permits.take(upstream):
                return upstream

    async def _is_kept(self, cache: ExportedCache) -> bool:
        """Return whether the engine that has exported a KV cache has not ended since.

        One that has started anew may have given the handle to another request.
        """
        return cache.engine is not None and await self._is_identified(cache.engine)

    async def _is_identified(self, engine: Upstream) -> bool:
        """Return whether an engine still is the incarnation that was chosen.

        One that doesn't tell is not chosen again for this stream.
        """
        now = asyncio.get_running_loop().time()
        found = await self.context.incarnations.identify(engine, now)
        if found is None:
            self.stream.unidentified.add(engine.key)
        return found is not None and found.boot == engine.boot
