"""Reconciliation of one engine with its plan, by one order at a time.

All orders to an engine go through its side, which serializes them: an order is given
only after the engine's state has been read as settled, and never while an earlier order
may still be delivered or carried out. The state is always read from the engine; it is
never inferred from the reply to an order or from a missing reply.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import logging
import random
import typing as t

from ..backoff import Backoff
from ..decoding import DecodingError
from ..errors import NotReachedError
from ..errors import OrderRefusedError
from ..errors import PortError
from ..key_watch import watch_keys
from ..model import NO_FENCING_TOKEN
from ..model import Assignment
from ..model import EngineState
from ..model import FencingToken
from ..model import Order
from ..model import Readiness
from ..ports import Engine
from ..ports import KeyValueService
from ..protocol.plan import EnginePlan
from ..protocol.plan import decode_engine_plan
from ..protocol.plan import engine_key
from ..protocol.plan import engine_prefix
from .order_states import OrderMachine
from .order_states import OrderState

STATE_POLL_SECONDS = 1.0
"""Time between two reads of the engine's state, and thus to detect a restart."""

STATE_TIMEOUT_SECONDS = 2.0
"""Timeout of a read of the engine's state."""

MAX_FAILED_READS = 2
"""Consecutive failed reads that are tolerated before the engine's state is unknown."""

ORDER_REPLY_TIMEOUT_SECONDS = 5.0
"""Timeout of an engine's reply to an order."""

MAX_ORDER_DELIVERY_SECONDS = 3.0
"""Time for which an order may remain in a socket before its engine receives it.

An order whose sender gave up, or was killed, can still be delivered. Until this time
has passed, or the engine's state shows that it has the order, no other is given.
"""

ORDER_RETRY_SECONDS = 2.0
MAX_ORDER_RETRY_SECONDS = 30.0
"""Bounds of the backoff between orders that the engine refuses or that have no effect.

Meanwhile a usable engine goes on serving with its present assignment.
"""

PLAN_CONFIRM_TIMEOUT_SECONDS = 1.0
"""Timeout of the read that confirms the plan before an order."""

logger = logging.getLogger(__name__)


class Workload(t.Protocol):
    """Control of admission, and of the work that a change of the engine waits for."""

    def pause_admission(self) -> None:
        """Start no more work; idempotent."""
        ...

    def resume_admission(self) -> None:
        """Start work again; idempotent."""
        ...

    async def drained(self) -> None:
        """Wait until all started work has ended.

        Work ends by its deadline at the latest, so the wait is bounded.
        """
        ...


class EngineStateCallback(t.Protocol):
    """Callback with the engine's state and its readiness for work."""

    def __call__(self, state: EngineState | None, readiness: Readiness) -> None:
        """Handle the last read of the engine; ``None`` while its state is unknown."""
        ...


def no_plan_seen() -> FencingToken:
    """Return ``NO_FENCING_TOKEN``: no earlier plan is known."""
    return NO_FENCING_TOKEN


