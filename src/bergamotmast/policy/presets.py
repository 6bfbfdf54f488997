"""Named policy sets: the default, its earlier versions and the baselines."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random
import typing as t

from ..model import Role
from .baselines import FifoSidePolicy
from .baselines import FixedShiftPolicy
from .baselines import GreedyShiftPolicy
from .baselines import LeastOutstandingEntryPolicy
from .baselines import RandomEntryPolicy
from .baselines import RoundRobinEntryPolicy
from .entry_policy import LoadAwareEntryPolicy
from .interfaces import EntryPolicy
from .interfaces import ShiftPolicy
from .interfaces import SidePolicy
from .shifting import PaybackShiftPolicy
from .side_policy import FairSidePolicy
from .side_policy import SideTuning

EntryFactory: t.TypeAlias = cabc.Callable[[random.Random, str], EntryPolicy]
SideFactory: t.TypeAlias = cabc.Callable[[], SidePolicy]
ShiftFactory: t.TypeAlias = cabc.Callable[[], ShiftPolicy]
RoleSplit: t.TypeAlias = cabc.Callable[[int], tuple[Role, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySet:
    """A complete set of policies.

    :param entry_policy: creates an entry's policy from a random source and a zone.
    :param side_policy: creates a side's policy.
    :param shift_policy: creates the planner's policy.
    :param first_roles: initial roles of a group, by its number of engines.
    """

    name: str
    entry_policy: EntryFactory
    side_policy: SideFactory
    shift_policy: ShiftFactory
    first_roles: RoleSplit


MIN_SPLIT_ENGINES = 3
"""Smallest group whose roles are split: in a smaller one, a single failure removes a
whole role."""


def all_mixed(engines: int) -> tuple[Role, ...]:
    """Give every engine the mixed role."""
    return (Role.MIXED,) * engines


def half_split(engines: int) -> tuple[Role, ...]:
    """Give half of the engines, rounded down, to prefill and the rest to decode."""
    prefill = engines // 2
    return (Role.PREFILL,) * prefill + (Role.DECODE,) * (engines - prefill)


def split_or_mixed(engines: int) -> tuple[Role, ...]:
    """Split a group in halves, or leave a small one mixed."""
    return all_mixed(engines) if engines < MIN_SPLIT_ENGINES else half_split(engines)


def _least_outstanding(rng: random.Random, zone: str) -> EntryPolicy:
    return LeastOutstandingEntryPolicy(rng)


def _round_robin(rng: random.Random, zone: str) -> EntryPolicy:
    return RoundRobinEntryPolicy(rng)


def _random(rng: random.Random, zone: str) -> EntryPolicy:
    return RandomEntryPolicy(rng)


def _side_1() -> SidePolicy:
    return FairSidePolicy(
        SideTuning(
            lower_priority_share=0.1,
            min_waited_share=0.0,
            reserved=(0.0, 0.0, 0.1),
            kv_reserved=None,
            uses_measured_rates=False,
            predicts_by_memory=False,
            window_by_priority=False,
            size_shares=False,
        )
    )


def _side_2() -> SidePolicy:
    return FairSidePolicy(
        SideTuning(kv_reserved=None, predicts_by_memory=False, size_shares=False)
    )


PRESETS: dict[str, PolicySet] = {
    p.name: p
    for p in (
        PolicySet(
            "default",
            LoadAwareEntryPolicy,
            FairSidePolicy,
            PaybackShiftPolicy,
            split_or_mixed,
        ),
        PolicySet(
            "default-1",
            LoadAwareEntryPolicy,
            _side_1,
            PaybackShiftPolicy,
            all_mixed,
        ),
        PolicySet(
            "default-2",
            LoadAwareEntryPolicy,
            _side_2,
            PaybackShiftPolicy,
            split_or_mixed,
        ),
        PolicySet(
            "static-split",
            _least_outstanding,
            FifoSidePolicy,
            FixedShiftPolicy,
            half_split,
        ),
        PolicySet(
            "round-robin", _round_robin, FifoSidePolicy, FixedShiftPolicy, all_mixed
        ),
        PolicySet("random", _random, FifoSidePolicy, FixedShiftPolicy, all_mixed),
        PolicySet(
            "least-outstanding",
            _least_outstanding,
            FifoSidePolicy,
            FixedShiftPolicy,
            all_mixed,
        ),
        PolicySet(
            "greedy-threshold",
            _least_outstanding,
            FifoSidePolicy,
            GreedyShiftPolicy,
            half_split,
        ),
    )
}

BASELINES = (
    "static-split",
    "round-robin",
    "random",
    "least-outstanding",
    "greedy-threshold",
)
"""Names of the presets that only serve for comparison."""


def preset(name: str) -> PolicySet:
    """Return a named policy set.

    :raises KeyError: if there is none of that name.
    """
    return PRESETS[name]
