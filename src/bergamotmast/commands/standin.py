"""The ``standin`` command: runs a stand-in for an external system as a daemon."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import signal

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import SettingError
from ..setting_kinds import ADDRESS
from ..standins.run import StandInKind
from ..standins.run import StandInOptions
from ..standins.run import run_standin

KINDS = tuple(kind.value for kind in StandInKind)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments to a parser."""
    parser.add_argument("kind", choices=KINDS, help="external system to stand in for")
    parser.add_argument(
        "--listen-address",
        default="127.0.0.1:0",
        metavar="HOST:PORT",
        help="address to listen at; port 0 chooses a free port [127.0.0.1:0]",
    )
    parser.add_argument(
        "--options",
        default="{}",
        metavar="JSON",
        help="further options, as a JSON object",
    )
    parser.add_argument(
        "--history",
        type=pathlib.Path,
        metavar="FILE",
        help="append its records to a file, as JSON lines",
    )


def run(arguments: argparse.Namespace) -> int:
    """Serve until SIGTERM; the first line of the output is the stand-in's URL."""
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
        return decode_json(text, StandInOptions)
    except DecodingError as error:
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
