"""Connections to the platform for commands that don't run as daemons."""

from __future__ import annotations

import collections.abc as cabc
import contextlib

from ..adapters.http_calls import client_session
from ..adapters.key_value_http import HttpKeyValueService
from ..ports import KeyValueService
from ..settings import KeyValueSettings


@contextlib.asynccontextmanager
async def open_key_value(
    settings: KeyValueSettings,
) -> cabc.AsyncIterator[KeyValueService]:
    """Provide a client of the key-value service to an ``async with`` block."""
    async with client_session() as session:
        yield HttpKeyValueService(session, settings.key_value_url, "command")
