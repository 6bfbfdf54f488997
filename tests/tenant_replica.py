"""A replica that records the tenant of each request and whether it saw a key.

Run as ``python tenant_replica.py PORT IDLE_SECONDS RECORD_FILE``.
"""

from __future__ import annotations

import asyncio
import os
import sys

from platform_standin import Received
from series_replica import SeriesReplica
from series_replica import serve_until_sigterm

KEY_MARK = "secret"
"""Part of every key that callers send."""


class TenantReplica(SeriesReplica):
    """Records ``ID|TENANT|LEAKED`` for each request."""

    def describe(self, received: Received) -> str:
        values = [value for _, value in received.raw_headers]
        leaked = any(KEY_MARK in text for text in (received.target, *values))
        tenant = received.headers.get("x-tenant", "")
        return f"{received.request_id}|{tenant}|{int(leaked)}"


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    replica = TenantReplica(float(sys.argv[2]), record_file)
    asyncio.run(serve_until_sigterm(replica, int(sys.argv[1])))
