"""The ``standin`` command: a stand-in of something outside as a daemon."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import signal

import msgspec

from ..errors import SettingError
from ..setting_kinds import ADDRESS
from ..standins.run import StandInKind
from ..standins.run import StandInOptions
from ..standins.run import run_standin

KINDS = tuple(kind.value for kind in StandInKind)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Give the parser its arguments."""
    parser.add_argument("kind", choices=KINDS, help="what it stands in for")
    parser.add_argument(
        "--listen-address",
        default="127.0.0.1:0",
        metavar="HOST:PORT",
        help="where it listens; port 0 takes a free one [127.0.0.1:0]",
    )
    parser.add_argument(
        "--options",
        default="{}",
        metavar="JSON",
        help="what it needs besides, as one JSON object",
    )
    parser.add_argument(
        "--history",
        type=pathlib.Path,
        metavar="FILE",
        help="append what it saw to a file of JSON lines",
    )


def run(arguments: argparse.Namespace) -> int:
    """Serve until SIGTERM; the first line printed is its address."""
    host, port = _address(arguments.listen_address)
    serving = _serve(arguments, host, port, _options(arguments.options))
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(serving)
    return 0


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if port != "0":
        try:
            ADDRESS.parse(text)
        except ValueError as error:
            raise SettingError("--listen-address", text, ADDRESS.allowed) from error
    return host.strip("[]"), int(port)


def _options(text: str) -> StandInOptions:
    try:
        return msgspec.json.decode(text, type=StandInOptions)
    except msgspec.MsgspecError as error:
        raise SettingError("--options", text, f"a JSON object: {error}") from error


async def _serve(
    arguments: argparse.Namespace, host: str, port: int, options: StandInOptions
) -> None:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await run_standin(
        StandInKind(arguments.kind),
        host,
        port,
        options,
        arguments.history,
        lambda url: print(url, flush=True),
    )
