"""Which headers pass through an entry."""

from __future__ import annotations

import collections.abc as cabc
import logging
import re

from .ports import Headers
from .ports import Reply

logger = logging.getLogger(__name__)

OF_ONE_CONNECTION = frozenset(
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
"""Headers that concern one connection only, by RFC 9110, and the length of the body,
which each side of an entry writes anew."""

_UNWRITABLE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")
"""Control characters but the tab, and bytes that are no UTF-8 as they are read."""


def pass_on(items: cabc.Iterable[tuple[str, str]], connection: str = "") -> Headers:
    """Return the headers that are passed on.

    :param connection: value of the ``Connection`` header, which may name others.
    """
    named = {name.strip().lower() for name in connection.split(",")}
    left_out = OF_ONE_CONNECTION | named
    return tuple(item for item in items if item[0].lower() not in left_out)


def answer_headers(reply: Reply) -> Headers:
    """Return the headers of a reply that its caller gets.

    The HTTP library would silently leave out bytes that are no UTF-8, and refuses the
    whole answer for a control character; a header with either is left out, and the log
    says so.
    """
    passed = pass_on(reply.header_items(), reply.headers.get("Connection", ""))
    written = tuple(item for item in passed if is_writable(item[1]))
    if len(written) < len(passed):
        left_out = [name for name, value in passed if not is_writable(value)]
        logger.warning("headers are left out", extra={"headers": left_out})
    return written


def is_writable(value: str) -> bool:
    """Return whether a header's value is written as it was read."""
    return _UNWRITABLE.search(value) is None
