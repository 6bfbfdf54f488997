"""Event timeline of a stream, for its log line."""

from __future__ import annotations

import dataclasses

from ..policy.direct_placement import Placement


@dataclasses.dataclass(slots=True)
class Timeline:
    """Points in time and predictions of a stream's last attempt.

    :param prefill_engine: name; empty if the decode engine prefills the prompt.
    :param upstream: name of the decode engine.
    :param uncached_tokens: prompt tokens estimated not to be cached.
    :param predicted: predicted seconds from the placement to the first token.
    :param waiting: predicted seconds of queueing, which ``predicted`` includes.
    :param seconds_to_timeout: seconds from the placement until the caller disconnects.
    """

    prefill_engine: str = ""
    upstream: str = ""
    uncached_tokens: int = 0
    predicted: float = 0.0
    waiting: float = 0.0
    priority: int = 0
    seconds_to_timeout: float = 0.0
    placed_at: float | None = None
    prefilled_at: float | None = None
    replied_at: float | None = None
    first_event_at: float | None = None

    def on_placed(self, placement: Placement, seconds_to_timeout: float) -> None:
        """Record a placement and the predictions that it, or a refusal, is based on."""
        self.prefill_engine = placement.prefill_engine or ""
        self.predicted = placement.first_token
        self.uncached_tokens = placement.prefill_candidate.uncached_tokens
        self.waiting = (
            placement.prefill_candidate.wait * placement.prefill_candidate.slowdown
        )
        self.priority = placement.prefill_candidate.priority
        self.seconds_to_timeout = seconds_to_timeout

    def fields(self, arrived_at: float) -> dict[str, object]:
        """Return the fields of the log line, with times in ms since arrival."""
        points = {
            "placed_ms": self.placed_at,
            "prefilled_ms": self.prefilled_at,
            "replied_ms": self.replied_at,
            "first_event_ms": self.first_event_at,
        }
        log_fields: dict[str, object] = {
            name: round((point - arrived_at) * 1e3, 1)
            for name, point in points.items()
            if point is not None
        }
        if self.placed_at is not None:
            # The predictions are logged for refusals as well, which depend on them.
            log_fields |= {
                "reader": self.prefill_engine,
                "upstream": self.upstream,
                "to_read": self.uncached_tokens,
                "predicted_ms": round(self.predicted * 1e3, 1),
                "waiting_ms": round(self.waiting * 1e3, 1),
                "priority": self.priority,
                "caller_ms": round(self.seconds_to_timeout * 1e3, 1),
            }
        return log_fields
