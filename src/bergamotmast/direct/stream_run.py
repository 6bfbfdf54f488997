"""One streamed request: where it is read and answered, and how it goes on elsewhere."""

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
        """Answer the caller and return the status.

        :raises RequestError: if there is no answer to give; nothing was sent then.
        """
        try:
            async with self.context.time_limits.limit(self.call.deadline):
                return await self._answer()
        except TimeoutError:
            raise self.stream.sends.out_of_time() from None

    async def _answer(self) -> int:
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
        """Return the engine that answers next, once the prompt is read where it should.

        ``None`` where the prompt was not read and has to be placed anew.
        """
        cache = self.stream.cache
        reader, upstream = await self.placing.place()
        if reader is not None and not cache:
            await self.prefilling.run(reader)
            if not cache and self.prefilling.may_go_on:
                return None
        if cache:
            return self.context.placing.answering(self.call, self.stream.sends.excluded)
        return upstream
