"""Bodies of completions and chat completions, as callers send and expect them."""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from ..errors import RequestError
from ..errors import ResultCode

PREFIX_CHARACTERS = 512
"""Length of the head of a prompt by which engines' prefix caches are told apart."""

DEFAULT_MAX_TOKENS = 1024


class CompletionBody(msgspec.Struct, frozen=True):
    """What ``/v1/completions`` takes; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: t.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """What ``/v1/chat/completions`` takes; unknown fields are ignored."""

    model: str
    messages: t.Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: t.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


_COMPLETION = msgspec.json.Decoder(CompletionBody)
_CHAT = msgspec.json.Decoder(ChatBody)


def read_completion(body: bytes) -> CompletionBody:
    """Decode the body of a completion.

    :raises RequestError: ``MALFORMED_BODY``, naming the field.
    """
    try:
        return _COMPLETION.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RequestError(ResultCode.MALFORMED_BODY, str(error)) from error


def read_chat(body: bytes) -> CompletionBody:
    """Decode the body of a chat completion into the one prompt an engine takes.

    :raises RequestError: ``MALFORMED_BODY``, naming the field.
    """
    try:
        chat = _CHAT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RequestError(ResultCode.MALFORMED_BODY, str(error)) from error
    lines = [f"{message.role}: {message.content}" for message in chat.messages]
    prompt = "\n".join([*lines, "assistant:"])
    return CompletionBody(chat.model, prompt, chat.max_tokens, chat.stream)


def estimate_tokens(prompt: str) -> int:
    """Estimate a prompt's length in tokens from its words."""
    return max(1, len(prompt.split()))


def prefix_key(prompt: str) -> str:
    """Return the key of a prompt's shareable head; empty if it is too short."""
    if len(prompt) < PREFIX_CHARACTERS:
        return ""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


class ResponseFormat(t.Protocol):
    """How one of the two interfaces words its answers."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a whole answer."""
        ...

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return one event of a streamed answer."""
        ...


class CompletionFormat:
    """Answers of ``/v1/completions``."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a whole answer."""
        choice = {"index": 0, "text": text, "finish_reason": finish or None}
        return _body(request_id, "text_completion", model, choice)

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return one event of a streamed answer."""
        return self.full_body(request_id, model, text, finish)


class ChatFormat:
    """Answers of ``/v1/chat/completions``."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a whole answer."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish or None}
        return _body(request_id, "chat.completion", model, choice)

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return one event of a streamed answer."""
        delta = {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": finish or None}
        return _body(request_id, "chat.completion.chunk", model, choice)


def _body(
    request_id: str, kind: str, model: str, choice: dict[str, t.Any]
) -> dict[str, t.Any]:
    return {"id": request_id, "object": kind, "model": model, "choices": [choice]}
