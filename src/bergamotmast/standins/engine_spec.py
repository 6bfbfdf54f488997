"""How fast an engine stand-in is, in each role.

The default figures are plausible for one replica of a large model on eight
accelerators; none was measured on hardware. With them a mixed engine prefills
14,000 tokens a second, and decodes 96 streams in steps of 29 ms, 3,300 tokens a
second; each of the other roles gives up one of the two for more of the other.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..model import Role


@dataclasses.dataclass(frozen=True, slots=True)
class RoleRates:
    """Speed of an engine in one role.

    :param prefill_rate: prompt tokens a second while nothing is decoded.
    :param prefill_share: what is left of that rate while streams are decoded.
    :param step_base: seconds of a decode step of an empty batch.
    :param step_per_stream: seconds each stream adds to a step.
    :param interference: how many times longer a step takes while prefill runs.
    :param max_streams: most streams admitted at once, in prefill or decode.
    """

    prefill_rate: float
    prefill_share: float
    step_base: float
    step_per_stream: float
    interference: float
    max_streams: int

    def step_seconds(self, streams: int, prefilling: bool) -> float:
        """Return how long a decode step of so many streams takes."""
        seconds = self.step_base + self.step_per_stream * streams
        return seconds * self.interference if prefilling else seconds

    @property
    def decode_rate(self) -> float:
        """Output tokens a second with a full batch and no prefill."""
        return self.max_streams / self.step_seconds(self.max_streams, False)


MIXED_RATES = RoleRates(14_000.0, 0.7, 0.015, 0.00015, 2.0, 96)
"""Chunked prefill shares each step with the batch, at the cost of both."""

PREFILL_RATES = RoleRates(22_000.0, 0.9, 0.02, 0.0005, 4.0, 16)
"""Steps are large and prefill comes first; the few streams decoded crawl."""

DECODE_RATES = RoleRates(4_000.0, 0.5, 0.012, 0.0001, 1.3, 192)
"""Short steps and a deep batch; prefill gets only what steps leave over."""

DEFAULT_ROLES: cabc.Mapping[Role, RoleRates] = {
    Role.MIXED: MIXED_RATES,
    Role.PREFILL: PREFILL_RATES,
    Role.DECODE: DECODE_RATES,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Everything about an engine stand-in that does not change while it runs.

    :param roles: its speed in each role.
    :param kv_capacity: tokens of KV memory; streams wait while it is full.
    :param cache_capacity: tokens of the prefix cache, beside the KV memory.
    :param shared_share: share of a prompt that its prefix key stands for, where the
        prompt has no ``[prefix=N]``.
    :param transfer_rate: tokens of KV cache imported a second.
    :param change_seconds: how long a role change takes, without loading anything.
    :param load_lag: seconds that load reports are old.
    :param cache_event_lag: seconds until a cache event can be read.
    :param cache_event_gap: each so manyth cache event is lost; 0 for none.
    :param tokens_per_chunk: decode steps between the chunks of a running stream; a
        chunk leaves at the time of its last token.
    :param honours_fencing: whether an order needs a higher token than the last.
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
