"""The ``load`` command against an entry over real HTTP."""

from __future__ import annotations

import asyncio
import hashlib
import json

import aiohttp
from aiohttp.test_utils import TestServer

from bergamotmast.bench.trace import TraceRequest
from bergamotmast.bench.trace import write_trace
from bergamotmast.cli import main
from bergamotmast.config.document import Tenant
from bergamotmast.config.document import encode_configuration
from bergamotmast.entry.http import EntryHttp
from bergamotmast.history import read_history
from support import MODEL
from support import configuration
from support import fleet


async def test_a_trace_is_replayed_and_summarized(tmp_path, capsys):
    # Six requests in half a second: five for a known model, one for an unknown one. The
    # command reports five complete responses and the result code of the sixth.
    requests = [
        TraceRequest(at=n / 10, model=MODEL, output_tokens=3, deadline=20.0)
        for n in range(5)
    ]
    trace = tmp_path / "trace.jsonl"
    write_trace(trace, [*requests, TraceRequest(at=0.5, model="unknown")])
    history = tmp_path / "history.jsonl"
    async with fleet(engines=2) as f:
        server = TestServer(EntryHttp(f.entries["entry-1"]).application())
        await server.start_server()
        command = ["load", "--url", str(server.make_url("")), "--trace", str(trace)]
        command += ["--json", "--history", str(history)]
        assert await asyncio.to_thread(main, command) == 0
        await server.close()
    found = json.loads(capsys.readouterr().out)
    assert found["codes"] == {"0": 5, "103": 1}
    assert found["whole_by_deadline"] == 5
    assert found["first_token_p50"] > 0
    assert found["served_by_size"] == {}
    assert len(read_history(history)) == 12


async def test_a_tenant_with_keys_is_identified_by_its_key():
    # A tenant with keys is authenticated by its key, whatever the X-Tenant header says,
    # and rejected without it.
    digest = hashlib.sha256(b"secret").hexdigest()
    document = configuration(2, tenants={"notaries": Tenant(keys=(digest,))})
    async with fleet(engines=1) as f:
        f.holders["entry-1"].offer(encode_configuration(document))
        calls = []
        policy = f.entries["entry-1"].policy
        policy.on_admitted = lambda call, now: calls.append(call.tenant)
        server = TestServer(EntryHttp(f.entries["entry-1"]).application())
        await server.start_server()
        body = {"model": MODEL, "prompt": "a", "max_tokens": 1}
        async with aiohttp.ClientSession(server.make_url("/")) as session:
            for headers, status in (
                ({"Authorization": "Bearer secret", "X-Tenant": "other"}, 200),
                ({"X-Tenant": "notaries"}, 401),
                ({"X-Tenant": "hospitals"}, 200),
            ):
                path = "/v1/completions"
                async with session.post(path, json=body, headers=headers) as response:
                    assert response.status == status
        await server.close()
    assert calls == ["notaries", "hospitals"]
