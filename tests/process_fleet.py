"""Runs the whole system as separate processes on loopback, for tests that kill them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import pathlib
import signal
import sys

import aiohttp
import msgspec

from bergamotmast.adapters.key_value_http import HttpKeyValueService
from bergamotmast.config.document import AdminKey
from bergamotmast.config.document import RequestClass
from bergamotmast.config.store import ConfigStore
from bergamotmast.history import MemoryHistory
from bergamotmast.history import read_history
from bergamotmast.model import Assignment
from bergamotmast.model import InstanceInfo
from bergamotmast.model import Role
from bergamotmast.model import UpstreamKind
from support import MODEL
from support import configuration
from support import free_address

START_TIMEOUT = 60.0
SOURCE = pathlib.Path(__file__).parents[1] / "src"


class ProcessFleet:
    """Processes by name, started with the command line that operators use.

    :param directory: directory of the logs and histories.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.commands: dict[str, tuple[str, ...]] = {}
        self.urls: dict[str, str] = {}
        self.sides: dict[str, str] = {}
        self.history = MemoryHistory()
        self.admin_key = "a-test-key"
        self.side_flags: tuple[str, ...] = ()
        self.entry_flags: tuple[str, ...] = ()
        self.service_seconds = 0.2

    async def start(self, engines: int, services: int, entries: int) -> None:
        names = [f"engine-{i + 1}" for i in range(engines)]
        names += [f"service-{i + 1}" for i in range(services)]
        await asyncio.gather(
            self.start_standin("key-value", "key-value", {}),
            *(self._start_upstream(name) for name in names),
        )
        self.sides = {name: free_address() for name in names}
        infos = [self._info(name) for name in names]
        await self.start_standin("instance-list", "instance-list", {"instances": infos})
        await self.configure()
        await asyncio.gather(*(self.start_side(name) for name in names))
        entry_names = [f"entry-{i + 1}" for i in range(entries)]
        await asyncio.gather(*(self.start_entry(name) for name in entry_names))
        for name in entry_names:
            await self.wait_until_serving(name, len(names))

    async def _start_upstream(self, name: str) -> None:
        kind = name.partition("-")[0]
        assignment = Assignment(Role.MIXED, (f"{MODEL}@1",))
        options = {
            "name": name,
            "assignment": assignment,
            "seconds": self.service_seconds,
        }
        await self.start_standin(name, kind, options)

    def _info(self, name: str) -> InstanceInfo:
        kind = UpstreamKind(name.partition("-")[0])
        return InstanceInfo(name, kind, "zone-a", self.sides[name], self.urls[name])

    async def configure(self) -> None:
        async with aiohttp.ClientSession() as session:
            kv = HttpKeyValueService(session, self.urls["key-value"], "test")
            store = ConfigStore(kv, self.history)
            classes = {"c": RequestClass(first_token=30.0, total=60.0)}
            digest = hashlib.sha256(self.admin_key.encode()).hexdigest()
            keys = (AdminKey(team="test", digest=digest),)
            first = configuration(0, classes=classes, admin_keys=keys)
            await store.propose(first, 0, "test", "n1")

    async def start_standin(self, name: str, kind: str, options: object) -> None:
        command = (
            "standin",
            kind,
            "--listen-address",
            self.urls.get(name, "http://127.0.0.1:0").removeprefix("http://"),
            "--options",
            msgspec.json.encode(options).decode(),
            "--history",
            str(self.directory / f"{name}.jsonl"),
        )
        self.urls[name] = await self.launch(name, command)

    async def start_side(self, name: str) -> None:
        await self.launch(
            f"side-{name}",
            (
                "side",
                *self._shared(name),
                "--listen-address",
                self.sides[name],
                "--upstream-url",
                self.urls[name],
                "--upstream-kind",
                name.partition("-")[0],
                *self.side_flags,
            ),
        )

    async def start_entry(self, name: str) -> None:
        address = free_address()
        self.urls[name] = f"http://{address}"
        await self.launch(
            name,
            (
                "entry",
                *self._shared(name),
                "--listen-address",
                address,
                *self.entry_flags,
            ),
        )

    def _shared(self, name: str) -> tuple[str, ...]:
        return (
            "--name",
            name,
            "--zone",
            "zone-a",
            "--key-value-url",
            self.urls["key-value"],
            "--instance-list-url",
            self.urls["instance-list"],
            "--log-level",
            "warning",
        )

    async def launch(
        self,
        name: str,
        command: tuple[str, ...],
        program: tuple[str, ...] = ("-m", "bergamotmast"),
    ) -> str:
        """Start a process; wait for its first line of output and return it.

        :param program: arguments of Python; run the package by default.
        """
        self.commands[name] = command
        log = (self.directory / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *program,
            *command,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            env=os.environ | {"PYTHONPATH": str(SOURCE)},
        )
        self.processes[name] = process
        async with asyncio.timeout(START_TIMEOUT):
            line = await process.stdout.readline()
        assert line, (self.directory / f"{name}.log").read_text()
        return line.decode().strip()

    async def relaunch(self, name: str) -> None:
        await self.launch(name, self.commands[name])

    async def wait_until_serving(self, entry: str, upstreams: int) -> None:
        """Wait until an entry has sessions with at least ``upstreams`` sides."""
        url = self.urls[entry] + "/health/sides"
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(START_TIMEOUT):
                while True:
                    async with session.get(url) as response:
                        if int(await response.text()) >= upstreams:
                            return
                    await asyncio.sleep(0.1)

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def pause(self, name: str, seconds: float) -> None:
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(name, signal.SIGCONT)

    async def close(self) -> None:
        for name in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                await self.kill(name)

    def records(self):
        """Return the records of callers and stand-ins, sorted by time."""
        found = list(self.history.records)
        for path in self.directory.glob("*.jsonl"):
            found += read_history(path)
        return sorted(found, key=lambda record: record.at)


@contextlib.asynccontextmanager
async def process_fleet(
    directory,
    engines=2,
    services=2,
    entries=2,
    side_flags=(),
    entry_flags=(),
    service_seconds=0.2,
):
    """Run the system during an ``async with`` block, then kill its processes."""
    built = ProcessFleet(directory)
    built.side_flags = side_flags
    built.entry_flags = entry_flags
    built.service_seconds = service_seconds
    try:
        await built.start(engines, services, entries)
        yield built
    finally:
        await built.close()
