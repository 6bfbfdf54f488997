"""Which upstreams respond, as far as an entry has seen.

Load pattern: some upstreams of a group stop responding while requests are on their way
to them, and the others have capacity to spare.

Without it: requests that are turned away because an upstream was lost look like those
that full upstreams turn away, and a group that has lost some upstreams is taken for
short of capacity.
"""

from __future__ import annotations

import collections.abc as cabc
import math
import typing as t

UpstreamKey: t.TypeAlias = tuple[str, str]
"""Name and boot of an upstream: another incarnation begins as reachable."""


class Reachability:
    """The last reply of each upstream, and whether a request was lost there since.

    :param replied_at: when each upstream last replied; points in time.
    :param lost: upstreams that have lost a request and not replied since.
    """

    def __init__(self) -> None:
        self.replied_at: dict[UpstreamKey, float] = {}
        self.lost: set[UpstreamKey] = set()

    def on_reply(self, upstream: UpstreamKey, now: float) -> None:
        """Record that an upstream has replied, to any request or probe."""
        self.replied_at[upstream] = now
        self.lost.discard(upstream)

    def on_lost(self, upstream: UpstreamKey, sent_at: float) -> None:
        """Record a request that was refused a connection, reset, or not answered.

        An upstream that has replied to others meanwhile is slow, not lost.

        :param sent_at: when the request was sent; a point in time.
        """
        if not self.has_replied_since(upstream, sent_at):
            self.lost.add(upstream)

    def has_replied_since(self, upstream: UpstreamKey, at: float) -> bool:
        """Return whether an upstream has replied since a point in time."""
        return self.replied_at.get(upstream, -math.inf) >= at

    def is_reachable(self, upstream: UpstreamKey) -> bool:
        """Return whether nothing suggests that an upstream is lost."""
        return upstream not in self.lost

    def keep(self, upstreams: cabc.Collection[UpstreamKey]) -> None:
        """Forget all other upstreams."""
        self.replied_at = {k: at for k, at in self.replied_at.items() if k in upstreams}
        self.lost = {key for key in self.lost if key in upstreams}
