"""Request and response bodies of the OpenAI-style completion endpoints."""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..errors import RequestError
from ..errors import ResultCode

PREFIX_CHARACTERS = 512
"""Characters at the start of a prompt that form its prefix-cache key."""

DEFAULT_MAX_TOKENS = 1024
"""Limit on the output tokens of a request that sets none."""


class CompletionBody(msgspec.Struct, frozen=True):
    """Request body of ``/v1/completions``; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: t.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Request body of ``/v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: t.Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: t.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


_COMPLETION = JsonDecoder[CompletionBody](CompletionBody)
_CHAT = JsonDecoder[ChatBody](ChatBody)


def read_completion(body: bytes) -> CompletionBody:
    """Decode the body of a completion request.

    :raises RequestError: ``MALFORMED_BODY``, naming the field.
    """
    try:
        return _COMPLETION.decode(body)
    except DecodingError as error:
        raise RequestError(ResultCode.MALFORMED_BODY, str(error)) from error


def read_chat(body: bytes) -> CompletionBody:
    """Decode the body of a chat completion request and join its messages to one prompt.

    :raises RequestError: ``MALFORMED_BODY``, naming the field.
    """
    try:
        chat = _CHAT.decode(body)
    except DecodingError as error:
        raise RequestError(ResultCode.MALFORMED_BODY, str(error)) from error
    lines = [f"{message.role}: {message.content}" for message in chat.messages]
    prompt = "\n".join([*lines, "assistant:"])
    return CompletionBody(chat.model, prompt, chat.max_tokens, chat.stream)


def estimate_tokens(prompt: str) -> int:
    """Estimate the length of a prompt in tokens as its number of words, at least 1."""
    return max(1, len(prompt.split()))


def prefix_key(prompt: str) -> str:
    """Return the prefix-cache key of a prompt; empty if the prompt is too short."""
    if len(prompt) < PREFIX_CHARACTERS:
        return ""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


class ResponseFormat(t.Protocol):
    """Builds the response bodies of one completion endpoint."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a response that is not streamed."""
        ...

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return the body of one server-sent event of a streamed response."""
        ...


class CompletionFormat:
    """Response bodies of ``/v1/completions``."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a response that is not streamed."""
        choice = {"index": 0, "text": text, "finish_reason": finish or None}
        return _body(request_id, "text_completion", model, choice)

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return the body of one server-sent event of a streamed response."""
        return self.full_body(request_id, model, text, finish)


class ChatFormat:
    """Response bodies of ``/v1/chat/completions``."""

    def full_body(self, request_id: str, model: str, text: str, finish: str) -> t.Any:
        """Return the body of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish or None}
        return _body(request_id, "chat.completion", model, choice)

    def stream_event(
        self, request_id: str, model: str, text: str, finish: str
    ) -> t.Any:
        """Return the body of one server-sent event of a streamed response."""
        delta = {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": finish or None}
        return _body(request_id, "chat.completion.chunk", model, choice)


def _body(
    request_id: str, kind: str, model: str, choice: dict[str, t.Any]
) -> dict[str, t.Any]:
    return {"id": request_id, "object": kind, "model": model, "choices": [choice]}
