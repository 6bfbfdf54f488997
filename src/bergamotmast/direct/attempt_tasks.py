"""Tasks of concurrent attempts: their outcomes, and their end."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import typing as t

T = t.TypeVar("T")


def outcomes(
    ended: cabc.Iterable[asyncio.Task[T]],
) -> tuple[list[T], list[BaseException]]:
    """Return the results and the errors of attempts that have ended."""
    results: list[T] = []
    errors: list[BaseException] = []
    for task in ended:
        error = task.exception()
        if error is None:
            results.append(task.result())
        else:
            errors.append(error)
    return results, errors


async def cancel_all(*tasks: asyncio.Task[t.Any]) -> None:
    """Cancel tasks and wait until they have closed their connections."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
