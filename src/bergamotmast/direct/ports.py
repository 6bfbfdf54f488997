"""What a direct entry needs of the outside, in its own words."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import dataclasses
import typing as t

from .model import CallTraits
from .model import Routing
from .model import Upstream

Headers: t.TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What the system itself says to an upstream with a request.

    :param upstream: name of the upstream that must answer, and no other.
    :param deadline: point on the local monotonic clock.
    :param priority: 0 is the most urgent; ``None`` leaves the upstream's default.
    :param prefill_only: read the prompt and export its KV cache, do not answer.
    :param kv_source: where an exported KV cache is, as :meth:`Dialect.kv_source` gave
        it; empty for none.
    :param fetch_from: address of an engine that keeps more of the prompt's beginning,
        to be fetched from there instead of read; empty for none.
    :param last_event: go on after this event; 0 for the beginning.
    :param weights: version of the weights that must answer; empty for any.
    """

    upstream: str
    deadline: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ""
    fetch_from: str = ""
    last_event: int = 0
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHint:
    """What an upstream says of its load with each answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTraits:
    """What an upstream's headers say of its reply.

    :param request_id: of the request it answers; empty where it does not say.
    :param signed: whether it carries the proof that an upstream made it.
    :param not_run: whether it promises that the request did not run.
    :param wrong_upstream: whether another upstream than the expected one answered.
    :param weights: version of the weights that answer; empty for unknown.
    """

    request_id: str
    signed: bool
    not_run: bool
    wrong_upstream: bool
    weights: str
    load: LoadHint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """An exported KV cache.

    :param handle: its name at the engine that made it.
    :param weights: version of the weights it was made with.
    """

    handle: str
    weights: str


class Dialect(t.Protocol):
    """How requests and replies say what a direct entry must know."""

    @property
    def ready_path(self) -> str:
        """Path at which the platform asks whether an entry is ready."""
        ...

    def request_id(self, headers: cabc.Mapping[str, str]) -> str:
        """Return the id of a caller's request; empty where it has none."""
        ...

    def read_call(self, headers: cabc.Mapping[str, str]) -> CallTraits:
        """Read a caller's headers.

        :raises RequestError: for a header that can't be understood.
        """
        ...

    def write_headers(self, headers: Headers, attempt: Attempt, now: float) -> Headers:
        """Return the headers of a request to an upstream.

        Callers' own copies of what is the system's to set are left out.
        """
        ...

    def read_reply(self, status: int, headers: cabc.Mapping[str, str]) -> ReplyTraits:
        """Read an upstream's status and headers."""
        ...

    def read_prefilled(self, body: bytes) -> Prefilled:
        """Read the reply to a request that only prefills.

        :raises ReplyLostError: if it can't be understood.
        """
        ...

    def kv_source(self, address: str, handle: str) -> str:
        """Return the name of an exported KV cache for other engines."""
        ...

    def release_target(self, handle: str) -> tuple[str, str]:
        """Return method and path that free an exported KV cache."""
        ...

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the headers of an answer that the entry makes itself."""
        ...


class Directory(t.Protocol):
    """How configuration and upstreams are laid down in the key-value service."""

    @property
    def config_key(self) -> str:
        """Key of the configuration."""
        ...

    @property
    def upstream_prefix(self) -> str:
        """Prefix of the keys under which upstreams register."""
        ...

    def decode_routing(self, value: bytes) -> Routing:
        """Read the configuration.

        :raises ConfigError: if it can't be understood.
        """
        ...

    def decode_upstream(self, key: str, value: bytes) -> Upstream:
        """Read an upstream's entry.

        :raises ConfigError: if it can't be understood; it names no upstream then.
        """
        ...


class Reply(t.Protocol):
    """An upstream's reply, as far as it has come."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> cabc.Mapping[str, str]:
        """Headers, by name without regard to case."""
        ...

    def header_items(self) -> Headers:
        """Return all headers in order, doubled ones too."""
        ...

    async def read(self) -> bytes:
        """Return the whole body.

        :raises ReplyLostError: if it does not come whole.
        """
        ...

    def chunks(self) -> cabc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ReplyLostError: if it ends before its end.
        """
        ...


class EngineCheck(t.Protocol):
    """Tells a dead engine from a busy one."""

    async def answers(self, engine: Upstream) -> bool:
        """Ask an engine for something that waits for no other work.

        Returns whether it has answered, within some tenths of a second.
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
        """Send a request once and give its reply; leaving early cancels it.

        :param fresh: use a connection that carried nothing before, so that a reset
            tells of this request and not of the connection's age.
        :raises NotReachedError: if nothing was sent.
        :raises ReplyLostError: for every other failure.
        """
        ...
