"""Entry point of ``python -m bergamotmast.faults --seeds A-B``."""

from __future__ import annotations

import argparse
import sys

from .cli import add_arguments
from .cli import run

if __name__ == "__main__":
    _parser = argparse.ArgumentParser(prog="bergamotmast faults")
    add_arguments(_parser)
    sys.exit(run(_parser.parse_args()))
