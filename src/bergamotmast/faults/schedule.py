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
from .environment import ENGINES
from .environment import ENTRIES
from .environment import LIST_LAG_SECONDS
from .environment import SERVICES
from .environment import FaultEnvironment

MEAN_FAULT_INTERVAL_SECONDS = 2.5
"""Mean time between the starts of two faults."""

CONFIG_PROPAGATION_SECONDS = 3.0
"""Time for which the key-value service stays up after it accepted an edit.

An edit that no process could read before an outage can't come into force anywhere.
"""

_Fault: t.TypeAlias = cabc.Callable[["FaultInjector"], t.Coroutine[t.Any, t.Any, None]]


class FaultInjector:
    """Injects the faults of one run.

    :param environment: environment that the faults are injected into.
    :param rng: seeded source of the schedule.
    :param log: time and description of each step, to debug a run.
    :param reserved_names: targets of the faults in progress.
    :param edits: number of edits tried so far, which makes their nonces unique.
    :param accepted_at: when the last edit was accepted.
    """

    def __init__(self, environment: FaultEnvironment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.log: list[str] = []
        self.reserved_names: set[str] = set()
        self.edits = 0
        self.accepted_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, end_at: float) -> None:
        """Start faults until a point in time, then wait until all are repaired."""
        kinds = tuple(FAULT_WEIGHTS)
        weights = tuple(FAULT_WEIGHTS.values())
        while self.environment.now() < end_at:
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS))
            (fault,) = self.rng.choices(kinds, weights)
            task = asyncio.get_running_loop().create_task(fault(self))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    @contextlib.contextmanager
    def reserve(
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
        chosen = self.environment.pick_random(free)
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
        self.log.append(f"{self.environment.now():8.3f} {text}")

    async def wait_until_propagated(self) -> None:
        """Wait until every accepted edit has had time to propagate.

        Further edits may be accepted during the wait, which prolong it.
        """
        while (
            due := self.accepted_at + CONFIG_PROPAGATION_SECONDS
        ) > self.environment.now():
            await asyncio.sleep(due - self.environment.now())

    async def random_delay(self, max_seconds: float) -> None:
        """Wait for a random, exponentially distributed time.

        :param max_seconds: upper bound; the mean is about a third of it.
        """
        await asyncio.sleep(min(max_seconds, self.rng.expovariate(3.0 / max_seconds)))


async def kill_side(injector: FaultInjector) -> None:
    """Kill a side and restart it."""
    with injector.reserve("kill side", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        await injector.environment.kill(name)
        await injector.random_delay(15.0)
        injector.environment.start_process(name)


async def kill_entry(injector: FaultInjector) -> None:
    """Kill an entry and restart it; the other entry keeps running."""
    with injector.reserve("kill entry", ENTRIES, "entry") as name:
        if name is None:
            return
        await injector.environment.kill(name)
        await injector.random_delay(15.0)
        injector.environment.start_process(name)


async def pause(injector: FaultInjector) -> None:
    """Pause a process and resume it."""
    with injector.reserve("pause", (*ENGINES, *SERVICES, *ENTRIES)) as name:
        if name is None:
            return
        gate = injector.environment.processes[name].gate
        gate.pause()
        injector.environment.record_reachability()
        await injector.random_delay(25.0)
        gate.resume()
        injector.environment.record_reachability()


async def partition(injector: FaultInjector) -> None:
    """Partition a side from the entries, and at times from the key-value service."""
    with injector.reserve("partition", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        environment = injector.environment
        environment.network.partition(name)
        from_key_value_too = injector.rng.random() < 0.5
        if from_key_value_too:
            environment.kv.cut(name)
            environment.cut_from_kv.add(name)
        environment.record_reachability()
        await injector.random_delay(25.0)
        environment.network.heal(name)
        if from_key_value_too:
            environment.kv.heal(name)
            environment.cut_from_kv.discard(name)
        environment.record_reachability()


async def restart_side(injector: FaultInjector) -> None:
    """Shut a side down gracefully and restart it."""
    with injector.reserve("restart side", (*ENGINES, *SERVICES)) as name:
        if name is None:
            return
        environment = injector.environment
        environment.history.record(
            PlannedChange(at=environment.now(), upstream=name, change="restart")
        )
        await environment.stop_gracefully(name)
        await injector.random_delay(3.0)
        environment.start_process(name)


async def restart_entry(injector: FaultInjector) -> None:
    """Shut an entry down gracefully and restart it."""
    with injector.reserve("restart entry", ENTRIES, "entry") as name:
        if name is None:
            return
        await injector.environment.stop_gracefully(name)
        injector.environment.start_process(name)


async def crash_engine(injector: FaultInjector) -> None:
    """Crash an engine, possibly during a role change, and restart it."""
    with injector.reserve(
        "crash engine", (f"upstream {n}" for n in ENGINES)
    ) as reserved:
        if reserved is None:
            return
        engine = injector.environment.engines[reserved.removeprefix("upstream ")]
        engine.crash(injector.rng.random() < 0.5, injector.rng.random() < 0.3)
        await injector.random_delay(15.0)
        engine.restart()


async def crash_service(injector: FaultInjector) -> None:
    """Crash a plain service and restart it."""
    with injector.reserve(
        "crash service", (f"upstream {n}" for n in SERVICES)
    ) as reserved:
        if reserved is None:
            return
        service = injector.environment.services[reserved.removeprefix("upstream ")]
        service.crash()
        await injector.random_delay(8.0)
        service.restart()


async def lose_replies(injector: FaultInjector) -> None:
    """Lose replies of a service, an engine and the key-value service."""
    environment = injector.environment
    environment.kv.lose_next_reply(count=injector.rng.randint(0, 2))
    environment.services[injector.rng.choice(SERVICES)].lost_replies += 1
    engine = environment.engines[injector.rng.choice(ENGINES)]
    engine.lost_order_replies += 1
    if engine.up and injector.rng.random() < 0.5:
        engine.break_connections()
    injector.note(f"lost replies, {engine.name}")


async def key_value_down(injector: FaultInjector) -> None:
    """Take the key-value service down; at times it comes back with older content."""
    with injector.reserve("key-value down", ("key-value",)) as name:
        if name is None:
            return
        environment = injector.environment
        older = environment.kv.snapshot()
        await injector.random_delay(10.0)
        await injector.wait_until_propagated()
        environment.kv.down = True
        environment.record_reachability()
        await injector.random_delay(30.0)
        if injector.rng.random() < 0.3:
            injector.note("key-value restored")
            environment.kv.restore(older)
            environment.restores += 1
        environment.kv.down = False
        environment.record_reachability()


async def silence_watches(injector: FaultInjector) -> None:
    """Stop delivering events to all open watches, without an error."""
    injector.note("watches silent")
    injector.environment.kv.silence_watches()


async def instance_list_down(injector: FaultInjector) -> None:
    """Take the instance list down."""
    with injector.reserve("instance list down", ("instance-list",)) as name:
        if name is None:
            return
        injector.environment.instance_list.down = True
        await injector.random_delay(20.0)
        injector.environment.instance_list.down = False


async def leave_by_list(injector: FaultInjector) -> None:
    """Mark an engine as leaving in the instance list, and withdraw it later."""
    with injector.reserve("leaving", ENGINES, "instance-list") as name:
        if name is None:
            return
        environment = injector.environment
        environment.instance_list.set_leaving(name)
        # The list is the only signal here, so no process can know before it shows it.
        await asyncio.sleep(LIST_LAG_SECONDS)
        environment.history.record(
            LeavingAnnounced(at=environment.now(), upstream=name)
        )
        await injector.random_delay(20.0)
        environment.history.record(
            StayingAnnounced(at=environment.now(), upstream=name)
        )
        environment.instance_list.set_leaving(name, False)
        await asyncio.sleep(LIST_LAG_SECONDS)


async def drain(injector: FaultInjector) -> None:
    """Drain an engine by changing its label, as operators do, and undo it later."""
    with injector.reserve(
        "drain", (f"label {n}" for n in ENGINES), "draining"
    ) as reserved:
        if reserved is None:
            return
        environment = injector.environment
        name = reserved.removeprefix("label ")

        def drained(now: Configuration) -> Configuration:
            return with_labels(now, name, {"pool": "drained"})

        def taken_back(now: Configuration) -> Configuration:
            return with_labels(now, name, {"pool": "models"})

        if not await edit(injector, drained):
            return
        environment.history.record(
            LeavingAnnounced(at=environment.now(), upstream=name)
        )
        await injector.random_delay(30.0)
        # The guarantee ends with the first attempt: an edit whose reply was lost may
        # have been accepted.
        environment.history.record(
            StayingAnnounced(at=environment.now(), upstream=name)
        )
        while not await edit(injector, taken_back):
            await asyncio.sleep(1.0)


async def change_roles(injector: FaultInjector) -> None:
    """Change the minimum number of engines in a role, so that the planner acts."""
    role = injector.rng.choice((Role.PREFILL, Role.DECODE, Role.MIXED))
    min_engines = injector.rng.randint(0, 3)

    def changed(now: Configuration) -> Configuration:
        (models,) = (s for s in now.selectors if s.name == "models")
        return with_selector(now, with_min_engines(models, role, min_engines))

    await edit(injector, changed)


def with_min_engines(selector: Selector, role: Role, min_engines: int) -> Selector:
    """Return a copy of a selector with a minimum number of engines in one role."""
    return Selector(
        name=selector.name,
        group=selector.group,
        match=selector.match,
        models=selector.models,
        roles={role: RoleBounds(least=min_engines)},
    )


async def edit(
    injector: FaultInjector, change: cabc.Callable[[Configuration], Configuration]
) -> bool:
    """Edit the configuration as an entry knows it; return whether it was accepted."""
    environment = injector.environment
    entry = environment.entry(injector.rng.choice(ENTRIES))
    if entry is None:
        return False
    before = entry.holder.current
    injector.edits += 1
    nonce = f"edit-{injector.edits}"
    try:
        accepted = await environment.store.propose(
            change(before), before.generation, "operator", nonce
        )
    except BergamotmastError as error:
        injector.note(f"edit refused: {error.message}")
        return False
    injector.accepted_at = environment.now()
    injector.note(f"edit accepted: generation {accepted.generation}")
    return True


FAULT_WEIGHTS: dict[_Fault, float] = {
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
