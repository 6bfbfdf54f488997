"""Starts the command from a checkout, where the package is not installed."""

from __future__ import annotations

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent

# The build has compiled the package there; a start without it takes half again as long,
# and after a fault that killed all entries nobody is served meanwhile.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path.insert(0, str(ROOT / "src"))

from bergamotmast.cli import main  # noqa: E402

sys.exit(main())
