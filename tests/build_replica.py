"""An engine as a process, which rejects requests for another one and tells its start.

Run as ``python build_replica.py PORT IDLE_SECONDS RECORD_FILE NAME BUILD SILENT_SHARE
BORN``. Its record is that of ``move_replica.py``.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys

from move_replica import MoveReplica
from platform_standin import Received
from platform_standin import head
from platform_standin import not_run
from series_replica import serve_until_sigterm


class BuildReplica(MoveReplica):
    """Engine that checks for which engine a request is, and answers questions.

    :param born: start of the process, in milliseconds of the wall clock.
    """

    born = 0

    async def _answer(self, received: Received, writer: asyncio.StreamWriter) -> None:
        name = self.engine.name
        if received.headers.get("x-expect-instance", name) != name:
            await not_run(421)(self.engine, received, writer)
        elif received.target == "/report":
            report = {"sequence": 0, "busy": False, "born": self.born}
            body = json.dumps(report).encode()
            writer.write(head(200, "", f"Content-Length: {len(body)}") + body)
        else:
            await super()._answer(received, writer)


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    idle, (name, build, share, born) = float(sys.argv[2]), sys.argv[4:]
    replica = BuildReplica(idle, record_file, name, build, float(share))
    replica.born = int(born)
    asyncio.run(serve_until_sigterm(replica, int(sys.argv[1])))
