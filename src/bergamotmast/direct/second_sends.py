"""Who may send a request again, and what counts it.

Every way to send again asks here: a plain call, a prompt that has to be read anew, a
stream that goes on at another engine. What is tried again inside one request is held to
its route by :mod:`.sends`.
"""

from __future__ import annotations

import asyncio
import logging

from ..policy.retry_window import RetryLimits
from ..policy.retry_window import RetryWindow
from ..telemetry import Telemetry
from .fleet import Fleet

logger = logging.getLogger(__name__)


class SecondSends:
    """Keeps one entry's part of the retry budget that all entries share, by group.

    :param limits: what all entries together may send a second time.
    """

    def __init__(self, fleet: Fleet, limits: RetryLimits, telemetry: Telemetry) -> None:
        self.fleet = fleet
        self.limits = limits
        self.telemetry = telemetry
        self.windows: dict[str, RetryWindow] = {}

    def on_request(self, group: str) -> None:
        """Count a caller's request for a group."""
        self._window(group).on_request(asyncio.get_running_loop().time())

    def has_room(self, group: str) -> bool:
        """Return whether the budget has room for a second send to a group."""
        now = asyncio.get_running_loop().time()
        return self._window(group).has_room(self._part(now), now)

    def spend(self, group: str) -> bool:
        """Take a second send out of the budget, if it has room."""
        now = asyncio.get_running_loop().time()
        part = self._part(now)
        window = self._window(group)
        account = window.account(part, now)
        allowed = window.spend(part, now)
        self.telemetry.on_second_send(group, allowed=allowed)
        logger.info(
            "second send" if allowed else "second send is refused",
            extra={
                "group": group,
                "requests": account.requests,
                "repeats": account.retries,
                "room": round(account.available, 2),
                "part": round(part, 4),
                "entries": len(self.fleet.entries),
            },
        )
        return allowed

    def _part(self, now: float) -> float:
        return self.fleet.entry_share.share(self.fleet.entries, now)

    def _window(self, group: str) -> RetryWindow:
        return self.windows.setdefault(group, RetryWindow(self.limits))
