"""Fingerprint of an entry's calls."""

from __future__ import annotations

from ..crashes.fingerprint import fingerprint
from ..model import ModelCall
from ..model import ServiceCall


def fingerprint_of(call: ModelCall | ServiceCall) -> str:
    """Return the fingerprint of a call's tenant, path and content."""
    if isinstance(call, ModelCall):
        texts = (call.tenant, "model", call.model, str(call.max_tokens), call.prompt)
        return fingerprint(*map(_encode, texts))
    texts = (call.tenant, "service", call.route, call.method, call.path)
    return fingerprint(*map(_encode, texts), call.body)


def _encode(text: str) -> bytes:
    return text.encode(errors="surrogatepass")
