"""What an engine stand-in is and carries, and the orders that change it."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import OrderRefusedError
from ..errors import PortError
from ..history import HistorySink
from ..history import OrderEnded
from ..history import OrderTaken
from ..model import NO_FENCING_TOKEN
from ..model import Assignment
from ..model import FencingToken
from ..model import Order

Loader = cabc.Callable[[str], cabc.Awaitable[None]]
"""Loads one version and returns when it is there."""


class OrderBook:
    """The engine's assignment and the one order that may be under way.

    :param engine: name in the history.
    :param assignment: what the engine is; ``None`` if that is not known.
    :param target: what it is becoming; ``None`` if no order is under way.
    :param change_seconds: how long a role change takes.
    :param honours_fencing: whether an order needs a higher token than the last.
    :param loader: loads a version.
    :param on_settled: called when an order ended or was lost.
    """

    def __init__(
        self,
        engine: str,
        assignment: Assignment,
        change_seconds: float,
        honours_fencing: bool,
        loader: Loader,
        history: HistorySink,
        on_settled: cabc.Callable[[], None],
    ) -> None:
        self.engine = engine
        self.assignment: Assignment | None = assignment
        self.target: Assignment | None = None
        self.change_seconds = change_seconds
        self.honours_fencing = honours_fencing
        self.loader = loader
        self.history = history
        self.on_settled = on_settled
        self.last = NO_FENCING_TOKEN
        self._order: Order | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def changes_role(self) -> bool:
        """Whether the order under way takes the engine away."""
        if self.target is None:
            return False
        return self.assignment is None or self.assignment.role != self.target.role

    @property
    def token(self) -> FencingToken:
        """Authority of the last order, where the engine keeps it."""
        return self.last if self.honours_fencing else NO_FENCING_TOKEN

    def carries(self, model: str) -> bool:
        """Return whether a request for this model can be served now."""
        if self.assignment is None or self.changes_role:
            return False
        serves = _carries(self.assignment, model)
        return serves and (self.target is None or _carries(self.target, model))

    def take(self, order: Order) -> None:
        """Begin to carry an order out.

        :raises OrderRefusedError: for an old token or while another is under way.
        """
        if self.target is not None:
            raise OrderRefusedError(f"{self.engine} is changing")
        if self.honours_fencing and order.token <= self.last:
            raise OrderRefusedError(f"{self.engine} has seen {self.last}")
        self.last = order.token
        self.target = order.assignment
        self._order = order
        self.history.record(
            OrderTaken(
                at=_now(),
                engine=self.engine,
                epoch=order.token.epoch,
                revision=order.token.revision,
                assignment=describe(order.assignment),
            )
        )
        if order.assignment == self.assignment:
            self._settle(order.assignment, True)
        else:
            self._task = asyncio.get_running_loop().create_task(self._carry_out(order))

    def crash(self, change_done: bool, incomplete: bool) -> None:
        """Lose the order under way and every token.

        :param change_done: whether the change was complete when the engine crashed.
        :param incomplete: whether the engine no longer knows what it is.
        """
        if self._task is not None:
            self._task.cancel()
        if self.target is not None:
            self._settle(self.target if change_done else self.assignment, change_done)
        if incomplete:
            self.assignment = None
        self.last = NO_FENCING_TOKEN

    async def _carry_out(self, order: Order) -> None:
        wanted = order.assignment
        held = self.assignment or Assignment(wanted.role)
        try:
            if self.changes_role:
                await asyncio.sleep(self.change_seconds)
            for version in (*wanted.models, *wanted.adapters):
                if version not in held.models and version not in held.adapters:
                    await self.loader(version)
        except PortError:
            self._settle(None, False)
        else:
            self._settle(wanted, True)

    def _settle(self, assignment: Assignment | None, completed: bool) -> None:
        order = self._order
        self.assignment = assignment
        self.target = None
        self._order = None
        self._task = None
        if order is not None:
            self.history.record(
                OrderEnded(
                    at=_now(),
                    engine=self.engine,
                    epoch=order.token.epoch,
                    revision=order.token.revision,
                    completed=completed,
                )
            )
        self.on_settled()


async def load_nothing(version: str) -> None:
    """Load a version in no time, where there is no weight store."""


def describe(assignment: Assignment) -> str:
    """Return an assignment as one line."""
    models = ",".join(assignment.models)
    adapters = ",".join(assignment.adapters)
    return f"{assignment.role.value} models={models} adapters={adapters}"


def _carries(assignment: Assignment, model: str) -> bool:
    name, _, adapter = model.partition(":")
    return _holds(assignment.models, name) and (
        not adapter or _holds(assignment.adapters, adapter)
    )


def _holds(versions: cabc.Iterable[str], name: str) -> bool:
    return any(name in (version, version.partition("@")[0]) for version in versions)


def _now() -> float:
    return asyncio.get_running_loop().time()
