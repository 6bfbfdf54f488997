"""Performance model of an engine stand-in: rates by role, capacities and delays.

The default figures are plausible for one replica of a large model on eight
accelerators, and do not describe any actual hardware. With them a mixed engine
prefills 14,000 tokens a second, and decodes 96 streams in steps of 29 ms, which is
3,300 tokens a second. Each of the other roles trades one of the two for the other.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..model import Role


@dataclasses.dataclass(frozen=True, slots=True)
class RoleRates:
    """Rates of an engine in one role.

    :param prefill_rate: prompt tokens a second while no stream is decoded.
    :param prefill_share: share of that rate while streams are decoded.
    :param step_base: seconds of a decode step with an empty batch.
    :param step_per_stream: seconds that each stream adds to a decode step.
    :param interference: factor by which a prefill lengthens concurrent decode steps.
    :param max_streams: maximum number of streams admitted at the same time, in
        prefill or decode.
    """

    prefill_rate: float
    prefill_share: float
    step_base: float
    step_per_stream: float
    interference: float
    max_streams: int

    def step_seconds(self, streams: int, prefilling: bool) -> float:
        """Return the duration of a decode step, in seconds.

        :param streams: number of decoding streams.
        :param prefilling: whether a prefill runs at the same time.
        """
        seconds = self.step_base + self.step_per_stream * streams
        return seconds * self.interference if prefilling else seconds

    @property
    def decode_rate(self) -> float:
        """Output tokens a second with a full batch and no prefill."""
        return self.max_streams / self.step_seconds(self.max_streams, False)


MIXED_RATES = RoleRates(14_000.0, 0.7, 0.015, 0.00015, 2.0, 96)
"""Chunked prefill shares each step with the batch, which slows both down."""

PREFILL_RATES = RoleRates(22_000.0, 0.9, 0.02, 0.0005, 4.0, 16)
"""Prefill comes first, in large steps; the few decoding streams are slow."""

DECODE_RATES = RoleRates(4_000.0, 0.5, 0.012, 0.0001, 1.3, 192)
"""Short steps and a large batch; prefill gets only the capacity that is left over."""

DEFAULT_ROLES: cabc.Mapping[Role, RoleRates] = {
    Role.MIXED: MIXED_RATES,
    Role.PREFILL: PREFILL_RATES,
    Role.DECODE: DECODE_RATES,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of an engine stand-in that don't change while it runs.

    :param roles: rates in each role.
    :param kv_capacity: size of the KV memory, in tokens; streams wait while it is
        full.
    :param cache_capacity: size of the prefix cache, in tokens; it is separate from
        the KV memory.
    :param shared_share: share of a prompt that its prefix key covers, if the prompt
        has no ``[prefix=N]``.
    :param transfer_rate: imported tokens of KV cache a second.
    :param change_seconds: duration of a role change, without loading models.
    :param load_lag: age of load reports, in seconds.
    :param cache_event_lag: seconds until a cache event can be read.
    :param cache_event_gap: every n-th cache event is lost; 0 to lose none.
    :param tokens_per_chunk: decode steps between the chunks of a running stream; a
        chunk is sent when its last token is complete.
    :param honours_fencing: whether an order is refused unless its fencing token is
        higher than the previous one.
    """

    roles: cabc.Mapping[Role, RoleRates] = dataclasses.field(
        default_factory=lambda: DEFAULT_ROLES
    )
    kv_capacity: int = 400_000
    cache_capacity: int = 200_000
    shared_share: float = 0.8
    transfer_rate: float = 200_000.0
    change_seconds: float = 8.0
    load_lag: float = 1.0
    cache_event_lag: float = 2.0
    cache_event_gap: int = 10
    tokens_per_chunk: int = 1
    honours_fencing: bool = True
