"""Pauses and kills simulated processes that share one event loop.

A :class:`Gate` stands for one process. Every task created inside the process,
directly or by another of its tasks, belongs to its gate. While the gate is paused
none of these tasks runs, as if the operating system had stopped the process with
SIGSTOP: the clock goes on, the process's timers expire and frames for it queue up,
and it handles all of them only after it is resumed.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextvars
import typing as t

_T = t.TypeVar("_T")

_CURRENT: contextvars.ContextVar[Gate | None] = contextvars.ContextVar(
    "current_gate", default=None
)


class Gate:
    """The tasks of one simulated process.

    :param tasks: tasks that have not ended, in the order of their start, so that
        :meth:`kill` cancels them in the same order in every run of a seed.
    :param paused: whether the process is paused.
    :param waiting: futures of the tasks that tried to run while paused.
    """

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[t.Any], None] = {}
        self.paused = False
        self.waiting: list[asyncio.Future[None]] = []

    def pause(self) -> None:
        """Pause all tasks of the process."""
        self.paused = True

    def resume(self) -> None:
        """Resume all tasks of the process."""
        self.paused = False
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()

    def wait(self) -> asyncio.Future[None]:
        """Return a future that is done once the process is resumed.

        Each task gets a future of its own, as cancelling a task cancels the future
        that it awaits.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        # ``Future.__await__`` sets this flag before it yields itself to the task.
        future._asyncio_future_blocking = True
        return future

    def run(self, coroutine: cabc.Coroutine[t.Any, t.Any, _T]) -> asyncio.Task[_T]:
        """Run a coroutine as a task of the process."""
        token = _CURRENT.set(self)
        try:
            return asyncio.get_running_loop().create_task(coroutine)
        finally:
            _CURRENT.reset(token)

    async def kill(self) -> None:
        """Cancel all tasks of the process, paused or not, and wait for their end."""
        self.resume()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _Gated(cabc.Coroutine[t.Any, t.Any, _T]):
    """A coroutine that isn't resumed while its gate is paused.

    :param pending_exception: thrown into the coroutine once the gate is resumed, for
        instance a cancellation that came meanwhile.
    """

    def __init__(self, inner: cabc.Coroutine[t.Any, t.Any, _T], gate: Gate) -> None:
        self.inner = inner
        self.gate = gate
        self.pending_exception: BaseException | None = None

    def send(self, value: t.Any) -> t.Any:
        """Resume the wrapped coroutine, or wait for the gate if it is paused."""
        if self.gate.paused:
            return self.gate.wait()
        if self.pending_exception is not None:
            error, self.pending_exception = self.pending_exception, None
            return self.inner.throw(error)
        return self.inner.send(value)

    def throw(self, *error: t.Any) -> t.Any:
        """Throw an exception into the coroutine, now or once the gate is resumed."""
        if not self.gate.paused:
            return self.inner.throw(*error)
        self.pending_exception = error[0]
        return self.gate.wait()

    def close(self) -> None:
        """Close the wrapped coroutine."""
        self.inner.close()

    def __await__(self) -> t.Generator[t.Any, t.Any, _T]:
        raise NotImplementedError("a gated coroutine can only be run as a task")


def _create_task(
    loop: asyncio.AbstractEventLoop,
    coroutine: cabc.Coroutine[t.Any, t.Any, t.Any],
    **options: t.Any,
) -> asyncio.Task[t.Any]:
    gate = _CURRENT.get()
    if gate is None:
        return asyncio.Task(coroutine, loop=loop, **options)
    task = asyncio.Task(_Gated(coroutine, gate), loop=loop, **options)
    gate.tasks[task] = None
    task.add_done_callback(gate.tasks.pop)
    return task


def install_task_factory(loop: asyncio.AbstractEventLoop) -> None:
    """Make a loop assign each new task to the gate that is current on its creation.

    Tasks created outside of any gate are ordinary tasks.
    """
    loop.set_task_factory(t.cast(t.Any, _create_task))
