"""Decisions of a direct entry that an operator can switch off one by one.

Replaying a load with one decision switched off shows what it contributes. Operators can
also switch off a decision that does harm with their engines.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Switches of the decisions, all on by default.

    :param packing: place long prompts together, so that other engines stay free of
        them.
    :param fetching: transfer a cached prefix from another engine instead of prefilling
        it.
    :param copies: charge the cost of a second prefix replica when an engine is chosen.
    :param urgent_load: extend predicted queueing delays by more urgent prompts to come.
    :param size_priority: prefill short prompts before long ones of the same rank.
    :param size_shares: prefill large prompts first while too few of them are served.
    :param short_answers_first: start answers of a few tokens before others.
    :param direct_reading: let decode engines prefill short prompts themselves.
    :param zone_preference: prefer engines in the entry's availability zone.
    :param refusal: refuse a request at once if its caller would leave before the first
        event.
    :param learning: learn prefill times from finished prefills.
    :param slowness: track the ratio of each engine's actual to predicted time.
    :param silence: restart a prompt elsewhere if its engine sends no reply within the
        timeout.
    :param load_hints: use the load that upstreams report in their replies.
    :param notices: exchange notices of prefills between entries.
    :param leaving_alone: give an engine that has just failed no work during a
        cool-down.
    :param ejection: eject a plain upstream after consecutive failures.
    :param role_changes: change the roles of engines as the mix changes.
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
        """Return all decisions except the named ones.

        :raises ValueError: if a name is not that of a decision.
        """
        off = set(names)
        if unknown := off - DECISION_NAMES:
            raise ValueError(f"unknown decision: {', '.join(sorted(unknown))}")
        return cls(**{name: name not in off for name in DECISION_NAMES})


DECISION_NAMES = frozenset(field.name for field in dataclasses.fields(Decisions))
"""Names of the decisions that can be switched off."""

ALL_DECISIONS = Decisions()
"""All decisions switched on."""
