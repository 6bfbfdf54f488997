"""Measure control-plane overhead per process as the fleet grows.

Real entries and sides run in one process and in virtual time, connected in memory.
Engines, instance list and key-value service are stand-ins, and no caller sends
requests. Messages and bytes between processes are counted exactly, as are calls and
bytes at the key-value service. Processor time is that of the whole process and
includes no socket I/O; :mod:`.capacity_processes` measures real processes.

``python -m bergamotmast.bench.capacity`` prints each sample as its type's name
and a JSON object, one a line.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import collections.abc as cabc
import dataclasses
import gc
import logging
import sys
import time
import tracemalloc
import typing as t

import looptime
import msgspec

from ..config.document import encode_configuration
from ..config.holder import ConfigHolder
from ..decoding import JsonDecoder
from ..history import NullHistory
from ..model import InstanceInfo
from ..policy.subset import SUBSET_SIZE
from ..policy.subset import choose_subset
from .capacity_fleet import MODEL
from .capacity_fleet import ZONES
from .capacity_fleet import IdleFleet
from .capacity_fleet import document
from .capacity_fleet import side_names
from .capacity_fleet import tenant
from .capacity_samples import ConfigSample
from .capacity_samples import ControlSample
from .capacity_samples import EditSample
from .capacity_samples import ListSample
from .capacity_samples import MemorySample
from .capacity_samples import SubsetSample

MEASURED_SECONDS = 60.0
ENTRY_COUNTS = (2, 4, 8, 16, 32, 64)
SIDE_COUNTS = (4, 10, 20, 50, 100, 200)
TENANT_COUNTS = (10, 100, 1000)
MIN_TENANT_COUNT = 10
TARGET_ENTRIES = 330
TARGET_SIDES = 600
TARGET_MODELS = 7
"""Size of the largest fleet to support, with one group of engines for each model."""

EDIT_COUNT = 20
EDIT_INTERVAL_SECONDS = 3.0
"""Interval between the edits of a burst."""

REPETITIONS = 20
"""Repetitions of a timed operation, of which the mean is reported."""

_T = t.TypeVar("_T")


async def measure_control(entries: int, sides: int) -> ControlSample:
    """Measure the control traffic of an idle fleet."""
    fleet = IdleFleet(MIN_TENANT_COUNT, entries, sides)
    await fleet.start()
    kv = fleet.kv
    fleet.network.clear()
    before = (kv.reads, kv.writes + kv.keep_alives, fleet.list.reads)
    started_at = time.process_time()
    await asyncio.sleep(MEASURED_SECONDS)
    cpu = time.process_time() - started_at
    after = (kv.reads, kv.writes + kv.keep_alives, fleet.list.reads)
    reads, writes, list_reads = (
        (b - a) / MEASURED_SECONDS for a, b in zip(before, after, strict=True)
    )
    request_peers = [p for e in fleet.entries for p in fleet.peers(e, observers=False)]
    observer_peers = [p for e in fleet.entries for p in fleet.peers(e, observers=True)]
    network = fleet.network
    sample = ControlSample(
        entries=entries,
        sides=sides,
        sessions=len(request_peers),
        entry_bytes=network.bytes_of(request_peers) / entries / MEASURED_SECONDS,
        side_bytes=network.bytes_of(request_peers + observer_peers)
        / sides
        / MEASURED_SECONDS,
        observer_bytes=network.bytes_of(observer_peers) / MEASURED_SECONDS,
        session_frames=network.frames_of(request_peers)
        / len(request_peers)
        / MEASURED_SECONDS,
        session_bytes=network.bytes_of(request_peers)
        / len(request_peers)
        / MEASURED_SECONDS,
        cpu_us_per_frame=cpu / network.frames.total() * 1e6,
        kv_reads=reads,
        kv_writes=writes,
        kv_watches=kv.waiting_watches,
        list_reads=list_reads,
    )
    await fleet.stop()
    return sample


async def measure_memory() -> MemorySample:
    """Measure the memory of an entry, of a side and of a session between them.

    Memory is modelled as linear in entries, sides and sessions (entries times sides).
    Four fleets, with few and many of each, determine the three slopes: the growth
    beyond what entries and sides add separately belongs to the sessions.
    """
    low, high = 4, 16
    memory = {}
    for entries in (low, high):
        for sides in (low, high):
            memory[entries, sides] = await _traced_bytes(entries, sides)
    step = high - low
    session = (
        memory[high, high] - memory[high, low] - memory[low, high] + memory[low, low]
    ) / step**2
    entry = (memory[high, low] - memory[low, low]) / step - low * session
    side = (memory[low, high] - memory[low, low]) / step - low * session
    return MemorySample(entry, side, session)


async def _traced_bytes(entries: int, sides: int) -> int:
    tracemalloc.start()
    fleet = IdleFleet(MIN_TENANT_COUNT, entries, sides)
    await fleet.start()
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await fleet.stop()
    return memory


async def measure_config(tenants: int, sides: int) -> ConfigSample:
    """Measure the time to apply a configuration document and the memory it occupies."""
    documents = [
        encode_configuration(
            msgspec.structs.replace(document(tenants, sides), generation=generation)
        )
        for generation in range(1, REPETITIONS + 1)
    ]
    holder = ConfigHolder("entry-0000", NullHistory())
    started_at = time.process_time()
    for data in documents:
        holder.offer(data)
        holder.selection.knows_model(MODEL)
    elapsed = time.process_time() - started_at
    gc.collect()
    tracemalloc.start()
    fresh = ConfigHolder("entry-0000", NullHistory())
    fresh.offer(bytes(bytearray(documents[0])))
    fresh.selection.knows_model(MODEL)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return ConfigSample(
        tenants, sides, len(documents[0]), elapsed / REPETITIONS * 1e3, memory
    )


async def measure_edits(tenants: int, entries: int, sides: int) -> EditSample:
    """Measure a series of edits of one tenant, beyond the cost of an idle fleet."""
    fleet = IdleFleet(tenants, entries, sides)
    await fleet.start()
    processes = entries + sides
    rest = await _measure_usage(fleet, EDIT_COUNT * EDIT_INTERVAL_SECONDS, edits=False)
    busy = await _measure_usage(fleet, EDIT_COUNT * EDIT_INTERVAL_SECONDS, edits=True)
    per_edit = EDIT_COUNT * processes
    sample = EditSample(
        tenants=tenants,
        processes=processes,
        reads=(busy.reads - rest.reads) / per_edit,
        read_bytes=(busy.read_bytes - rest.read_bytes) / per_edit,
        peer_bytes=(busy.peer_bytes - rest.peer_bytes) / per_edit,
        cpu_ms=(busy.cpu - rest.cpu) / per_edit * 1e3,
        slowest_seconds=busy.slowest,
    )
    await fleet.stop()
    return sample


@dataclasses.dataclass(frozen=True, slots=True)
class _Usage:
    reads: int
    read_bytes: int
    peer_bytes: int
    cpu: float
    slowest: float


async def _measure_usage(fleet: IdleFleet, seconds: float, edits: bool) -> _Usage:
    loop = asyncio.get_running_loop()
    reads = fleet.kv.reads
    read_bytes = sum(c.read_bytes for c in fleet.clients.values())
    fleet.network.clear()
    slowest = 0.0
    started_at = time.process_time()
    end = loop.time() + seconds
    while edits and loop.time() + EDIT_INTERVAL_SECONDS <= end:
        slowest = max(slowest, await _edit(fleet))
    await asyncio.sleep(max(0.0, end - loop.time()))
    return _Usage(
        fleet.kv.reads - reads,
        sum(c.read_bytes for c in fleet.clients.values()) - read_bytes,
        fleet.network.bytes.total(),
        time.process_time() - started_at,
        slowest,
    )


async def _edit(fleet: IdleFleet) -> float:
    """Change one tenant; return the seconds until every process applied the edit."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    current = (await fleet.store.read()).configuration
    weight = current.tenants["tenant-0000"].weight + 1.0
    tenants = current.tenants | {"tenant-0000": tenant("tenant-0000", weight)}
    proposed = msgspec.structs.replace(current, tenants=tenants)
    generation = current.generation
    await fleet.store.propose(proposed, generation, "operator", f"edit-{generation}")
    holders = [e.holder for e in fleet.entries] + [p.holder for p in fleet.sides]
    await asyncio.gather(*(holder.wait_for_newer(generation) for holder in holders))
    in_force = loop.time() - started_at
    await asyncio.sleep(max(0.0, started_at + EDIT_INTERVAL_SECONDS - loop.time()))
    return in_force