class OrderReconciler:
    """Reconciliation loop of a side, which brings its engine to the plan.

    :param name: name of the engine.
    :param engine: the engine.
    :param kv: the key-value service, which stores the plan.
    :param workload: admission control, and the work that a change waits for.
    :param on_engine_state: called after each read of the engine.
    :param rng: source of jitter.
    :param plan_seen: returns the highest plan token that an earlier side obeyed.
    :param plan: the highest plan seen; it stays in force while the key-value service
        is down.
    :param engine_state: the last state read from the engine.
    :param machine: the state of the orders.
    """

    def __init__(
        self,
        name: str,
        engine: Engine,
        kv: KeyValueService,
        workload: Workload,
        on_engine_state: EngineStateCallback,
        rng: random.Random,
        plan_seen: cabc.Callable[[], FencingToken] = no_plan_seen,
    ) -> None:
        self.name = name
        self.engine = engine
        self.kv = kv
        self.workload = workload
        self.on_engine_state = on_engine_state
        self.rng = rng
        self.plan_seen = plan_seen
        self.plan: EnginePlan | None = None
        self.engine_state: EngineState | None = None
        self.machine = OrderMachine()
        self._settled_assignment: Assignment | None = None
        self._in_doubt_order: Order | None = None
        self._no_order_before = 0.0
        self._retry_at = 0.0
        self._retries = Backoff(rng, ORDER_RETRY_SECONDS, MAX_ORDER_RETRY_SECONDS)
        self._is_usable = False
        self._online_change = False
        self._failed_reads = 0
        self._drain: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    @property
    def state(self) -> OrderState:
        """The state of the orders to the engine."""
        return self.machine.state

    @property
    def token(self) -> FencingToken:
        """Fencing token of the plan; ``NO_FENCING_TOKEN`` before the first plan."""
        return self.plan.token if self.plan is not None else NO_FENCING_TOKEN

    @property
    def readiness(self) -> Readiness:
        """Whether the engine may be given new work."""
        if self.state is OrderState.SETTLED:
            return Readiness.READY
        if self.state is OrderState.UNKNOWN:
            return Readiness.UNKNOWN
        if self._online_change and self.state is not OrderState.DRAINING:
            return Readiness.READY
        return Readiness.CHANGING

    async def run(self) -> None:
        """Reconcile the engine with the plan until cancelled."""
        self._no_order_before = _now() + MAX_ORDER_DELIVERY_SECONDS
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_plan())
                group.create_task(self._reconcile_loop())
        finally:
            self._stop_drain()

    def offer_plan(self, data: bytes) -> None:
        """Accept the engine's plan if its token is above those of all plans seen."""
        try:
            plan = decode_engine_plan(data)
        except DecodingError as error:
            logger.error("plan of engine %s can't be decoded: %s", self.name, error)
            return
        if self.plan is None or plan.token > self.plan.token:
            self.plan = plan
            self._retry_at = 0.0
            self._wake.set()

    async def _watch_plan(self) -> None:
        key = engine_key(self.name)
        async with contextlib.aclosing(
            watch_keys(self.kv, engine_prefix(self.name), self.rng)
        ) as changes:
            async for change in changes:
                if change.key == key and change.value is not None:
                    self.offer_plan(change.value)

    async def _reconcile_loop(self) -> None:
        self._publish()
        while True:
            self._wake.clear()
            await self._reconcile()
            self._publish()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STATE_POLL_SECONDS):
                    await self._wake.wait()

    async def _reconcile(self) -> None:
        """Read the engine's state and take the next step that brings it to the plan."""
        state = await self._read_back()
        if state is None:
            return
        if state.changing:
            self._on_changing()
        elif self._order_may_arrive(state):
            return
        elif self._due_order(state) is None:
            self._on_settled(state.assignment)
            self._retries.reset()
        elif _now() < self._retry_at:
            self._on_settled(state.assignment if self._is_usable else None)
        elif await self._drain_if_needed(state.assignment):
            await self._order_if_still_due(state)

    async def _read_back(self) -> EngineState | None:
        """Read the engine's state; ``None`` if that failed."""
        try:
            async with asyncio.timeout(STATE_TIMEOUT_SECONDS):
                state = await self.engine.state()
        except (PortError, TimeoutError):
            self._failed_reads += 1
            if self._failed_reads > MAX_FAILED_READS:
                self._reset_to_unknown()
            return None
        self._failed_reads = 0
        self._detect_restart(state)
        self.engine_state = state
        return state

    def _detect_restart(self, state: EngineState) -> None:
        """Reset the known state of an engine whose boot identity has changed.

        An engine may crash during a change and be back before any call fails, with the
        change done, half done or not done. Work sent to it then could need a role or
        models that it does not have. Its state is therefore compared with the plan
        again, and it gets no work until the two agree.
        """
        previous = self.engine_state
        if previous is not None and previous.boot_id != state.boot_id:
            logger.warning("engine %s has restarted", self.name)
            self._reset_to_unknown()

    def _reset_to_unknown(self) -> None:
        """Treat the engine's state as unknown, which closes admission."""
        self._stop_drain()
        self._online_change = False
        self._is_usable = False
        self.machine.trigger("lost")

    def _on_changing(self) -> None:
        """Wait for a change that the engine is carrying out.

        Admission stays open only for an online change that this side has ordered.
        """
        self._in_doubt_order = None
        if self.state is not OrderState.CHANGING:
            self._online_change = (
                self._online_change and self.state is OrderState.ORDERING
            )
            self._stop_drain()
            self.machine.trigger("found_changing")

    def _on_settled(self, assignment: Assignment | None) -> None:
        """Let the engine serve with an assignment; ``None`` if it is not usable.

        After a restart an engine is not usable until it has been found to match the
        plan, as a crash during a change may leave it in any state.
        """
        if assignment is None:
            self._reset_to_unknown()
            return
        self._stop_drain()
        self._online_change = False
        self._is_usable = True
        self._settled_assignment = assignment
        self.machine.trigger("found_settled")

    def _order_may_arrive(self, state: EngineState) -> bool:
        """Return whether an earlier order may still be delivered to the engine.

        It may be an order of this process whose reply was lost, or of an earlier
        process that was killed. With another order now, an engine that ignores fencing
        tokens would get two, the older of which might arrive last.
        """
        in_doubt = self._in_doubt_order
        if in_doubt is not None:
            arrived = (
                state.token >= in_doubt.token or state.assignment == in_doubt.assignment
            )
            if arrived:
                self._no_order_before = _now()
        if _now() < self._no_order_before:
            return True
        self._in_doubt_order = None
        if self.state is OrderState.ORDERING:
            self.machine.trigger("not_taken")
        return False

    def _due_order(self, state: EngineState) -> Order | None:
        """Return the order that is due; ``None`` if the engine matches the plan.

        A plan with a lower token than one that the engine has already obeyed comes from
        a key-value service that was restored from a backup; the engine stays as it is
        until a higher one. If side and engine were both replaced, neither remembers
        that token, and the entries report what the earlier side obeyed.
        """
        plan = self.plan
        if plan is None or plan.token < max(state.token, self.plan_seen()):
            return None
        if plan.assignment == state.assignment:
            return None
        return Order(plan.token, plan.assignment)

    async def _drain_if_needed(self, present: Assignment | None) -> bool:
        """Return whether a change can be ordered now; start a drain if it needs one.

        :param present: the engine's assignment; ``None`` if it does not know it.
        """
        assert self.plan is not None
        if not needs_drain(present, self.plan.assignment):
            self._stop_drain()
            return True
        if self._drain is None:
            self._online_change = False
            self.machine.trigger("drain")
            self._publish()
            self._drain = asyncio.create_task(self.workload.drained())
            self._drain.add_done_callback(lambda _: self._wake.set())
            return False
        if not self._drain.done():
            return False
        self._drain.result()
        return True

    async def _order_if_still_due(self, state: EngineState) -> None:
        """Read the plan again and give the order if it is still due.

        A side that was suspended resumes with an old plan. The read keeps it from
        giving an order of a planner that was replaced meanwhile. While the key-value
        service is down, the last plan stays in force.
        """
        plan_before = self.plan
        await self._confirm_plan()
        order = self._due_order(state)
        if order is None or self.plan is not plan_before:
            self._wake.set()
            return
        self._online_change = not needs_drain(state.assignment, order.assignment)
        await self._send_order(order)

    async def _confirm_plan(self) -> None:
        with contextlib.suppress(PortError, TimeoutError):
            async with asyncio.timeout(PLAN_CONFIRM_TIMEOUT_SECONDS):
                item = await self.kv.get(engine_key(self.name))
            if item is not None:
                self.offer_plan(item.value)

    async def _send_order(self, order: Order) -> None:
        """Send an order to the engine.

        If its outcome is unknown, no other order is given until the engine shows this
        one or the time for its delivery has passed.
        """
        self.machine.trigger("give")
        self._publish()
        self._stop_drain()
        self._retry_at = _now() + ORDER_RETRY_SECONDS + self._retries.next_delay()
        try:
            async with asyncio.timeout(ORDER_REPLY_TIMEOUT_SECONDS):
                await self.engine.order(order)
        except (NotReachedError, OrderRefusedError) as error:
            logger.warning("engine %s took no order: %s", self.name, error.message)
            self.machine.trigger("not_taken")
            self._on_settled(self._settled_assignment if self._is_usable else None)
        except (PortError, TimeoutError) as error:
            logger.warning(
                "outcome of order to engine %s is unknown: %r", self.name, error
            )
            self._in_doubt_order = order
            self._no_order_before = _now() + MAX_ORDER_DELIVERY_SECONDS
        else:
            self.machine.trigger("taken")

    def _stop_drain(self) -> None:
        if self._drain is not None:
            self._drain.cancel()
            self._drain = None

    def _publish(self) -> None:
        """Open or close admission and report the engine's state and readiness.

        An engine that loads a model while it serves has no settled assignment. Its
        previous one still holds, so work for that goes on.
        """
        readiness = self.readiness
        state = self.engine_state
        if readiness is Readiness.READY:
            if state is not None and state.assignment is None:
                state = dataclasses.replace(state, assignment=self._settled_assignment)
            self.workload.resume_admission()
        else:
            self.workload.pause_admission()
        self.on_engine_state(state, readiness)


def needs_drain(present: Assignment | None, wanted: Assignment) -> bool:
    """Return whether the work in flight must end before a change.

    A new role stops the engine for seconds, and unloading a model or an adapter ends
    its streams. Another model can be loaded while the engine serves.

    :param present: the engine's assignment; ``None`` if it does not know it.
    :param wanted: the assignment after the change.
    """
    if present is None:
        return True
    kept = {*wanted.models, *wanted.adapters}
    carried = {*present.models, *present.adapters}
    return present.role is not wanted.role or not carried <= kept


def _now() -> float:
    return asyncio.get_running_loop().time()
