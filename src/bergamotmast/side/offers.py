"""Conversion of offers to queue items and to demand, counted in tokens."""

from __future__ import annotations

from ..errors import ResultCode
from ..model import Cost
from ..policy import QueueItem
from ..protocol import messages

OFFERS_PER_REFUSED_REQUEST = 3
"""Usual number of sides that a request is offered to before it is finally refused."""


def queue_item(offer: messages.Offer, now: float) -> QueueItem:
    """Return the queue item of an offer.

    :param now: local monotonic time, in seconds.
    """
    work = offer.work
    deadline = now + offer.budget
    if isinstance(work, messages.ServiceWork):
        cost = Cost(1, 1)
        kv_tokens = 0
        start_by = deadline
        resumed = False
    else:
        cost = _remaining_cost(work)
        kv_tokens = work.prompt_tokens + work.resume_tokens + work.predicted_tokens
        start_by = now + work.first_token_budget
        resumed = work.resume_tokens > 0
    return QueueItem(
        attempt=offer.attempt,
        tenant=offer.tenant,
        weight=offer.weight,
        request_class=offer.request_class,
        priority=offer.priority,
        cost=cost,
        start_by=start_by,
        deadline=deadline,
        arrived_at=now,
        resumed=resumed,
        kv_tokens=kv_tokens,
    )


def _remaining_cost(work: messages.ModelWork) -> Cost:
    """Return the cost that remains for this engine.

    Prefill and decode of one answer may run on two engines.
    """
    prefill = 0 if work.kv_handle else work.prompt_tokens + work.resume_tokens
    return Cost(prefill, 1 if work.prefill_only else work.predicted_tokens)


def offered_demand(
    work: messages.ModelWork | messages.ServiceWork, code: ResultCode
) -> Cost:
    """Return what an offer adds to the demand from which engines' roles are planned.

    A request is counted whole where it is first offered. If each stage were counted on
    its own, requests that prefill engines refuse would never count as decode work, and
    the fleet would shift to prefill while decode is short. A refused request is offered
    to other sides too, so each refusal counts as a share of a request.

    :param code: result of the offer; ``OK`` if it was accepted.
    """
    if isinstance(work, messages.ServiceWork):
        return Cost(1, 1)
    if work.kv_handle:
        return Cost(0, 0)
    shares = 1 if code is ResultCode.OK else OFFERS_PER_REFUSED_REQUEST
    prefill = work.prompt_tokens + work.resume_tokens
    return Cost(prefill // shares, work.predicted_tokens // shares)
