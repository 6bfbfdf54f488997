"""Calls of the planner's lease holder to the platform, under its fencing token."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import typing as t

from ..errors import LeadershipLostError
from ..errors import NotReachedError
from ..errors import PortError


class FencedReply(enum.Enum):
    """The platform's reply to a call.

    ``FENCED``: the platform has seen a higher token. ``RETRY``: any other refusal.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    RETRY = "retry"


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """What is known of a call.

    :param text: for log lines: the reply's value, or an error.
    :param sent: whether the call may have reached the platform.
    """

    reply: FencedReply
    text: str
    sent: bool = True


class Lease(t.Protocol):
    """The lease of the planner's holder."""

    @property
    def lease_is_valid(self) -> bool:
        """Whether the lease is held and can't have expired yet."""
        ...


async def call_while_held(
    lease: Lease, call: cabc.Callable[[], cabc.Awaitable[FencedReply]]
) -> CallOutcome:
    """Make a call if the lease is held; errors of the platform are an outcome.

    :raises LeadershipLostError: if the lease may have expired. This process may have
        been suspended, and another entry may have taken over; nothing was sent.
    """
    if not lease.lease_is_valid:
        raise LeadershipLostError("The lease may have lapsed before the call.")
    try:
        reply = await call()
    except NotReachedError as error:
        return CallOutcome(FencedReply.RETRY, error.message, sent=False)
    except PortError as error:
        return CallOutcome(FencedReply.RETRY, error.message)
    return CallOutcome(reply, reply.value)
