"""Deadlines pass while a machine is suspended, though its monotonic clock stands."""

from __future__ import annotations

import asyncio
import time

from bergamotmast import clocks
from bergamotmast.cli import main
from bergamotmast.commands import direct as direct_command
from direct_support import serving
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer


class Suspension:
    """Time that only the clock which counts suspensions knows of."""

    def __init__(self, monkeypatch) -> None:
        self.seconds = 0.0
        read = time.clock_gettime
        monkeypatch.setattr(
            time, "clock_gettime", lambda number: read(number) + self.seconds
        )


def test_deadline_that_passed_while_suspended_is_over_at_the_first_look(monkeypatch):
    """A task waits for input with a deadline; the machine sleeps past it and wakes.

    The input comes at the same moment. The task must see the timeout, not the input:
    what it would do with it is based on what was true before.
    """
    suspension = Suspension(monkeypatch)
    seen = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await _pipe()

        def sleep_and_wake() -> None:
            suspension.seconds += 60
            writer.write(b"x")

        loop.call_later(0.05, sleep_and_wake)
        try:
            async with asyncio.timeout(30):
                seen.append(await reader.read(1))
        except TimeoutError:
            seen.append("timeout")
        writer.close()

    with asyncio.Runner(loop_factory=clocks.BootTimeEventLoop) as runner:
        runner.run(main())
    assert seen == ["timeout"]


async def _pipe():
    arrived = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda r, w: arrived.set_result((r, w)), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    reader, _ = await arrived
    server.close()
    return reader, writer


def test_call_suspended_past_its_deadline_is_sent_nowhere_else(monkeypatch):
    """A replica fails a call while the entry is suspended beyond the call's deadline.

    The caller has long given up; a second send would be work for nobody.
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


def test_direct_entry_runs_on_that_clock(monkeypatch):
    """Its leases and deadlines are only right on the loop that counts suspensions."""
    kinds = []

    async def serve(settings) -> None:
        kinds.append(type(asyncio.get_running_loop()))

    monkeypatch.setattr(direct_command, "serve_direct", serve)
    flags = ["--name", "e", "--zone", "z", "--store-address", "127.0.0.1:1"]
    flags += ["--listen-address", "127.0.0.1:0", "--ready-address", "127.0.0.1:0"]
    flags += ["--peer-address", "127.0.0.1:0"]
    assert main(["direct", *flags]) == 0
    assert kinds == [clocks.BootTimeEventLoop]
