"""How far a stream came and when, for its line in the log."""

from __future__ import annotations

import dataclasses

from ..policy.direct_placement import Placement


@dataclasses.dataclass(slots=True)
class Timeline:
    """When a stream came how far, as points in time; the last send's where it had more.

    :param reader: engine that read the prompt for the answering one.
    :param upstream: the answering engine.
    :param uncached_tokens: prompt tokens that were thought not to be cached.
    :param predicted: seconds from the choice to the first token.
    :param waiting: the part of it in which other prompts are read.
    :param caller_seconds: until the caller leaves, at the choice.
    """

    reader: str = ""
    upstream: str = ""
    uncached_tokens: int = 0
    predicted: float = 0.0
    waiting: float = 0.0
    priority: int = 0
    caller_seconds: float = 0.0
    placed_at: float | None = None
    prefilled_at: float | None = None
    replied_at: float | None = None
    first_event_at: float | None = None

    def on_placed(self, placement: Placement, caller_seconds: float) -> None:
        """Take a choice, and what it or a refusal went by."""
        self.reader = placement.prefill_engine or ""
        self.predicted = placement.first_token
        self.uncached_tokens = placement.prefill_candidate.uncached_tokens
        self.waiting = (
            placement.prefill_candidate.wait * placement.prefill_candidate.slowdown
        )
        self.priority = placement.prefill_candidate.priority
        self.caller_seconds = caller_seconds

    def fields(self, arrived_at: float) -> dict[str, object]:
        """Return what a log line says of it, in milliseconds since the arrival."""
        points = {
            "placed_ms": self.placed_at,
            "prefilled_ms": self.prefilled_at,
            "replied_ms": self.replied_at,
            "first_event_ms": self.first_event_at,
        }
        found: dict[str, object] = {
            name: round((point - arrived_at) * 1e3, 1)
            for name, point in points.items()
            if point is not None
        }
        if self.placed_at is not None:
            # A refusal, too, was decided by the prediction.
            found |= {
                "reader": self.reader,
                "upstream": self.upstream,
                "to_read": self.uncached_tokens,
                "predicted_ms": round(self.predicted * 1e3, 1),
                "waiting_ms": round(self.waiting * 1e3, 1),
                "priority": self.priority,
                "caller_ms": round(self.caller_seconds * 1e3, 1),
            }
        return found
