"""What an entry keeps of each upstream: its registration and its planned role."""

from __future__ import annotations

import dataclasses

from ..model import FencingToken
from ..model import Role
from .model import Upstream
from .unregistered_builds import unregistered_build

ROLE_CHANGE_TIMEOUT_SECONDS = 6.0
"""Maximum time for which an engine gets no work after the plan has changed its role. A
change takes about three seconds; an order that is never carried out must not keep the
engine from work any longer."""


@dataclasses.dataclass(slots=True)
class UpstreamRecord:
    """An upstream and the state of its registration.

    :param revision: store revision of its registration.
    :param gone_at: when an upstream whose registration lapsed during an outage is
        considered gone; a point on the monotonic clock, ``None`` while registered.
    :param superseded_boot: the incarnation that has registered, if another one has
        answered since; empty otherwise.
    """

    upstream: Upstream
    revision: int
    gone_at: float | None = None
    superseded_boot: str = ""

    def superseded(self, boot: str) -> UpstreamRecord:
        """Return the record of an incarnation that answers before it has registered.

        Until its registration arrives, its address, role and slots are taken for those
        of the incarnation before.
        """
        key = self.upstream.name, boot
        upstream = dataclasses.replace(
            self.upstream, boot=boot, build=unregistered_build(key)
        )
        return UpstreamRecord(upstream, self.revision, self.gone_at, self.upstream.boot)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRole:
    """The role that the plan assigns to an engine.

    :param at: when this entry received the assignment; a point in time.
    :param token: fencing token of the order.
    :param boot: incarnation of the engine that was registered then; empty if none was.
    """

    role: Role
    at: float
    token: FencingToken
    boot: str = ""

    @property
    def until(self) -> float:
        """When the role change is no longer waited for; a point in time."""
        return self.at + ROLE_CHANGE_TIMEOUT_SECONDS
