"""Which headers pass through an entry."""

from __future__ import annotations

import collections.abc as cabc

from .ports import Headers
from .ports import Reply

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


def pass_on(items: cabc.Iterable[tuple[str, str]], connection: str = "") -> Headers:
    """Return the headers that are passed on.

    :param connection: value of the ``Connection`` header, which may name others.
    """
    named = {name.strip().lower() for name in connection.split(",")}
    left_out = OF_ONE_CONNECTION | named
    return tuple(item for item in items if item[0].lower() not in left_out)


def answer_headers(reply: Reply) -> Headers:
    """Return the headers of a reply that its caller gets."""
    return pass_on(reply.header_items(), reply.headers.get("Connection", ""))
