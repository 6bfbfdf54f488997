"""Starts the command from a checkout, where the package is not installed."""

from __future__ import annotations

import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent

# Nothing here speaks TLS, but the HTTP library reads all certificates of the machine as
# it is imported: a tenth of a second, a sixth of the start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

if sys.argv[1:2] == ["direct"]:
    # A reload would end the process until it has a handler, and imports take a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(ROOT / "src"))

from bergamotmast.cli import main  # noqa: E402

sys.exit(main())
