"""Max-min fair shares of a group's capacity among tenants.

Load pattern: for seconds, tenants ask for more work than a group of upstreams can do.
A few of them send most of it, some with the largest prompts only, and callers that were
refused repeat at once.

Without it: upstreams refuse whatever arrives while they are full, so a tenant is served
in proportion to what it sends, and the burst of one costs all others their requests.

Tenants that ask for no more than the level are admitted entirely, and what they leave
is divided evenly among the others, each of which is admitted up to the level. Work is
measured in seconds of upstreams: requests would favour tenants with large prompts, and
tokens would count output and cached prompts wrongly. Repeated requests raise a tenant's
demand, so a smaller fraction of it is admitted, never more work.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math

from .decayed_rate import DecayedRate

DEMAND_SECONDS = 1.5
"""Time constant of a tenant's demand. A burst counts almost entirely after two of them,
and demand that has ended is forgotten as fast."""

UNUSED_SECONDS = 10.0
"""Time after its last request at which what is kept of a tenant is dropped."""

MIN_DEMAND = 1e-6
"""Demand, in upstream-seconds a second, below which a tenant counts as absent."""

GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one tenant, or of several that are counted together.

    :param work: upstream-seconds a second.
    :param weight: number of shares; the number of tenants if there are several.
    """

    work: float
    weight: float = 1.0


def fair_level(demands: cabc.Iterable[Demand], capacity: float) -> float:
    """Return the work per unit of weight up to which demand is admitted.

    :param capacity: upstream-seconds a second.
    :returns: infinity if the capacity is enough for all.
    """
    ascending = sorted(demands, key=lambda demand: demand.work / demand.weight)
    weight = sum(demand.weight for demand in ascending)
    for demand in ascending:
        level = max(0.0, capacity) / weight
        if demand.work > level * demand.weight:
            return level
        capacity -= demand.work
        weight -= demand.weight
    return math.inf


def admitted_fraction(demand: Demand, level: float) -> float:
    """Return the fraction of a demand that is admitted."""
    if demand.work <= level * demand.weight:
        return 1.0
    return level * demand.weight / demand.work


class TenantDemands:
    """Demand of each tenant at one entry.

    :param rates: work a second, by tenant.
    """

    def __init__(self) -> None:
        self.rates: dict[str, DecayedRate] = {}

    def add(self, tenant: str, work: float, now: float) -> None:
        """Record a request, whether it is admitted or not."""
        rate = self.rates.get(tenant)
        if rate is None:
            rate = self.rates[tenant] = DecayedRate(DEMAND_SECONDS)
        rate.add(work, now)

    def current(self, now: float) -> dict[str, float]:
        """Return the work a second of each tenant, and drop those without any."""
        work = {tenant: rate.rate(now) for tenant, rate in self.rates.items()}
        for tenant, rate in list(self.rates.items()):
            if now >= rate.at + UNUSED_SECONDS or work[tenant] < MIN_DEMAND:
                del self.rates[tenant], work[tenant]
        return work


class AdmissionRounding:
    """Which requests of one tenant are admitted, for a fraction of them.

    Each kind of request has a deficit of its own. With one deficit in work, small
    requests would use what large ones need; with one in requests, a regular sequence of
    kinds could get a single kind refused each time.

    :param deficits: requests of each kind that should have been admitted in addition;
        below one.
    :param begun: number of kinds that a deficit was begun for.
    """

    __slots__ = ("begun", "deficits")

    def __init__(self) -> None:
        self.deficits: dict[tuple[str, int], float] = {}
        self.begun = 0

    def admit(self, kind: tuple[str, int], fraction: float) -> bool:
        """Return whether to admit a request of a kind.

        :param kind: route and class of size.
        """
        deficit = self.deficits.get(kind)
        if deficit is None:
            # The first requests of all kinds would otherwise be all admitted or all
            # refused. The golden ratio spreads any number of them evenly.
            deficit = 1.0 - self.begun * GOLDEN_RATIO % 1.0
            self.begun += 1
        deficit += fraction
        admitted = deficit >= 1.0
        self.deficits[kind] = deficit - 1.0 if admitted else deficit
        return admitted


def size_kind(size: int) -> int:
    """Return the class of a prompt's size: its number of bits, 0 without a prompt."""
    return size.bit_length()
