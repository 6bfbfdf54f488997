"""Assignment of an engine stand-in, and execution of the orders that change it."""

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
"""Loads one model or adapter version and returns once it is loaded."""


class OrderExecutor:
    """Holds the engine's assignment and executes at most one order at a time.

    :param engine: name in the history.
    :param assignment: current assignment; ``None`` if it is unknown.
    :param target: assignment of the order in progress; ``None`` if there is none.
    :param change_seconds: duration of a role change.
    :param honours_fencing: whether an order is refused unless its fencing token is
        higher than the previous one.
    :param loader: loads a version.
    :param on_order_ended: called when an order is complete, has failed or was lost in
        a crash.
    :param last_token: fencing token of the last order accepted since the engine's
        start.
    """

    def __init__(
        self,
        engine: str,
        assignment: Assignment,
        change_seconds: float,
        honours_fencing: bool,
        loader: Loader,
        history: HistorySink,
        on_order_ended: cabc.Callable[[], None],
    ) -> None:
        self.engine = engine
        self.assignment: Assignment | None = assignment
        self.target: Assignment | None = None
        self.change_seconds = change_seconds
        self.honours_fencing = honours_fencing
        self.loader = loader
        self.history = history
        self.on_order_ended = on_order_ended
        self.last_token = NO_FENCING_TOKEN
        self._order: Order | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def changes_role(self) -> bool:
        """Whether the order in progress changes the role, so that nothing is served."""
        if self.target is None:
            return False
        return self.assignment is None or self.assignment.role != self.target.role

    @property
    def token(self) -> FencingToken:
        """Token of the last order; ``NO_FENCING_TOKEN`` if tokens are ignored."""
        return self.last_token if self.honours_fencing else NO_FENCING_TOKEN

    def serves_model(self, model: str) -> bool:
        """Return whether a request for this model can be served now.

        While an order is in progress the model must be part of both the current and
        the target assignment.
        """
        if self.assignment is None or self.changes_role:
            return False
        serves = _assignment_serves(self.assignment, model)
        return serves and (
            self.target is None or _assignment_serves(self.target, model)
        )

    def accept(self, order: Order) -> None:
        """Accept an order and start to execute it.

        :raises OrderRefusedError: for a stale fencing token, or while another order
            is in progress.
        """
        if self.target is not None:
            raise OrderRefusedError(f"{self.engine} is changing")
        if self.honours_fencing and order.token <= self.last_token:
            raise OrderRefusedError(f"{self.engine} has seen {self.last_token}")
        self.last_token = order.token
        self.target = order.assignment
        self._order = order
        self.history.record(
            OrderTaken(
                at=_now(),
                engine=self.engine,
                epoch=order.token.epoch,
                revision=order.token.revision,
                assignment=describe_assignment(order.assignment),
            )
        )
        if order.assignment == self.assignment:
            self._finish(order.assignment, True)
        else:
            self._task = asyncio.get_running_loop().create_task(self._execute(order))

    def crash(self, change_done: bool, incomplete: bool) -> None:
        """Abort the order in progress and forget the fencing token.

        :param change_done: whether the order takes effect all the same.
        :param incomplete: whether the assignment is unknown afterwards.
        """
        if self._task is not None:
            self._task.cancel()
        if self.target is not None:
            self._finish(self.target if change_done else self.assignment, change_done)
        if incomplete:
            self.assignment = None
        self.last_token = NO_FENCING_TOKEN

    async def _execute(self, order: Order) -> None:
        wanted = order.assignment
        held = self.assignment or Assignment(wanted.role)
        try:
            if self.changes_role:
                await asyncio.sleep(self.change_seconds)
            for version in (*wanted.models, *wanted.adapters):
                if version not in held.models and version not in held.adapters:
                    await self.loader(version)
        except PortError:
            self._finish(None, False)
        else:
            self._finish(wanted, True)

    def _finish(self, assignment: Assignment | None, completed: bool) -> None:
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
        self.on_order_ended()


async def load_instantly(version: str) -> None:
    """Return at once: the loader of engines without a weight store."""


def describe_assignment(assignment: Assignment) -> str:
    """Format an assignment as one line, for the history."""
    models = ",".join(assignment.models)
    adapters = ",".join(assignment.adapters)
    return f"{assignment.role.value} models={models} adapters={adapters}"


def _assignment_serves(assignment: Assignment, model: str) -> bool:
    name, _, adapter = model.partition(":")
    return _contains_version(assignment.models, name) and (
        not adapter or _contains_version(assignment.adapters, adapter)
    )


def _contains_version(versions: cabc.Iterable[str], name: str) -> bool:
    """Return whether a name is in a list, with or without its ``@version``."""
    return any(name in (version, version.partition("@")[0]) for version in versions)


def _now() -> float:
    return asyncio.get_running_loop().time()
