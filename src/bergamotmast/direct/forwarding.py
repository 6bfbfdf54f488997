"""Selection of the headers that an entry forwards."""

from __future__ import annotations

import collections.abc as cabc
import logging
import re

from .ports import Headers
from .ports import Reply

logger = logging.getLogger(__name__)

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and the length of the body, which is
written anew on each connection."""

_UNWRITABLE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")
"""Control characters except the tab, and surrogate escapes of invalid UTF-8."""


def end_to_end_headers(
    items: cabc.Iterable[tuple[str, str]], connection: str = ""
) -> Headers:
    """Return the headers to forward, without the hop-by-hop ones.

    :param connection: value of the ``Connection`` header, which may name more of them.
    """
    listed = {name.strip().lower() for name in connection.split(",")}
    dropped = HOP_BY_HOP_HEADERS | listed
    return tuple(item for item in items if item[0].lower() not in dropped)


def response_headers(reply: Reply) -> Headers:
    """Return the headers of a reply that are forwarded to the caller.

    When writing a header, the HTTP library silently drops bytes that are not valid
    UTF-8, and it rejects the whole response for a control character. A header with
    either is dropped, and a warning is logged.
    """
    forwarded = end_to_end_headers(
        reply.header_items(), reply.headers.get("Connection", "")
    )
    writable = tuple(item for item in forwarded if is_writable(item[1]))
    if len(writable) < len(forwarded):
        dropped = [name for name, value in forwarded if not is_writable(value)]
        logger.warning("headers are left out", extra={"headers": dropped})
    return writable


def is_writable(value: str) -> bool:
    """Return whether the HTTP library writes a header's value as it was read."""
    return _UNWRITABLE.search(value) is None


def only_value(headers: Headers, name: str) -> str:
    """Return the value of a header; empty if it is missing or comes several times."""
    lower = name.lower()
    values = [value for other, value in headers if other.lower() == lower]
    return values[0] if len(values) == 1 else ""
