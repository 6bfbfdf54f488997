"""Processes that the measurement on real sockets starts, all on loopback.

The product itself never starts processes; this tool does, in place of an operator.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import typing as t

import aiohttp
import msgspec

from ..adapters.http_calls import client_session
from ..adapters.key_value_http import HttpKeyValueService
from ..config.document import Configuration
from ..config.document import RequestClass
from ..config.document import Selector
from ..config.store import ConfigStore
from ..history import NullHistory
from ..model import Assignment
from ..model import InstanceInfo
from ..model import Role
from ..model import UpstreamKind
from ..standins.engine_spec import EngineSpec
from ..standins.engine_spec import RoleRates

MODEL = "model"
REQUEST_CLASS = "c"
ZONE = "zone-a"

START_TIMEOUT_SECONDS = 30.0
"""Time within which a process must be ready."""

STOP_TIMEOUT_SECONDS = 10.0
"""Time after SIGTERM at which a process is killed."""

REQUEST_DEADLINE_SECONDS = 60.0
"""Deadline of all requests; long enough that none is refused because of it."""

STEP_SECONDS = 0.01
"""Time between two tokens of an engine stand-in, for any batch size."""

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
"""Index of ``utime`` after the command name in ``/proc/<pid>/stat``."""

ENGINE_RATES = RoleRates(
    prefill_rate=1e6,
    prefill_share=1.0,
    step_base=STEP_SECONDS,
    step_per_stream=0.0,
    interference=1.0,
    max_streams=1024,
)
"""Rates high enough that the simulated engine is never the bottleneck."""


def cpu_seconds(stat: str) -> float:
    """Return the user and system time in the text of a ``/proc/<pid>/stat``."""
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_USER_FIELD + 1])
    return ticks / TICKS_PER_SECOND


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class SocketsFleet:
    """Processes by name: stand-ins, sides, one entry and one pass-through.

    :param profile_directory: where each process writes its profile, or ``None``.
    """

    def __init__(self, profile_directory: pathlib.Path | None = None) -> None:
        self.profile_directory = profile_directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.urls: dict[str, str] = {}
        self.engines: list[str] = []

    async def start(self, engines: int) -> None:
        """Start all processes; return once the entry has a session with every side."""
        self.engines = [f"engine-{i + 1}" for i in range(engines)]
        await asyncio.gather(
            self._start_standin("key-value", "key-value", {}),
            *(self._start_engine(name) for name in self.engines),
        )
        sides = {name: free_address() for name in self.engines}
        infos = [
            InstanceInfo(name, UpstreamKind.ENGINE, ZONE, address, self.urls[name])
            for name, address in sides.items()
        ]
        await self._start_standin("list", "instance-list", {"instances": infos})
        await self._configure()
        passthrough = ("--upstream-url", self.urls[self.engines[0]])
        self.urls["passthrough"] = await self._launch(
            "passthrough", "bergamotmast.bench.passthrough", passthrough
        )
        for name, address in sides.items():
            await self._start_side(name, address)
        await self._start_entry()

    async def _start_engine(self, name: str) -> None:
        options = {
            "name": name,
            "assignment": Assignment(Role.MIXED, (f"{MODEL}@1",)),
            "spec": EngineSpec(
                roles=dict.fromkeys(Role, ENGINE_RATES), kv_capacity=100_000_000
            ),
        }
        await self._start_standin(name, "engine", options)

    async def _start_standin(self, name: str, kind: str, options: object) -> None:
        encoded = msgspec.json.encode(options).decode()
        self.urls[name] = await self._launch(
            name, "bergamotmast", ("standin", kind, "--options", encoded)
        )

    async def _configure(self) -> None:
        configuration = Configuration(
            generation=0,
            labels={name: {"pool": "main"} for name in self.engines},
            selectors=(Selector("models", "pool=main", models=(f"{MODEL}@1",)),),
            classes={
                REQUEST_CLASS: RequestClass(
                    first_token=REQUEST_DEADLINE_SECONDS, total=REQUEST_DEADLINE_SECONDS
                )
            },
        )
        async with client_session() as session:
            kv = HttpKeyValueService(session, self.urls["key-value"], "bench")
            store = ConfigStore(kv, NullHistory())
            await store.propose(configuration, 0, "bench", "first")

    async def _start_side(self, name: str, address: str) -> None:
        arguments = (
            "side",
            *self._common_flags(name),
            "--listen-address",
            address,
            "--upstream-url",
            self.urls[name],
            "--upstream-kind",
            "engine",
        )
        await self._launch(f"side-{name}", "bergamotmast", arguments)

    async def _start_entry(self) -> None:
        address = free_address()
        self.urls["entry"] = f"http://{address}"
        arguments = (
            "entry",
            *self._common_flags("entry"),
            "--listen-address",
            address,
            "--planner",
            "false",
        )
        await self._launch("entry", "bergamotmast", arguments)
        await self._wait_until_serving()

    def _common_flags(self, name: str) -> tuple[str, ...]:
        return (
            "--name",
            name,
            "--zone",
            ZONE,
            "--key-value-url",
            self.urls["key-value"],
            "--instance-list-url",
            self.urls["list"],
            "--log-level",
            "warning",
        )

    async def _wait_until_serving(self) -> None:
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                while True:
                    async with session.get(self.urls["entry"] + "/health/sides") as r:
                        if int(await r.text()) >= len(self.engines):
                            return
                    await asyncio.sleep(0.1)

    async def _launch(self, name: str, module: str, arguments: tuple[str, ...]) -> str:
        """Start a process and return the line that it prints once it is ready."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._profiler(name),
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes[name] = process
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"process {name} exited before it was ready")
        return line.decode().strip()

    def _profiler(self, name: str) -> tuple[str, ...]:
        if self.profile_directory is None:
            return ()
        path = self.profile_directory / f"{name}.prof"
        return ("-m", "cProfile", "-o", str(path))

    def cpu(self) -> dict[str, float]:
        """Return the processor time that each process has used, in seconds."""
        return {
            name: cpu_seconds(pathlib.Path(f"/proc/{process.pid}/stat").read_text())
            for name, process in self.processes.items()
        }

    async def close(self) -> None:
        """Stop all processes, in the reverse order of their start."""
        for name in reversed(list(self.processes)):
            process = self.processes.pop(name)
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()


@contextlib.asynccontextmanager
async def sockets_fleet(
    engines: int, profile_directory: pathlib.Path | None = None
) -> t.AsyncIterator[SocketsFleet]:
    """Run the processes while the context is open."""
    fleet = SocketsFleet(profile_directory)
    try:
        await fleet.start(engines)
        yield fleet
    finally:
        await fleet.close()
