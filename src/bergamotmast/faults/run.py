"""Runs one seed of the fault injection and checks every guarantee on its history."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import traceback

import looptime

from ..checker import Summary
from ..checker import Violation
from ..checker import check
from ..checker import summary
from ..history import AnyRecord
from .callers import Callers
from .environment import FaultEnvironment
from .gates import install_task_factory
from .schedule import FaultInjector

WARM_UP_SECONDS = 10.0
FAULT_SECONDS = 60.0
RECOVERY_SECONDS = 30.0
"""Time without faults at the end of a run.

Long enough for every accepted configuration to come into force.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRun:
    """Result of the run of one seed.

    :param violations: violated guarantees.
    :param errors: tracebacks of unexpected exceptions that entries raised to callers.
    :param log: the injected faults, a line each.
    """

    seed: int
    summary: Summary
    violations: tuple[Violation, ...]
    errors: tuple[str, ...]
    log: tuple[str, ...]
    records: tuple[AnyRecord, ...] = dataclasses.field(repr=False)

    @property
    def holds(self) -> bool:
        """Whether no guarantee was violated and no entry raised an unexpected error."""
        return not self.violations and not self.errors


def run_seed(seed: int) -> FaultRun:
    """Run a seed on a new event loop with a simulated clock."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        install_task_factory(loop)
        return loop.run_until_complete(run(seed))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def run(seed: int) -> FaultRun:
    """Run a seed on the running event loop."""
    environment = FaultEnvironment(seed)
    callers = Callers(environment, random.Random(f"callers {seed}"))
    injector = FaultInjector(environment, random.Random(f"faults {seed}"))
    await environment.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    end = environment.now() + FAULT_SECONDS
    calling = asyncio.get_running_loop().create_task(callers.run(end))
    await injector.run(end)
    await calling
    await callers.finish()
    await asyncio.sleep(RECOVERY_SECONDS)
    records = tuple(environment.history.records)
    await environment.stop()
    return FaultRun(
        seed=seed,
        summary=summary(records),
        violations=tuple(check(records)),
        errors=tuple("".join(traceback.format_exception(e)) for e in callers.errors),
        log=tuple(injector.log),
        records=records,
    )
