"""Deadlines expire while the machine is suspended and its monotonic clock stops."""

from __future__ import annotations

import asyncio
import contextlib
import time

from bergamotmast import clocks
from bergamotmast.cli import main
from bergamotmast.commands import direct as direct_command
from direct_support import serving
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer


class Suspension:
    """Simulates suspended time, which only ``CLOCK_BOOTTIME`` includes."""

    def __init__(self, monkeypatch) -> None:
        self.seconds = 0.0
        read = time.clock_gettime
        monkeypatch.setattr(
            time, "clock_gettime", lambda number: read(number) + self.seconds
        )


def test_deadline_that_passed_while_suspended_expires_before_input_is_read(monkeypatch):
    """A task reads with a timeout; the machine is suspended beyond the timeout.

    Input arrives at the moment of the resume. The task must get the timeout and not
    the input, as it would act on state from before the suspension.
    """
    suspension = Suspension(monkeypatch)
    seen = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with _pipe() as (reader, writer):

            def sleep_and_wake() -> None:
                suspension.seconds += 60
                writer.write(b"x")

            loop.call_later(0.05, sleep_and_wake)
            try:
                async with asyncio.timeout(30):
                    seen.append(await reader.read(1))
            except TimeoutError:
                seen.append("timeout")

    with asyncio.Runner(loop_factory=clocks.BootTimeEventLoop) as runner:
        runner.run(main())
    assert seen == ["timeout"]


@contextlib.asynccontextmanager
async def _pipe():
    arrived = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda r, w: arrived.set_result((r, w)), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    reader, far_writer = await arrived
    server.close()
    try:
        yield reader, writer
    finally:
        writer.close()
        far_writer.close()


def test_call_suspended_past_its_deadline_is_not_retried(monkeypatch):
    """A replica fails a call while the entry is suspended beyond the call's deadline.

    The caller has given up long ago; a retry would be wasted work.
    """
    suspension = Suspension(monkeypatch)

    async def script(replica: Replica, received: Received, writer) -> None:
        suspension.seconds += 60
        await answer(500, b"no")(replica, received, writer)

    one, two = Replica("i-1", script), Replica("i-2", script)

    async def main() -> int:
        async with serving(one, two) as entry:
            return (await entry.ask("/read/x")).status

    with asyncio.Runner(loop_factory=clocks.BootTimeEventLoop) as runner:
        assert runner.run(main()) == 504
    assert len(one.received) + len(two.received) == 1


def test_direct_entry_uses_the_boot_time_loop(monkeypatch):
    """Leases and deadlines of the direct entry must include suspended time."""
    kinds = []

    async def serve(settings) -> None:
        kinds.append(type(asyncio.get_running_loop()))

    monkeypatch.setattr(direct_command, "serve_direct", serve)
    flags = ["--name", "e", "--zone", "z", "--store-address", "127.0.0.1:1"]
    flags += ["--listen-address", "127.0.0.1:0", "--ready-address", "127.0.0.1:0"]
    flags += ["--peer-address", "127.0.0.1:0"]
    assert main(["direct", *flags]) == 0
    assert kinds == [clocks.BootTimeEventLoop]
