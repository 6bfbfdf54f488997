"""Rest that an upstream asks an entry for when it turns a request away.

Load pattern: an upstream sheds load, and those turned away would come again at once; at
the end of the rest all entries and callers have work for it.

Without it: the upstream spends its time on refusals, and falls back into them with the
first burst after its rest.

After the rest, one request is sent as a trial, and others only once it is answered
without asking for rest, or after :data:`TRIAL_SECONDS`.
"""

from __future__ import annotations

import dataclasses
import math

TRIAL_SECONDS = 1.0
"""Time after which a trial without a reply is taken for lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRest:
    """The rest of one upstream.

    :param until: end of the rest; a point in time.
    :param trial_until: until when a trial is waited for; a point in time.
    """

    until: float
    trial_until: float = -math.inf

    def ends_at(self) -> float:
        """Return until when the upstream gets no request; a point in time."""
        return max(self.until, self.trial_until)

    def prolonged(self, until: float) -> UpstreamRest:
        """Return the rest after a reply that asks for more of it."""
        return UpstreamRest(max(self.until, until))

    def after_send(self, now: float) -> UpstreamRest:
        """Return the rest after a request has been sent."""
        if now < self.until:
            return self
        return UpstreamRest(self.until, now + TRIAL_SECONDS)
