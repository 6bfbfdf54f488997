"""The caller's end of a request: what came in, and where the answer goes."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from .ports import Headers


class CallerBody(t.Protocol):
    """A request's body, which may come later than its head, or not at all."""

    async def read(self, most: int) -> bytes | None:
        """Return the whole body; ``None`` once it is longer than the limit.

        :param most: bytes.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as its caller sent it.

    :param target: path and query, not decoded.
    :param headers: by name without regard to case; the first of each name.
    :param items: all headers in order, doubled ones too.
    :param body: reads the body, or no more of it than a limit allows.
    :param arrived_at: point on the event loop's clock.
    """

    method: str
    target: str
    host: str
    headers: cabc.Mapping[str, str]
    items: Headers
    body: CallerBody
    arrived_at: float


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
