"""The ``direct`` command: an entry that reaches upstreams without sides."""

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
    """Give the parser a flag for each setting."""
    add_settings(parser, DirectEntrySettings)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry until SIGTERM."""
    settings = load_settings(DirectEntrySettings, arguments)
    configure_decision_logs(settings.log_level, settings.name)
    # Collections of the oldest generation would look through all modules each time and
    # stop the event loop for as long as a short request takes.
    gc.freeze()
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        runner.run(serve_direct(settings))
    # The interpreter would look through all objects once more at its end, which is the
    # longest part of the time between the last answer and the process's end.
    gc.freeze()
    return 0
