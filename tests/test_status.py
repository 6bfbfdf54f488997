"""The ``status`` command with entries that run as processes."""

from __future__ import annotations

import asyncio
import json

from bergamotmast.cli import main
from bergamotmast.commands.status import table
from bergamotmast.entry.fleet_status import FleetStatus
from bergamotmast.entry.fleet_status import UpstreamStatus
from process_fleet import process_fleet

UPSTREAM = UpstreamStatus(
    name="engine-1",
    kind="engine",
    zone="north-a",
    labels={"pool": "models"},
    selectors=("models",),
    leaving=False,
    connected=True,
    readiness="ready",
    role="mixed",
    models=("archivist@3",),
    running=2,
    queued=1,
    max_streams=96,
    kv_free=0.75,
    plan="4.17",
    generation=9,
)


def test_the_table(snapshot):
    status = FleetStatus(entry="entry-1", generation=9, upstreams=(UPSTREAM,))
    assert table(status) == snapshot


async def test_status_shows_what_each_upstream_has_in_force(tmp_path, capsys):
    # The command asks two entries. Each engine shows its role, its models, the plan
    # that its side follows and the configuration that the side has in force.
    async with process_fleet(tmp_path, engines=2, services=1) as f:
        urls = [f.urls["entry-1"], f.urls["entry-2"]]
        command = ["status", "--admin-key", f.admin_key, "--json"]
        for url in urls:
            command += ["--url", url]
        async with asyncio.timeout(60):
            while True:
                assert await asyncio.to_thread(main, command) == 0
                found = json.loads(capsys.readouterr().out)
                engines = [
                    upstream
                    for status in found
                    for upstream in status["upstreams"]
                    if upstream["kind"] == "engine"
                ]
                if engines and all(upstream.get("plan") for upstream in engines):
                    break
                await asyncio.sleep(0.5)
    assert {status["entry"] for status in found} == {"entry-1", "entry-2"}
    assert {status["generation"] for status in found} == {1}
    assert {upstream["generation"] for upstream in engines} == {1}
    assert {upstream["role"] for upstream in engines} == {"mixed"}
    assert all(upstream["models"] == ["appraiser@1"] for upstream in engines)
