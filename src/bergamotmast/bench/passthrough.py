"""Minimal HTTP reverse proxy, the baseline for the overhead of an entry and a side.

It does the minimum that any process between a caller and an engine has to do with the
same HTTP library: it forwards each request's body unchanged and writes every part of
the response as it arrives. It has no routing, queueing, retries or deadlines.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal

import aiohttp
from aiohttp import web

from ..adapters.http_calls import client_session


class PassThrough:
    """Reverse proxy that forwards every POST to one upstream.

    :param url: base address of the upstream, without a path.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    def application(self) -> web.Application:
        """Return the web application to serve."""
        application = web.Application()
        application.router.add_post("/{path:.*}", self._forward)
        return application

    async def _forward(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {"Content-Type": request.headers.get("Content-Type", "")}
        async with self.session.post(
            self.url + request.path, data=body, headers=headers
        ) as upstream:
            response = web.StreamResponse(status=upstream.status)
            response.content_type = upstream.content_type
            await response.prepare(request)
            async for part in upstream.content.iter_any():
                await response.write(part)
            await response.write_eof()
            return response


async def _serve(url: str) -> None:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with client_session() as session:
        application = PassThrough(session, url).application()
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            print(f"http://{host}:{port}", flush=True)
            await asyncio.get_running_loop().create_future()
        finally:
            await runner.cleanup()


def main() -> None:
    """Serve until SIGTERM; print the base URL once the socket is open."""
    parser = argparse.ArgumentParser(prog="python -m bergamotmast.bench.passthrough")
    parser.add_argument("--upstream-url", required=True, metavar="URL")
    arguments = parser.parse_args()
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(_serve(arguments.upstream_url))


if __name__ == "__main__":
    main()
