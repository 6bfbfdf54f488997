"""Handling of one streamed request: placement, prefill, decode and resumption."""

from __future__ import annotations

from ..errors import RequestError
from .answering import Answering
from .caller import CallerReply
from .context import Context
from .model import Call
from .model import Upstream
from .prefilling import Prefilling
from .stream import Stream
from .stream_placing import StreamPlacing


class StreamRun:
    """Runs one streamed request."""

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.stream = Stream(context, call, reply)
        self.placing = StreamPlacing(self.stream)
        self.prefilling = Prefilling(self.stream)

    async def run(self) -> int:
        """Stream the response to the caller and return its status.

        :raises RequestError: if the request failed; the stream may have started.
        """
        try:
            async with self.context.time_limits.limit(self.call.deadline):
                return await self._run_attempts()
        except TimeoutError:
            raise self.stream.sends.out_of_time() from None

    async def _run_attempts(self) -> int:
        sends = self.stream.sends
        try:
            while True:
                upstream = await self._engine()
                if upstream is None:
                    continue
                status = await Answering(self.stream, upstream).run()
                if status is not None:
                    return status
        except RequestError as error:
            if sends.maybe_ran:
                raise sends.exhausted(error.code) from None
            raise
        finally:
            self.stream.cache.release()

    async def _engine(self) -> Upstream | None:
        """Return the decode engine of the next attempt, running a prefill if needed.

        ``None`` if the prefill failed and the stream has to be placed again.
        """
        cache = self.stream.cache
        prefill_upstream, upstream = await self.placing.place()
        if prefill_upstream is not None and not cache:
            await self.prefilling.run(prefill_upstream)
            if not cache and self.prefilling.may_retry:
                return None
        if cache:
            return self.context.placing.answering(self.call, self.stream.sends.excluded)
        return upstream
