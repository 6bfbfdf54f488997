"""Measures what a request costs at the entry for its tenant: key lookup and usage.

Usage: ``PYTHONPATH=src python bench/tenant_costs.py``.
"""

from __future__ import annotations

import random
import statistics
import time

from bergamotmast.direct.tenants import TenantIndex
from bergamotmast.direct.tenants import TenantSpec
from bergamotmast.direct.unix_clock import UnixClock
from bergamotmast.direct.usage_exchange import UsageExchange
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.usage_ledger import Source
from bergamotmast.policy.usage_ledger import UsageLedger

REQUESTS = 20_000
ROUNDS = 9
OTHER_HEADERS = tuple((f"X-Header-{number}", "value") for number in range(12))


def microseconds_per_request(tenants: int) -> float:
    """Return the median cost of a request, in microseconds."""
    rng = random.Random(1)
    keys = [[f"key-{n}-{k}-of-20-bytes" for k in range(2)] for n in range(tenants)]
    specs = [TenantSpec(f"tenant-{n}", tuple(held)) for n, held in enumerate(keys)]
    index = TenantIndex(specs)
    dialect = PlatformDialect()
    clock = UnixClock(time.monotonic, time.time)
    ledger = UsageLedger(5.0)
    exchange = UsageExchange(Source("entry", 1), ledger, clock, dict, lambda *_: None)
    requests = [
        (*OTHER_HEADERS, ("X-Api-Key", rng.choice(rng.choice(keys))))
        for _ in range(REQUESTS)
    ]
    costs = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for headers in requests:
            tenant = index.find(dialect.api_key(headers))
            assert tenant is not None
            exchange.on_begun(tenant.name, time.monotonic())
        costs.append((time.perf_counter() - began) / REQUESTS * 1e6)
    return statistics.median(costs)


if __name__ == "__main__":
    for tenants in (72, 1_000):
        cost = microseconds_per_request(tenants)
        print(f"{tenants} tenants: {cost:.2f} microseconds a request")
