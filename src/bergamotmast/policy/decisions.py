"""Which decisions a direct entry takes, each of which can be switched off.

What a decision is worth on a fleet shows when the same load is played without it. An
operator can switch one off, too, where engines turn out to bear it badly.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Switches, all on by default.

    :param packing: long prompts go where long ones are, so that others stay free.
    :param fetching: an engine takes a prompt's beginning from one that keeps it.
    :param copies: a second copy of a prompt's beginning is made where that is worth it.
    :param urgent_load: waits are stretched by the more urgent prompts that come.
    :param size_priority: of one rank, short prompts are read before long ones.
    :param size_shares: large prompts go first while too few of them are served.
    :param short_answers_first: answers of a few tokens are begun before others.
    :param direct_reading: short prompts may be read by the engine that answers.
    :param zone_preference: engines in the entry's availability zone go first.
    :param refusal: a caller that would leave before its first event is told at once.
    :param learning: what engines take to read is learned from what reads take.
    :param slowness: engines are compared with what they were predicted to take.
    :param silence: a prompt is begun anew where its engine is silent for too long.
    :param load_hints: what upstreams say of their load counts.
    :param notices: entries tell each other which prompts they send where.
    :param leaving_alone: an engine that has failed gets nothing for a moment.
    :param ejection: a plain upstream that fails again and again is left out.
    :param role_changes: engines change their roles with the mix.
    """

    packing: bool = True
    fetching: bool = True
    copies: bool = True
    urgent_load: bool = True
    size_priority: bool = True
    size_shares: bool = True
    short_answers_first: bool = True
    direct_reading: bool = True
    zone_preference: bool = True
    refusal: bool = True
    learning: bool = True
    slowness: bool = True
    silence: bool = True
    load_hints: bool = True
    notices: bool = True
    leaving_alone: bool = True
    ejection: bool = True
    role_changes: bool = True

    @classmethod
    def without(cls, names: cabc.Iterable[str]) -> Decisions:
        """Return all decisions but some.

        :raises ValueError: for a name that is none.
        """
        off = set(names)
        if unknown := off - DECISION_NAMES:
            raise ValueError(f"no decision: {', '.join(sorted(unknown))}")
        return cls(**{name: name not in off for name in DECISION_NAMES})


DECISION_NAMES = frozenset(field.name for field in dataclasses.fields(Decisions))
"""What can be switched off."""

ALL = Decisions()
"""Every decision is taken."""
