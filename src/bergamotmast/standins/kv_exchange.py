"""Exported KV caches, for the transfer between engine stand-ins."""

from __future__ import annotations

import collections
import itertools

MAX_EXPORTS = 4096
"""Maximum number of exports; the oldest is dropped first."""


class KvExchange:
    """Exported KV caches by handle, shared by the engines of one process.

    :param accepts_unknown_handles: accept a handle of an engine in another process
        without a check; the transfer then succeeds even if that engine has crashed.
    """

    def __init__(self, accepts_unknown_handles: bool = False) -> None:
        self.accepts_unknown_handles = accepts_unknown_handles
        self._tokens: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._numbers = itertools.count(1)

    def export(self, boot_id: str, tokens: int) -> str:
        """Store an export and return its handle, which contains the boot id.

        :param tokens: length of the KV cache.
        """
        handle = f"{boot_id}/{next(self._numbers)}/{tokens}"
        self._tokens[handle] = tokens
        if len(self._tokens) > MAX_EXPORTS:
            self._tokens.popitem(last=False)
        return handle

    def take(self, handle: str) -> int | None:
        """Remove an export and return its length in tokens.

        Return ``None`` if the handle is unknown, for instance after a crash.
        """
        tokens = self._tokens.pop(handle, None)
        if tokens is None and self.accepts_unknown_handles:
            last = handle.rpartition("/")[2]
            return int(last) if last.isdecimal() else None
        return tokens

    def forget(self, boot_id: str) -> None:
        """Drop the exports of an engine that crashed."""
        for handle in list(self._tokens):
            if handle.startswith(f"{boot_id}/"):
                del self._tokens[handle]
