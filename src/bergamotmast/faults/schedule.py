"""Random fault injection: which faults occur, for how long, and how they are undone.

A fault is a coroutine that breaks something, waits, and repairs it. Several faults
run concurrently; one that finds no target that is free returns at once.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import random
import typing as t

from ..config.document import Configuration
from ..config.document import RoleBounds
from ..config.document import Selector
from ..config.edit import with_labels
from ..config.edit import with_selector
from ..errors import BergamotmastError
from ..history import LeavingAnnounced
from ..history import PlannedChange
from ..history import StayingAnnounced
from ..model import Role
from .world import ENGINES
from .world import ENTRIES
from .world import LIST_LAG
from .world import SERVICES
from .world import FaultWorld

EVERY_SECONDS = 2.5
"""Mean time between the starts of two faults."""

SPREAD_SECONDS = 3.0
"""Time for which the key-value service stays up after it accepted an edit.

An edit that no process could read before an outage can't come into force anywhere.
"""

_Fault: t.TypeAlias = cabc.Callable[["Faults"], t.Coroutine[t.Any, t.Any, None]]


class Faults:
    """Injects the faults of one run.

    :param world: environment that the faults are injected into.
    :param rng: seeded source of the schedule.
    :param log: time and description of each step, to debug a run.
    :param reserved_names: targets of the faults in progress.
    :param edits: number of edits tried so far, which makes their nonces unique.
    :param accepted_at: when the last edit was accepted.
    """

    def __init__(self, world: FaultWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.log: list[str] = []
        self.reserved_names: set[str] = set()
        self.edits = 0
        self.accepted_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, end_at: float) -> None:
        """Start faults until a point in time, then wait until all are repaired."""
        kinds = tuple(FAULTS)
        weights = tuple(FAULTS.values())
        while self.world.now() < end_at:
            await asyncio.sleep(self.rng.expovariate(1.0 / EVERY_SECONDS))
            (fault,) = self.rng.choices(kinds, weights)
            task = asyncio.get_running_loop().create_task(fault(self))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    @contextlib.contextmanager
    def holding(
        self, kind: str, names: cabc.Iterable[str], exclusive: str = ""
    ) -> cabc.Iterator[str | None]:
        """Reserve a random target that no other fault has reserved.

        Yields the target, or ``None`` if there is none or ``exclusive`` is taken.

        :param kind: description of the fault, for the log.
        :param names: possible targets.
        :param exclusive: lock shared by kinds of fault of which only one may be in
            progress; empty for none.
        """
        free = [name for name in names if name not in self.reserved_names]
        chosen = self.world.pick(free)
        if exclusive in self.reserved_names or chosen is None:
            yield None
            return
        reserved = {chosen, exclusive} - {""}
        self.reserved_names |= reserved
        self.note(f"{kind} {chosen}")
        try:
            yield chosen
        finally:
            self.reserved_names -= reserved
            self.note(f"{kind} {chosen} ended")

    def note(self, text: str) -> None:
        """Append a line with the current time to the log."""
        self.log.append(f"{self.world.now():8.3f} {text}")

    async def until_spread(self) -> None:
        """Wait until every accepted edit has had time to propagate.

        Further edits may be accepted during the wait, which prolong it.
        """
        while (due := self.accepted_at + SPREAD_SECONDS) > self.world.now():
            await asyncio.sleep(due - self.world.now())

    async def some_time(self, max_seconds: float) -> None:
        """Wait for a random, exponentially distributed time.

        :param max_seconds: upper bound; the mean is about a third of it.
        """
        await asyncio.sleep(min(max_seconds, self.rng.expovariate(3.0 / max_seconds)))


async def kill_side(faults: Faults) -> None:
    """Kill a side and restart it."""
    with faults.holding("kill side", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        await faults.world.kill(name)
        await faults.some_time(15.0)
        faults.world.start_process(name)


async def kill_entry(faults: Faults) -> None:
    """Kill an entry and restart it; the other entry keeps running."""
    with faults.holding("kill entry", ENTRIES, "entry") as name:
        if name is None:
            return
        await faults.world.kill(name)
        await faults.some_time(15.0)
        faults.world.start_process(name)


async def pause(faults: Faults) -> None:
    """Pause a process and resume it."""
    with faults.holding("pause", (*ENGINES, *SERVICES, *ENTRIES)) as name:
        if name is None:
            return
        gate = faults.world.processes[name].gate
        gate.pause()
        faults.world.note_reach()
        await faults.some_time(25.0)
        gate.resume()
        faults.world.note_reach()


async def partition(faults: Faults) -> None:
    """Partition a side from the entries, and at times from the key-value service."""
    with faults.holding("partition", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        world = faults.world
        world.network.partition(name)
        from_key_value_too = faults.rng.random() < 0.5
        if from_key_value_too:
            world.kv.cut(name)
            world.cut_from_kv.add(name)
        world.note_reach()
        await faults.some_time(25.0)
        world.network.heal(name)
        if from_key_value_too:
            world.kv.heal(name)
            world.cut_from_kv.discard(name)
        world.note_reach()


async def restart_side(faults: Faults) -> None:
    """Shut a side down gracefully and restart it."""
    with faults.holding("restart side", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        world = faults.world
        world.history.record(
            PlannedChange(at=world.now(), upstream=name, change="restart")
        )
        await world.stop_gracefully(name)
        await faults.some_time(3.0)
        world.start_process(name)


async def restart_entry(faults: Faults) -> None:
    """Shut an entry down gracefully and restart it."""
    with faults.holding("restart entry", ENTRIES, "entry") as name:
        if name is None:
            return
        await faults.world.stop_gracefully(name)
        faults.world.start_process(name)


async def crash_engine(faults: Faults) -> None:
    """Crash an engine, possibly during a role change, and restart it."""
    with faults.holding("crash engine", (f"upstream {n}" for n in ENGINES)) as reserved:
        if reserved is None:
            return
        engine = faults.world.engines[reserved.removeprefix("upstream ")]
        engine.crash(faults.rng.random() < 0.5, faults.rng.random() < 0.3)
        await faults.some_time(15.0)
        engine.restart()


async def crash_service(faults: Faults) -> None:
    """Crash a plain service and restart it."""
    with faults.holding(
        "crash service", (f"upstream {n}" for n in SERVICES)
    ) as reserved:
        if reserved is None:
            return
        service = faults.world.services[reserved.removeprefix("upstream ")]
        service.crash()
        await faults.some_time(8.0)
        service.restart()


async def lose_replies(faults: Faults) -> None:
    """Lose replies of a service, an engine and the key-value service."""
    world = faults.world
    world.kv.lose_next_reply(count=faults.rng.randint(0, 2))
    world.services[faults.rng.choice(SERVICES)].lost_replies += 1
    engine = world.engines[faults.rng.choice(ENGINES)]
    engine.lost_order_replies += 1
    if engine.up and faults.rng.random() < 0.5:
        engine.break_connections()
    faults.note(f"lost replies, {engine.name}")


async def key_value_down(faults: Faults) -> None:
    """Take the key-value service down; at times it comes back with older content."""
    with faults.holding("key-value down", ("key-value",)) as name:
        if name is None:
            return
        world = faults.world
        older = world.kv.snapshot()
        await faults.some_time(10.0)
        await faults.until_spread()
        world.kv.down = True
        world.note_reach()
        await faults.some_time(30.0)
        if faults.rng.random() < 0.3:
            faults.note("key-value restored")
            world.kv.restore(older)
            world.restores += 1
        world.kv.down = False
        world.note_reach()


async def silence_watches(faults: Faults) -> None:
    """Stop delivering events to all open watches, without an error."""
    faults.note("watches silent")
    faults.world.kv.silence_watches()


async def instance_list_down(faults: Faults) -> None:
    """Take the instance list down."""
    with faults.holding("instance list down", ("instance-list",)) as name:
        if name is None:
            return
        faults.world.instance_list.down = True
        await faults.some_time(20.0)
        faults.world.instance_list.down = False


async def leave_by_list(faults: Faults) -> None:
    """Mark an engine as leaving in the instance list, and withdraw it later."""
    with faults.holding("leaving", ENGINES, "instance-list") as name:
        if name is None:
            return
        world = faults.world
        world.instance_list.set_leaving(name)
        # The list is the only signal here, so no process can know before it shows it.
        await asyncio.sleep(LIST_LAG)
        world.history.record(LeavingAnnounced(at=world.now(), upstream=name))
        await faults.some_time(20.0)
        world.history.record(StayingAnnounced(at=world.now(), upstream=name))
        world.instance_list.set_leaving(name, False)
        await asyncio.sleep(LIST_LAG)


async def drain(faults: Faults) -> None:
    """Drain an engine by changing its label, as operators do, and undo it later."""
    with faults.holding(
        "drain", (f"label {n}" for n in ENGINES), "draining"
    ) as reserved:
        if reserved is None:
            return
        world = faults.world
        name = reserved.removeprefix("label ")

        def drained(now: Configuration) -> Configuration:
            return with_labels(now, name, {"pool": "drained"})

        def taken_back(now: Configuration) -> Configuration:
            return with_labels(now, name, {"pool": "models"})

        if not await edit(faults, drained):
            return
        world.history.record(LeavingAnnounced(at=world.now(), upstream=name))
        await faults.some_time(30.0)
        # The guarantee ends with the first attempt: an edit whose reply was lost may
        # have been accepted.
        world.history.record(StayingAnnounced(at=world.now(), upstream=name))
        while not await edit(faults, taken_back):
            await asyncio.sleep(1.0)


async def change_roles(faults: Faults) -> None:
    """Change the minimum number of engines in a role, so that the planner acts."""
    role = faults.rng.choice((Role.PREFILL, Role.DECODE, Role.MIXED))
    least = faults.rng.randint(0, 3)

    def changed(now: Configuration) -> Configuration:
        (models,) = (s for s in now.selectors if s.name == "models")
        return with_selector(now, with_least(models, role, least))

    await edit(faults, changed)


def with_least(selector: Selector, role: Role, least: int) -> Selector:
    """Return a copy of a selector with a minimum number of engines in one role."""
    return Selector(
        name=selector.name,
        group=selector.group,
        match=selector.match,
        models=selector.models,
        roles={role: RoleBounds(least=least)},
    )


async def edit(
    faults: Faults, change: cabc.Callable[[Configuration], Configuration]
) -> bool:
    """Edit the configuration as an entry knows it; return whether it was accepted."""
    world = faults.world
    entry = world.entry(faults.rng.choice(ENTRIES))
    if entry is None:
        return False
    before = entry.holder.current
    faults.edits += 1
    nonce = f"edit-{faults.edits}"
    try:
        accepted = await world.store.propose(
            change(before), before.generation, "operator", nonce
        )
    except BergamotmastError as error:
        faults.note(f"edit refused: {error.message}")
        return False
    faults.accepted_at = world.now()
    faults.note(f"edit accepted: generation {accepted.generation}")
    return True


FAULTS: dict[_Fault, float] = {
    kill_side: 2.0,
    kill_entry: 1.0,
    pause: 3.0,
    partition: 3.0,
    restart_side: 1.0,
    restart_entry: 1.0,
    crash_engine: 2.0,
    crash_service: 1.0,
    lose_replies: 2.0,
    key_value_down: 1.5,
    silence_watches: 0.5,
    instance_list_down: 0.5,
    leave_by_list: 1.0,
    drain: 1.5,
    change_roles: 4.0,
}
"""Every fault with its relative frequency."""
