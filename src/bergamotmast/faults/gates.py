"""Pausing and killing the tasks of one process among many in a single event loop.

Every task that is created inside a process, directly or by another of its tasks,
belongs to the process's gate. While the gate is shut none of them takes a step, as
when the operating system stops a process: time goes on, timers of it fall due, and
frames for it wait, and it sees all of that only when it wakes.
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
    """One process's tasks.

    :param tasks: those that have not ended, in the order of their start, so that a
        run ends them in the same order each time.
    :param paused: whether the process is stopped.
    """

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[t.Any], None] = {}
        self.paused = False
        self.waiting: list[asyncio.Future[None]] = []

    def pause(self) -> None:
        """Stop the process."""
        self.paused = True

    def resume(self) -> None:
        """Let the process go on."""
        self.paused = False
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()

    def wait(self) -> asyncio.Future[None]:
        """Return what one task waits for; a task may cancel what it awaits."""
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        # What ``Future.__await__`` does before it yields itself to the task.
        future._asyncio_future_blocking = True
        return future

    def run(self, coroutine: cabc.Coroutine[t.Any, t.Any, _T]) -> asyncio.Task[_T]:
        """Start a task inside the process."""
        token = _CURRENT.set(self)
        try:
            return asyncio.get_running_loop().create_task(coroutine)
        finally:
            _CURRENT.reset(token)

    async def kill(self) -> None:
        """End the process at once, paused or not."""
        self.resume()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _Gated(cabc.Coroutine[t.Any, t.Any, _T]):
    """A coroutine that takes no step while its gate is shut."""

    def __init__(self, inner: cabc.Coroutine[t.Any, t.Any, _T], gate: Gate) -> None:
        self.inner = inner
        self.gate = gate
        self.pending_exception: BaseException | None = None

    def send(self, value: t.Any) -> t.Any:
        """Take a step, or wait for the gate first."""
        if self.gate.paused:
            return self.gate.wait()
        if self.pending_exception is not None:
            error, self.pending_exception = self.pending_exception, None
            return self.inner.throw(error)
        return self.inner.send(value)

    def throw(self, *error: t.Any) -> t.Any:
        """Take an exception, or keep it until the gate opens."""
        if not self.gate.paused:
            return self.inner.throw(*error)
        self.pending_exception = error[0]
        return self.gate.wait()

    def close(self) -> None:
        """Close the coroutine inside."""
        self.inner.close()

    def __await__(self) -> t.Generator[t.Any, t.Any, _T]:
        raise NotImplementedError("only tasks step a gated coroutine")


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


def install(loop: asyncio.AbstractEventLoop) -> None:
    """Let a loop keep the tasks of its processes apart."""
    loop.set_task_factory(t.cast(t.Any, _create_task))
