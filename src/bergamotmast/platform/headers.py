"""Encoding of requests and decoding of replies in the platform's HTTP dialect."""

from __future__ import annotations

import collections.abc as cabc
import re

import msgspec

from ..adapters.json_bodies import decode_body
from ..direct.forwarding import only_value
from ..direct.header_values import agreed_value
from ..direct.header_values import all_values
from ..direct.header_values import count
from ..direct.header_values import count_pair
from ..direct.header_values import highest_number
from ..direct.header_values import load_hint
from ..direct.header_values import lowest_number
from ..direct.header_values import milliseconds
from ..direct.header_values import prompt_parts
from ..direct.model import CallTraits
from ..direct.ports import Attempt
from ..direct.ports import Headers
from ..direct.ports import Prefilled
from ..direct.ports import ReplyTraits
from ..errors import ReplyLostError

REQUEST_ID = "X-Request-Id"
TIME_LEFT = "X-Deadline-Ms"
"""Milliseconds left until the deadline: a duration, not a point in time."""
EXPECTED_UPSTREAM = "X-Expect-Instance"
EXPECTED_WEIGHTS = "X-Expect-Version"
PRIORITY = "X-Request-Priority"
STAGE = "X-Stage"
KV_SOURCE = "X-Kv-Source"
PREFIX_SOURCE = "Kv-Fetch"
LAST_EVENT = "Last-Event-Id"
RESUMED = "Resumes"
"""Id of the request that brought the first event of the stream to resume."""
PROMPT_PARTS = "X-Prompt-Prefix"
TOKENS = "X-Token-Count"
"""Prompt tokens and maximum output tokens, separated by a comma."""
LENGTH_ESTIMATE = "X-Length-Hint"
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
WEIGHTS = "X-Weight-Versions"
LOAD = "X-Server-Load"
RATE_LIMIT = "Server-Limit"
"""Requests a second that a replica takes from all machines together."""
LEAVING = "Server-Leaving"
REST = "Retry-After"
API_KEY = "X-Api-Key"
TENANT = "X-Tenant"

SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        TIME_LEFT,
        EXPECTED_UPSTREAM,
        EXPECTED_WEIGHTS,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        "X-Kv-Hold",
        "X-Kv-Backup",
        "X-Pin-Ms",
        PREFIX_SOURCE,
        TENANT,
    )
)
"""A caller could use these to read another's KV cache, to raise its priority, or to
appear as another tenant."""

NOT_FORWARDED = SET_BY_SYSTEM | {API_KEY.lower()}
"""Headers of callers that no upstream receives."""


WRONG_UPSTREAM_STATUS = 421

_ENCODING = "Content-Encoding"
"""Never requested, so that a body with an encoding is not the upstream's own."""

_HANDLE = re.compile(r"[0-9A-Za-z._~:-]{1,200}")
"""A handle is sent in a header and in a path, so delimiters of both are excluded."""


class _PrefilledBody(msgspec.Struct, frozen=True):
    transfer_handle: str = msgspec.field(name="transfer-handle")
    version: int = 0


class PlatformDialect:
    """Implements :class:`~bergamotmast.direct.ports.Dialect`."""

    ready_path = "/readiness"

    def request_id(self, headers: cabc.Mapping[str, str]) -> str:
        """Return the id of a caller's request; empty if it has none."""
        return headers.get(REQUEST_ID, "")

    def api_key(self, headers: Headers) -> str:
        """Return the API key in a caller's headers; empty without exactly one."""
        return only_value(headers, API_KEY)

    def resumed_id(self, headers: Headers) -> str:
        """Return the id of a resumed stream's first request; empty without just one."""
        return only_value(headers, RESUMED)

    def read_call(self, headers: cabc.Mapping[str, str]) -> CallTraits:
        """Parse a caller's headers."""
        prompt_tokens, max_tokens = count_pair(headers.get(TOKENS, ""))
        time_left = headers.get(TIME_LEFT)
        return CallTraits(
            request_id=self.request_id(headers),
            time_left=None
            if time_left is None
            else milliseconds(TIME_LEFT, time_left) / 1e3,
            last_event=count(headers.get(LAST_EVENT, "")),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            expected_tokens=count(headers.get(LENGTH_ESTIMATE, "")),
            parts=prompt_parts(headers.get(PROMPT_PARTS, "")),
        )

    def write_headers(self, headers: Headers, attempt: Attempt, now: float) -> Headers:
        """Return the headers of a request to an upstream."""
        dropped = NOT_FORWARDED | {LAST_EVENT.lower()}
        written = [item for item in headers if item[0].lower() not in dropped]
        milliseconds = max(1, int((attempt.deadline - now) * 1e3))
        written.append((TIME_LEFT, str(milliseconds)))
        written.append((EXPECTED_UPSTREAM, attempt.upstream))
        if attempt.tenant:
            written.append((TENANT, attempt.tenant))
        if attempt.priority is not None:
            written.append((PRIORITY, str(attempt.priority)))
        if attempt.prefill_only:
            written.append((STAGE, "prefill"))
        if attempt.kv_source:
            written.append((KV_SOURCE, attempt.kv_source))
        if attempt.prefix_source:
            written.append((PREFIX_SOURCE, attempt.prefix_source))
        if attempt.last_event:
            written.append((LAST_EVENT, str(attempt.last_event)))
        if attempt.weights:
            written.append((EXPECTED_WEIGHTS, attempt.weights))
        return tuple(written)

    def read_reply(self, status: int, headers: cabc.Mapping[str, str]) -> ReplyTraits:
        """Parse an upstream's status and headers."""
        wrong_upstream = status == WRONG_UPSTREAM_STATUS
        return ReplyTraits(
            request_id=agreed_value(headers, REQUEST_ID),
            signed=_is_signed(headers),
            not_run=wrong_upstream or NOT_RUN in headers,
            wrong_upstream=wrong_upstream,
            weights=headers.get(WEIGHTS, ""),
            load=load_hint(headers.get(LOAD, "")),
            rate_limit=lowest_number(headers, RATE_LIMIT),
            leaving="1" in all_values(headers, LEAVING),
            rest_seconds=highest_number(headers, REST),
        )

    def read_prefilled(self, body: bytes) -> Prefilled:
        """Decode the reply to a prefill-only request."""
        data = decode_body(body, _PrefilledBody, ReplyLostError, "the prefill reply")
        if not _HANDLE.fullmatch(data.transfer_handle):
            raise ReplyLostError(f"invalid transfer handle {data.transfer_handle!r}")
        return Prefilled(data.transfer_handle, str(data.version))

    def kv_source(self, address: str, handle: str) -> str:
        """Return the reference by which other engines import an exported KV cache."""
        return f"{address}/{handle}"

    def release_target(self, handle: str) -> tuple[str, str]:
        """Return the method and path that free an exported KV cache."""
        return "DELETE", f"/kv-handle/{handle}"

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the headers of a response that the entry generates itself."""
        return ((REQUEST_ID, request_id),) if request_id else ()


def _is_signed(headers: cabc.Mapping[str, str]) -> bool:
    signature = agreed_value(headers, SIGNATURE)
    # A signature that is not ASCII was corrupted on the way and can't be forwarded.
    return signature.isascii() and signature != "" and _ENCODING not in headers