async def measure_subsets(entries: int, sides: int, groups: int) -> SubsetSample:
    """Count the sessions that result from the subsets which entries choose."""
    names = side_names(sides)
    per_side: collections.Counter[str] = collections.Counter()
    per_entry: list[int] = []
    largest = 0
    for number in range(entries):
        session_count = 0
        for group in range(groups):
            members = {
                name: f"zone-{place % ZONES}"
                for place, name in enumerate(names[group::groups])
            }
            zone = f"zone-{number % ZONES}"
            chosen = choose_subset(f"entry-{number:04d}", zone, members)
            zones = collections.Counter(members[name] for name in chosen)
            largest = max(largest, *zones.values())
            per_side.update(chosen)
            session_count += len(chosen)
        per_entry.append(session_count)
    counts = [per_side[name] for name in names]
    return SubsetSample(
        entries=entries,
        sides=sides,
        groups=groups,
        per_entry=max(per_entry),
        per_side_least=min(counts),
        per_side_mean=sum(counts) / sides,
        per_side_most=max(counts),
        most_in_one_zone=largest,
    )


async def measure_list(count: int) -> ListSample:
    """Measure the size of the instance list and the time to decode it."""
    fleet = IdleFleet(MIN_TENANT_COUNT, 0, count)
    data = msgspec.json.encode(await fleet.list.instances())
    decoder = JsonDecoder[tuple[InstanceInfo, ...]](tuple[InstanceInfo, ...])
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        decoder.decode(data)
    elapsed = time.process_time() - started_at
    return ListSample(count, len(data), elapsed / REPETITIONS * 1e3)


