from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random

import pytest

from bergamotmast.adapters.http_calls import client_session
from bergamotmast.adapters.key_value_http import HttpKeyValueService
from bergamotmast.cli import build_parser
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.config.watch import ConfigWatcher
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.history import NullHistory
from bergamotmast.standins.http_common import serving
from bergamotmast.standins.key_value import KeyValueStandIn
from bergamotmast.standins.key_value_frontend import KeyValueFrontend

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/trindade/config.yaml"

MAX_DELIVERY_SECONDS = 18.0


async def run(*words: str) -> None:
    argv = ["config", *words]
    arguments = build_parser(argv).parse_args(argv)
    assert await arguments.action(arguments) == 0


@contextlib.asynccontextmanager
async def watching(url: str, name: str):
    async with client_session() as session:
        holder = ConfigHolder(name, NullHistory())
        kv = HttpKeyValueService(session, url, name)
        watcher = asyncio.create_task(
            ConfigWatcher(kv, holder, random.Random(name)).run()
        )
        yield holder
        watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watcher


async def test_edits_over_real_sockets_are_in_force_within_seconds(monkeypatch, capsys):
    # An operator applies a file and drains an engine with the command; the service
    # stops, restarts at the same address, and is edited again. Each edit must be in
    # force within seconds.
    standin = KeyValueStandIn()
    server = serving(KeyValueFrontend(standin).application())
    url = await server.__aenter__()
    monkeypatch.setenv("BERGAMOTMAST_KEY_VALUE_URL", url)
    async with watching(url, "entry-1") as holder:
        async with asyncio.timeout(MAX_DELIVERY_SECONDS):
            await run("apply", str(EXAMPLE))
            await holder.wait_for_newer(0)
            await run("label", "engine-3", "state=draining")
            await holder.wait_for_newer(1)
        await server.__aexit__(None, None, None)
        with pytest.raises(KeyValueUnavailableError):
            await run("label", "engine-3", "state=active")
        port = int(url.rpartition(":")[2])
        async with serving(KeyValueFrontend(standin).application(), port=port):
            async with asyncio.timeout(MAX_DELIVERY_SECONDS):
                await run("label", "engine-3", "state=active")
                await holder.wait_for_newer(2)
            capsys.readouterr()
            await run("show")
    assert capsys.readouterr().out.startswith("generation: 3\n")
