"""Deterministic answers of an engine stand-in.

A token depends on the model, the prompt and its position only, so every answer, also
one resumed at another engine, can be checked byte for byte against
:func:`expected_text`. A prompt may contain two directives: ``[out=N]`` sets the length
of the answer, and ``[prefix=N]`` the number of tokens that the prefix key covers.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import xxhash

TOKEN_CHARACTERS = 6
"""Characters of each token: five hexadecimal digits and a space."""

TABLE_TOKENS = 1 << 16
"""Number of tokens in the table; answers that reach its end wrap around."""

MIN_HASHED_TOKENS = 16
"""Minimum length, in tokens, of an answer whose prompt has no ``[out=N]``."""

HASHED_TOKENS_RANGE = 240
"""Number of different lengths of such answers; a hash of the prompt selects one."""

_DIRECTIVE = re.compile(r"\[(out|prefix)=(\d+)\]")


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedAnswer:
    """The whole answer to one request.

    :param offset: index of the first token in the table of tokens.
    :param tokens: length in tokens, at least 1.
    :param finish: finish reason: ``stop``, or ``length`` if ``max_tokens`` cut it off.
    """

    offset: int
    tokens: int
    finish: str

    def text(self, start: int, end: int) -> str:
        """Return the text of the tokens from ``start`` up to ``end``."""
        first = (self.offset + start) % TABLE_TOKENS
        head = _table()[
            first * TOKEN_CHARACTERS : (first + end - start) * TOKEN_CHARACTERS
        ]
        missing = end - start - len(head) // TOKEN_CHARACTERS
        if missing <= 0:
            return head
        return head + self.text(end - missing, end)


def generate_answer(model: str, prompt: str, max_tokens: int) -> GeneratedAnswer:
    """Return the whole answer to a prompt.

    :param max_tokens: maximum length, counted from the first token also if the answer
        is resumed.
    """
    seed = xxhash.xxh3_64_intdigest(f"{model}\0{prompt}".encode())
    wanted = directive(prompt, "out")
    if wanted is None:
        wanted = MIN_HASHED_TOKENS + (seed >> 32) % HASHED_TOKENS_RANGE
    tokens = max(1, min(wanted, max_tokens))
    finish = "stop" if wanted <= max_tokens else "length"
    return GeneratedAnswer(seed % TABLE_TOKENS, tokens, finish)


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """Return the text of the whole answer to a prompt."""
    answer = generate_answer(model, prompt, max_tokens)
    return answer.text(0, answer.tokens)


def directive(prompt: str, name: str) -> int | None:
    """Return the value of a prompt's first directive of that name, if it has one."""
    for found, number in _DIRECTIVE.findall(prompt):
        if found == name:
            return int(number)
    return None


@functools.cache
def _table() -> str:
    words = (
        xxhash.xxh3_64_hexdigest(b"%d" % i)[: TOKEN_CHARACTERS - 1]
        for i in range(TABLE_TOKENS)
    )
    return " ".join(words) + " "
