"""The ``direct`` command: runs an entry that connects to upstreams without sides."""

from __future__ import annotations

import argparse
import asyncio
import gc

from ..clocks import BootTimeEventLoop
from ..direct_daemon import serve_direct
from ..logs import configure_decision_logs
from ..settings import DirectEntrySettings
from ..settings import add_settings
from ..settings import load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add a flag for each setting to a parser."""
    add_settings(parser, DirectEntrySettings)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry until SIGTERM."""
    settings = load_settings(DirectEntrySettings, arguments)
    configure_decision_logs(settings.log_level, settings.name)
    # Otherwise each garbage collection of the oldest generation would traverse all
    # modules and block the event loop for as long as a short request takes.
    gc.freeze()
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        runner.run(serve_direct(settings))
    # Otherwise the interpreter would traverse all objects once more at exit, which
    # takes most of the time between the last response and the end of the process.
    gc.freeze()
    return 0