def run_in_virtual_time(measurement: cabc.Coroutine[t.Any, t.Any, _T]) -> _T:
    """Run a measurement on a new event loop with virtual time."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(measurement)
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def measurements(quick: bool) -> cabc.Iterator[cabc.Coroutine[t.Any, t.Any, object]]:
    """Yield the measurements in the order in which they run.

    :param quick: whether to measure the smallest fleets only.
    """
    entries = ENTRY_COUNTS[:2] if quick else ENTRY_COUNTS
    sides = SIDE_COUNTS[:2] if quick else SIDE_COUNTS
    yield from (measure_control(count, SUBSET_SIZE) for count in entries)
    yield from (measure_control(4, count) for count in sides)
    yield measure_memory()
    yield from (measure_config(count, TARGET_SIDES) for count in TENANT_COUNTS)
    yield from (measure_edits(count, 4, 10) for count in TENANT_COUNTS)
    yield measure_subsets(TARGET_ENTRIES, TARGET_SIDES, TARGET_MODELS)
    yield from (measure_list(count) for count in (10, 100, TARGET_SIDES))


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run all measurements and print their samples."""
    parser = argparse.ArgumentParser(prog="bergamotmast.bench.capacity")
    parser.add_argument(
        "--quick", action="store_true", help="measure the smallest fleets only"
    )
    quick = parser.parse_args(argv).quick
    logging.disable(logging.WARNING)
    for measurement in measurements(quick):
        sample = run_in_virtual_time(measurement)
        line = msgspec.json.encode(sample).decode()
        print(type(sample).__name__, line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
