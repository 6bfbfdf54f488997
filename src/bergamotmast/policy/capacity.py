"""Capacity of a group of engines: the share of a demand it can serve with given roles.

Prefill engines process prompt tokens, decode engines output tokens, and mixed engines
divide their time between both. The share is the largest multiple of the demand that
fits, at most 1.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..model import Role
from .demand import Demand
from .interfaces import EngineView

TARGET_UTILISATION = 0.85
"""Share of the nominal rates that can be used before queues grow past deadlines."""

RATE_EWMA_WEIGHT = 0.2
"""Weight of one report in the moving average of a role's rates."""

_BISECTION_STEPS = 24
"""Halvings of the interval that contains the share."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRates:
    """Prefill and decode rate of one engine in one role, in tokens a second."""

    prefill: float
    decode: float


PRIOR_RATIOS: dict[Role, TokenRates] = {
    Role.MIXED: TokenRates(1.0, 1.0),
    Role.PREFILL: TokenRates(1.25, 0.1),
    Role.DECODE: TokenRates(0.1, 1.25),
}
"""Rates of each role relative to a mixed engine's, used until a report gives them."""


class RoleRates:
    """Moving average of the rates that a group's engines report, by role."""

    def __init__(self) -> None:
        self.known: dict[Role, TokenRates] = {}

    def observe(self, engines: cabc.Sequence[EngineView]) -> None:
        """Update the rates from engines whose reported role matches the planned one."""
        for engine in engines:
            report = engine.report
            if report is None or report.role is not engine.role or engine.changing:
                continue
            self._learn(
                engine.role, TokenRates(report.prefill_rate, report.decode_rate)
            )

    def _learn(self, role: Role, token_rates: TokenRates) -> None:
        old = self.known.get(role, token_rates)
        self.known[role] = TokenRates(
            old.prefill + RATE_EWMA_WEIGHT * (token_rates.prefill - old.prefill),
            old.decode + RATE_EWMA_WEIGHT * (token_rates.decode - old.decode),
        )

    def of(self, role: Role) -> TokenRates:
        """Return a role's rates; for an unseen role, scaled from another role's."""
        if role in self.known:
            return self.known[role]
        for other, token_rates in self.known.items():
            other_ratios, role_ratios = PRIOR_RATIOS[other], PRIOR_RATIOS[role]
            return TokenRates(
                token_rates.prefill * role_ratios.prefill / other_ratios.prefill,
                token_rates.decode * role_ratios.decode / other_ratios.decode,
            )
        return PRIOR_RATIOS[role]


def served_share(counts: dict[Role, int], rates: RoleRates, demand: Demand) -> float:
    """Return the share of a demand that engines in these roles can serve, 0 to 1."""
    low, high = 0.0, 1.0
    if _fits(1.0, counts, rates, demand):
        return 1.0
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2.0
        if _fits(middle, counts, rates, demand):
            low = middle
        else:
            high = middle
    return low


def _fits(
    share: float, counts: dict[Role, int], rates: RoleRates, demand: Demand
) -> bool:
    """Return whether the engines can serve this share of a demand.

    Mixed engines serve what is left by the engines in the other roles.
    """
    utilisation = TARGET_UTILISATION
    prefill = rates.of(Role.PREFILL).prefill * counts[Role.PREFILL] * utilisation
    decode = rates.of(Role.DECODE).decode * counts[Role.DECODE] * utilisation
    left_prefill = max(0.0, share * demand.prefill - prefill)
    left_decode = max(0.0, share * demand.decode - decode)
    mixed = rates.of(Role.MIXED)
    seconds = left_prefill / max(mixed.prefill, 1e-9)
    seconds += left_decode / max(mixed.decode, 1e-9)
    return seconds <= counts[Role.MIXED] * utilisation + 1e-9
