"""Measure control-plane overhead of real processes on loopback, by their sessions.

Starts the daemons that operators start, sends them no requests and reads their
processor time and resident memory from ``/proc``.

``python -m bergamotmast.bench.capacity_processes`` prints each sample as its type's
name and a JSON object, one a line.
"""

from __future__ import annotations

import argparse
import asyncio
import collections.abc as cabc
import os
import pathlib
import socket
import sys
import tempfile

import aiohttp
import msgspec

from ..adapters.key_value_http import HttpKeyValueService
from ..config.store import ConfigStore
from ..history import NullHistory
from ..model import InstanceInfo
from ..model import UpstreamKind
from .capacity_fleet import MODEL
from .capacity_fleet import document
from .capacity_fleet import side_names

FLEETS = ((1, 4), (1, 20), (2, 40), (8, 20), (24, 8))
"""Entries and sides of each fleet, whose sides share one engine stand-in."""

TENANT_COUNT = 100
SETTLE_SECONDS = 15.0
MEASURED_SECONDS = 20.0
START_TIMEOUT_SECONDS = 90.0
MAX_CONCURRENT_STARTS = 8
"""Limit of processes that are starting at the same time."""

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE_BYTES = 1 << 20


class ProcessSample(msgspec.Struct, frozen=True):
    """Mean over the idle processes of one role.

    :param role: ``entry`` or ``side``.
    :param sessions: open sessions of one process.
    :param core_percent: processor time, in percent of a core.
    :param resident_megabytes: resident memory, MiB.
    """

    role: str
    entries: int
    sides: int
    sessions: int
    core_percent: float
    resident_megabytes: float


class Daemons:
    """Daemons started for a measurement.

    :param directory: where each daemon's log is written.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.starting = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start(self, name: str, *command: str) -> str:
        """Start a daemon and return the line that it prints once it is ready.

        :raises RuntimeError: with the daemon's log, if it ends before.
        """
        async with self.starting:
            with (self.directory / f"{name}.log").open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "bergamotmast",
                    *command,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                )
            self.running[name] = process
            assert process.stdout is not None
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                line = await process.stdout.readline()
        if not line:
            raise RuntimeError((self.directory / f"{name}.log").read_text())
        return line.decode().strip()

    async def stop(self) -> None:
        """Kill all daemons and wait for them."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
        for process in self.running.values():
            await process.wait()

    def cpu(self, name: str) -> float:
        """Return the user and system time that a process has used, in seconds."""
        text = pathlib.Path(f"/proc/{self.running[name].pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def resident(self, name: str) -> float:
        """Return the resident memory of a process, MiB."""
        text = pathlib.Path(f"/proc/{self.running[name].pid}/statm").read_text()
        return int(text.split()[1]) * PAGE_BYTES / MEGABYTE_BYTES


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def measure(entries: int, sides: int) -> list[ProcessSample]:
    """Run an idle fleet of processes and measure them."""
    with tempfile.TemporaryDirectory() as directory:
        daemons = Daemons(pathlib.Path(directory))
        try:
            await _start(daemons, entries, sides)
            await asyncio.sleep(SETTLE_SECONDS)
            return await _sample(daemons, entries, sides)
        finally:
            await daemons.stop()


async def _start(daemons: Daemons, entries: int, sides: int) -> None:
    names = side_names(sides)
    kv = await daemons.start("key-value", "standin", "key-value")
    options = {"assignment": {"role": "mixed", "models": [MODEL]}}
    engine = await daemons.start(
        "engine", "standin", "engine", "--options", _json(options)
    )
    addresses = {name: free_address() for name in names}
    infos = [
        InstanceInfo(name, UpstreamKind.ENGINE, "zone-0", addresses[name], engine)
        for name in names
    ]
    listed = await daemons.start(
        "list", "standin", "instance-list", "--options", _json({"instances": infos})
    )
    await _configure(kv, sides)
    common_flags = (
        "--zone",
        "zone-0",
        "--key-value-url",
        kv,
        "--instance-list-url",
        listed,
    )
    log_flags = ("--log-level", "error")
    starts = [
        daemons.start(
            f"side-{name}",
            *("side", "--name", name, *common_flags, *log_flags),
            *("--listen-address", addresses[name]),
            *("--upstream-url", engine, "--upstream-kind", "engine"),
        )
        for name in names
    ]
    starts += [
        daemons.start(
            f"entry-{number}",
            *("entry", "--name", f"entry-{number}", *common_flags, *log_flags),
            *("--planner", "no", "--listen-address", free_address()),
        )
        for number in range(entries)
    ]
    await asyncio.gather(*starts)


async def _configure(kv: str, sides: int) -> None:
    async with aiohttp.ClientSession() as session:
        service = HttpKeyValueService(session, kv, "operator")
        store = ConfigStore(service, NullHistory())
        await store.propose(document(TENANT_COUNT, sides), 0, "operator", "first")


def _json(value: object) -> str:
    return msgspec.json.encode(value).decode()


async def _sample(daemons: Daemons, entries: int, sides: int) -> list[ProcessSample]:
    names = [n for n in daemons.running if n.startswith(("entry-", "side-"))]
    before = {name: daemons.cpu(name) for name in names}
    await asyncio.sleep(MEASURED_SECONDS)
    spent = {name: daemons.cpu(name) - before[name] for name in names}
    samples = []
    for role, sessions in (("entry", min(sides, 20)), ("side", 0)):
        role_names = [name for name in names if name.startswith(f"{role}-")]
        session_count = (
            entries * min(sides, 20) // sides if role == "side" else sessions
        )
        samples.append(
            ProcessSample(
                role=role,
                entries=entries,
                sides=sides,
                sessions=session_count,
                core_percent=_mean(spent[n] for n in role_names)
                / MEASURED_SECONDS
                * 100,
                resident_megabytes=_mean(daemons.resident(n) for n in role_names),
            )
        )
    return samples


def _mean(values: cabc.Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)


async def measure_all(fleets: cabc.Iterable[tuple[int, int]]) -> None:
    """Measure fleets one after the other and print their samples."""
    for entries, sides in fleets:
        for sample in await measure(entries, sides):
            print(type(sample).__name__, _json(sample), flush=True)


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run the measurement and print its samples."""
    parser = argparse.ArgumentParser(prog="bergamotmast.bench.capacity_processes")
    parser.add_argument(
        "--quick", action="store_true", help="measure the smallest fleet only"
    )
    quick = parser.parse_args(argv).quick
    asyncio.run(measure_all(FLEETS[:1] if quick else FLEETS))
    return 0


if __name__ == "__main__":
    sys.exit(main())
