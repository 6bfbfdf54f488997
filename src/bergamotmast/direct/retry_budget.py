"""Retry budget of an entry, by group.

Every kind of retry is taken out of this budget: a plain request, a prefill that is
restarted, a stream that is resumed at another engine. The number of attempts of a
single request is limited by :mod:`.attempts`.
"""

from __future__ import annotations

import asyncio
import logging

from ..policy.retry_window import WINDOW_SECONDS
from ..policy.retry_window import RetryLimits
from ..policy.retry_window import RetryWindow
from ..telemetry import Telemetry
from .fleet import Fleet

logger = logging.getLogger(__name__)


class SharedRetryBudget:
    """An entry's share of the retry budget common to all entries, by group.

    :param limits: retries allowed for all entries together.
    :param windows: requests and retries of the last seconds, by group.
    """

    def __init__(self, fleet: Fleet, limits: RetryLimits, telemetry: Telemetry) -> None:
        self.fleet = fleet
        self.limits = limits
        self.telemetry = telemetry
        self.windows: dict[str, RetryWindow] = {}

    def on_request(self, group: str) -> None:
        """Count a caller's request for a group."""
        self._window(group).on_request(asyncio.get_running_loop().time())

    def request_rate(self, group: str) -> float:
        """Return the requests a second that come for a group, at this entry."""
        now = asyncio.get_running_loop().time()
        state = self._window(group).account(self._share(now), now)
        return state.requests / WINDOW_SECONDS

    def has_room(self, group: str) -> bool:
        """Return whether the budget has room for a retry in a group."""
        now = asyncio.get_running_loop().time()
        return self._window(group).has_room(self._share(now), now)

    def spend(self, group: str, count: int = 1) -> bool:
        """Take retries out of the budget; return whether it had room for all."""
        now = asyncio.get_running_loop().time()
        share = self._share(now)
        window = self._window(group)
        state = window.account(share, now)
        allowed = window.spend(share, now, count)
        for _ in range(count):
            self.telemetry.on_retry(group, allowed=allowed)
        logger.info(
            "second send" if allowed else "second send is refused",
            extra={
                "group": group,
                "count": count,
                "requests": state.requests,
                "repeats": state.retries,
                "room": round(state.available, 2),
                "part": round(share, 4),
                "entries": len(self.fleet.entries),
            },
        )
        return allowed

    def _share(self, now: float) -> float:
        return self.fleet.entry_share.share(self.fleet.entries, now)

    def _window(self, group: str) -> RetryWindow:
        return self.windows.setdefault(group, RetryWindow(self.limits))
