"""The ``bench`` command: policies compared on traces, in virtual time."""

from __future__ import annotations

from ..bench.cli import add_arguments
from ..bench.cli import run

__all__ = ["add_arguments", "run"]
