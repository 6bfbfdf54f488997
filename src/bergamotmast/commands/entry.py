"""The ``entry`` command: runs an entry that sends callers' requests to sides."""

from __future__ import annotations

import argparse
import asyncio

from ..daemons import serve_entry
from ..logs import configure_logs
from ..settings import EntrySettings
from ..settings import add_settings
from ..settings import load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add a flag for each setting to a parser."""
    add_settings(parser, EntrySettings)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry until SIGTERM."""
    settings = load_settings(EntrySettings, arguments)
    configure_logs(settings.log_format, settings.log_level, settings.name)
    asyncio.run(serve_entry(settings))
    return 0
