"""Interfaces between a direct entry and the platform that it runs on."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import dataclasses
import math
import typing as t

from .model import CallTraits
from .model import Routing
from .model import Upstream

MIN_FINAL_STATUS = 200
"""Lower statuses are interim responses: a caller waits for another one."""

MAX_CONTROL_BODY_BYTES = 65_536
"""Maximum body of a reply that no caller receives; they hold a few fields."""

Headers: t.TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Parameters that the entry adds to one attempt of a request.

    :param upstream: name of the upstream that must handle the request, and no other.
    :param deadline: point on the local monotonic clock.
    :param tenant: name of the tenant that sent the request; empty for none.
    :param priority: 0 is the most urgent; ``None`` for the upstream's default.
    :param prefill_only: only prefill the prompt and export its KV cache.
    :param kv_source: address of an exported KV cache to import, as returned by
        :meth:`Dialect.kv_source`; empty for none.
    :param prefix_source: address of an engine with a longer prefix of the prompt in its
        cache, to transfer the prefix from; empty for none.
    :param last_event: number of the event to resume after; 0 to start.
    :param weights: required version of the weights; empty for any.
    """

    upstream: str
    deadline: float
    tenant: str
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ""
    prefix_source: str = ""
    last_event: int = 0
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHint:
    """An upstream's load as reported in a reply.

    :param slowness: how long work takes on its machine at this moment, relative to the
        usual; ``None`` if it isn't reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTraits:
    """Information from the headers of an upstream's reply.

    :param request_id: id of the request that it replies to; empty if missing.
    :param signed: whether it carries an upstream's signature.
    :param not_run: whether it confirms that the request was not run.
    :param wrong_upstream: whether another upstream than the expected one replied.
    :param weights: version of the weights in use; empty if unknown.
    :param load: reported load; ``None`` if missing.
    :param rate_limit: requests a second that the upstream takes from all entries
        together; infinity if it names no limit, ``None`` if its limit is invalid.
    :param leaving: whether the upstream says that it leaves.
    :param rest_seconds: for how many seconds the upstream wants no request from this
        entry, if it turns the request away; 0 if it doesn't say so.
    """

    request_id: str
    signed: bool
    not_run: bool
    wrong_upstream: bool
    weights: str
    load: LoadHint | None = None
    rate_limit: float | None = math.inf
    leaving: bool = False
    rest_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """Result of a prefill whose KV cache was exported.

    :param handle: handle of the KV cache at the prefill engine.
    :param weights: version of the weights that it was computed with.
    """

    handle: str
    weights: str


class Dialect(t.Protocol):
    """Translates between the platform's HTTP headers and the entry's data model."""

    @property
    def ready_path(self) -> str:
        """Path of the platform's readiness probe."""
        ...

    def request_id(self, headers: cabc.Mapping[str, str]) -> str:
        """Return the id of a caller's request; empty if it has none."""
        ...

    def api_key(self, headers: Headers) -> str:
        """Return the API key in a caller's headers; empty without exactly one."""
        ...

    def resumed_id(self, headers: Headers) -> str:
        """Return the id of the request that brought a resumed stream's first event.

        Empty if a caller's headers don't name exactly one.
        """
        ...

    def read_call(self, headers: cabc.Mapping[str, str]) -> CallTraits:
        """Parse the headers of a caller's request.

        :raises RequestError: if a header is invalid.
        """
        ...

    def write_headers(self, headers: Headers, attempt: Attempt, now: float) -> Headers:
        """Return the headers of a request to an upstream.

        Headers that only the system may set, and the API key, are removed from the
        caller's.
        """
        ...

    def read_reply(self, status: int, headers: cabc.Mapping[str, str]) -> ReplyTraits:
        """Parse the status and the headers of an upstream's reply."""
        ...

    def read_prefilled(self, body: bytes) -> Prefilled:
        """Parse the reply to a prefill-only request.

        :raises ReplyLostError: if it is invalid.
        """
        ...

    def kv_source(self, address: str, handle: str) -> str:
        """Return the address that other engines import an exported KV cache from."""
        ...

    def release_target(self, handle: str) -> tuple[str, str]:
        """Return the method and the path that release an exported KV cache."""
        ...

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the headers of a response that the entry generates itself."""
        ...


class Directory(t.Protocol):
    """Layout of configuration and registrations in the key-value store."""

    @property
    def config_key(self) -> str:
        """Key of the configuration."""
        ...

    @property
    def upstream_prefix(self) -> str:
        """Prefix of the keys under which upstreams register."""
        ...

    def decode_routing(self, value: bytes) -> Routing:
        """Decode the configuration.

        :raises ConfigError: if it is invalid.
        """
        ...

    def decode_upstream(self, key: str, value: bytes) -> Upstream:
        """Decode an upstream's registration.

        :raises ConfigError: if it is invalid.
        """
        ...


class Reply(t.Protocol):
    """An upstream's reply, whose body may still be arriving."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> cabc.Mapping[str, str]:
        """Headers; lookups ignore case."""
        ...

    def header_items(self) -> Headers:
        """Return all headers in order, including repeated names."""
        ...

    async def read(self, max_bytes: int | None = None) -> bytes:
        """Return the whole body.

        :param max_bytes: maximum size; ``None`` for that of an answer to a caller.
        :raises ReplyLostError: if the body is incomplete or too large.
        """
        ...

    def chunks(self) -> cabc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ReplyLostError: if the body is incomplete.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An upstream's complete response."""

    status: int
    headers: Headers
    body: bytes


class LivenessProbe(t.Protocol):
    """Liveness probe that distinguishes a dead engine from a busy one."""

    async def probe(self, engine: Upstream) -> bool:
        """Return whether an engine replies within some tenths of a second.

        The probe is a request that does not queue behind the engine's other work.
        """
        ...


class IncarnationProbe(t.Protocol):
    """Asks an engine which of its incarnations runs."""

    async def boot(self, engine: Upstream) -> str | None:
        """Return the boot of the process that answers for an engine.

        ``None`` if it doesn't answer within some tenths of a second, or doesn't tell.
        The engine is asked on a new connection; it answers as fast as to a liveness
        probe.
        """
        ...


class ConnectionProbe(t.Protocol):
    """Probe that distinguishes a crashed process from a lost connection."""

    async def is_refused(self, address: str) -> bool:
        """Return whether an address refuses connections, as no process listens there.

        ``False`` if a connection could be opened or the attempt was not answered.

        :param address: ``host:port``.
        """
        ...


class UpstreamClient(t.Protocol):
    """Sends requests to upstreams."""

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        fresh: bool,
    ) -> contextlib.AbstractAsyncContextManager[Reply]:
        """Send a request once and yield its reply; leaving the context cancels it.

        :param fresh: use a new connection, so that a reset can't come from the idle
            timeout of a reused one.
        :raises NotReachedError: if nothing was sent.
        :raises ConnectionLostError: if the connection ended before the reply did.
        :raises ReplyLostError: for every other failure.
        """
        ...
