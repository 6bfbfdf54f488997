"""Engine time that the streams of a group take for prefill and for decode.

Load pattern: engines of any make, whose rates of prompt and output tokens differ many
times, and a mix that swings between long prompts and long answers.

Without it: the planner of roles compares both kinds of work by fixed rates. If decode
engines are several times slower than that, it leaves too few of them: their batches
are full, answers are preempted, and callers reach their deadlines while prefill engines
idle.

Both kinds are measured in engine-seconds, so that no rate has to be known. A prefill
takes the time that is predicted for it at a prefill engine, without the prompt's cached
part. A decode takes one slot of its engine's batch for as long as it runs or waits for
its slot. An engine counts as busy when :data:`WELL_USED_SHARE` of its batch is used:
each further answer makes the pauses of all others longer.
"""

from __future__ import annotations

import math

TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the exponential decay of older work. Role changes take seconds and
must not follow swings that are shorter."""


WELL_USED_SHARE = 0.5
"""Share of an engine's slots up to which its answers keep their pauses short. Half of
the batch is left for bursts and for spans in which a machine is slow."""


class EngineTimeMeter:
    """Exponentially decaying engine time of one group's streams at one entry.

    :param well_used_slots: answers at once with which an engine counts as busy.
    :param prefill: decayed prefill work, in engine-seconds.
    :param decode: decayed decode work, in engine-seconds.
    :param running: decodes that are running or wait for their slot.
    :param updated_at: until when both are worked out; a point in time.
    """

    def __init__(self, slots: int, now: float) -> None:
        """Begin to measure.

        :param slots: maximum number of requests in an engine's batch.
        """
        self.well_used_slots = max(1.0, WELL_USED_SHARE * slots)
        self.prefill = 0.0
        self.decode = 0.0
        self.running = 0
        self.updated_at = now

    def add_prefill(self, seconds: float, now: float) -> None:
        """Add a prefill.

        :param seconds: time for which it occupies a prefill engine.
        """
        self._update(now)
        self.prefill += seconds

    def begin_decode(self, now: float) -> None:
        """Record that a decode engine has been asked for an answer."""
        self._update(now)
        self.running += 1

    def end_decode(self, now: float) -> None:
        """Record that an answer has ended, in whatever way."""
        self._update(now)
        self.running -= 1

    def decode_share(self, now: float) -> float:
        """Return the share of engine time spent on decode; 0 if nothing is known."""
        self._update(now)
        total = self.prefill + self.decode
        return self.decode / total if total else 0.0

    def _update(self, now: float) -> None:
        """Decay older work and add the decodes that have been running since."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        decay = math.exp(-elapsed / TIME_CONSTANT_SECONDS)
        self.prefill *= decay
        added = (
            self.running / self.well_used_slots * TIME_CONSTANT_SECONDS * (1.0 - decay)
        )
        self.decode = self.decode * decay + added
