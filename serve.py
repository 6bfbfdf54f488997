"""Starts the command from a checkout, where the package is not installed."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "src"))

from bergamotmast.cli import main  # noqa: E402

sys.exit(main())
