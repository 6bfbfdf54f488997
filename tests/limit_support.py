"""Replicas that name a limit, callers of several entries, and the check of arrivals."""

from __future__ import annotations

import asyncio
import bisect
import collections
import dataclasses
import time
import typing as t

from direct_support import read_answer
from direct_support import request
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script

STABLE_SECONDS = 3.0
"""Time from the first naming of a limit from which it must be kept to."""

TOLD_SECONDS = 0.5
"""Time after an answer with the limit from which its entry counts."""

SPAN_SECONDS = 4.0
SPAN_FACTOR = 1.5
SPAN_SLACK = 5


def allowed(rate: float) -> float:
    """Return how many requests a limit allows in any span."""
    return SPAN_FACTOR * rate * SPAN_SECONDS + SPAN_SLACK


@dataclasses.dataclass
class LimitRecord:
    """What a limited replica has seen; points in time are on the monotonic clock.

    :param arrivals: when requests arrived, by the entry that sent them.
    :param told: when an answer first named the limit to an entry.
    """

    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    told: dict[str, float] = dataclasses.field(default_factory=dict)

    def most_in_a_span(self) -> int:
        """Return the most counted arrivals in one span."""
        if not self.told:
            return 0
        stable_at = min(self.told.values()) + STABLE_SECONDS
        counted = sorted(
            at
            for at, entry in self.arrivals
            if at >= stable_at
            and entry in self.told
            and at >= self.told[entry] + TOLD_SECONDS
        )
        ends = (bisect.bisect_left(counted, at + SPAN_SECONDS) for at in counted)
        return max((end - start for start, end in enumerate(ends)), default=0)


class HeaderWriter:
    """Stream writer that adds a header to each head."""

    def __init__(self, writer: asyncio.StreamWriter, line: str) -> None:
        self.writer = writer
        self.line = line.encode()

    def write(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 "):
            data = data.replace(b"\r\n", b"\r\n" + self.line + b"\r\n", 1)
        self.writer.write(data)

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self.writer, name)


class HeaderScript:
    """Script of a replica that adds a header to its answers.

    :param line: the header; empty for none.
    """

    def __init__(self, script: Script, line: str = "") -> None:
        self.script = script
        self.line = line

    async def __call__(
        self, replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        with_line: t.Any = HeaderWriter(writer, self.line) if self.line else writer
        await self.script(replica, received, with_line)


class LimitedScript(HeaderScript):
    """Script of a replica that names a limit while it has one, and records requests.

    :param limit: value of the header; empty for none.
    """

    def __init__(self, script: Script, limit: str = "") -> None:
        super().__init__(script)
        self.limit = limit
        self.record = LimitRecord()

    async def __call__(
        self, replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        entry = received.request_id.partition("/")[0]
        if entry:
            self.record.arrivals.append((time.monotonic(), entry))
        self.line = f"Server-Limit: {self.limit}" if self.limit else ""
        await super().__call__(replica, received, writer)
        if self.limit and entry:
            self.record.told.setdefault(entry, time.monotonic())


async def send_steadily(
    ports: t.Mapping[str, int],
    target: str,
    rate: float,
    seconds: float,
    **headers: str,
) -> collections.Counter[int]:
    """Send requests to each entry at a rate; return the answers by status.

    :param ports: port of each entry, by name. The id of each request begins with it.
    :param rate: requests a second to each entry.
    """
    statuses: collections.Counter[int] = collections.Counter()

    async def ask(entry: str, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", ports[entry])
        try:
            request_id = f"{entry}/{number}"
            writer.write(request(target, request_id=request_id, **headers))
            got = await asyncio.wait_for(read_answer(reader), 5.0)
            statuses[got.status] += 1
        finally:
            writer.close()

    async with asyncio.TaskGroup() as group:
        for number in range(int(rate * seconds)):
            for entry in ports:
                group.create_task(ask(entry, number))
            await asyncio.sleep(1.0 / rate)
    return statuses
