"""The caller's end of a request."""

from __future__ import annotations

import typing as t

from .ports import Headers


class CallerReply(t.Protocol):
    """Takes the answer to one request."""

    @property
    def started(self) -> bool:
        """Whether status and headers are on their way."""
        ...

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        ...

    async def finish(self) -> None:
        """End a stream as complete."""
        ...

    def abort(self) -> None:
        """End a stream so that it can't be taken for complete."""
        ...
