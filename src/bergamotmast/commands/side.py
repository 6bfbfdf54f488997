"""The ``side`` command: runs the side process of one upstream."""

from __future__ import annotations

import argparse
import asyncio

from ..daemons import serve_side
from ..logs import configure_logs
from ..settings import SideSettings
from ..settings import add_settings
from ..settings import load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add a flag for each setting to a parser."""
    add_settings(parser, SideSettings)


def run(arguments: argparse.Namespace) -> int:
    """Run a side until SIGTERM."""
    settings = load_settings(SideSettings, arguments)
    configure_logs(settings.log_format, settings.log_level, settings.name)
    asyncio.run(serve_side(settings))
    return 0
