"""The answers of an engine stand-in: a function of model, prompt and position only.

A resumed answer can therefore be checked byte for byte against
:func:`expected_text`. Two directives in a prompt steer a stand-in: ``[out=N]`` sets
the length of the answer and ``[prefix=N]`` how many tokens the prefix key stands for.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import xxhash

TOKEN_WIDTH = 6
"""Characters of each token: five and a blank."""

TABLE_TOKENS = 1 << 16
"""Tokens of the table; longer answers begin again at its head."""

SHORTEST_HASHED = 16
"""Least tokens of an answer whose prompt has no ``[out=N]``."""

HASHED_SPREAD = 240
"""Lengths of such answers spread over so many values."""

_DIRECTIVE = re.compile(r"\[(out|prefix)=(\d+)\]")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to one request.

    :param offset: where it begins in the table of tokens.
    :param tokens: its length in tokens, at least 1.
    :param finish: ``stop``, or ``length`` where ``max_tokens`` cut it.
    """

    offset: int
    tokens: int
    finish: str

    def text(self, start: int, end: int) -> str:
        """Return the text of the tokens from ``start`` up to ``end``."""
        first = (self.offset + start) % TABLE_TOKENS
        head = _table()[first * TOKEN_WIDTH : (first + end - start) * TOKEN_WIDTH]
        missing = end - start - len(head) // TOKEN_WIDTH
        if missing <= 0:
            return head
        return head + self.text(end - missing, end)


def answer_to(model: str, prompt: str, max_tokens: int) -> Answer:
    """Return the whole answer; ``max_tokens`` counts from its very beginning."""
    seed = xxhash.xxh3_64_intdigest(f"{model}\0{prompt}".encode())
    wanted = directive(prompt, "out")
    if wanted is None:
        wanted = SHORTEST_HASHED + (seed >> 32) % HASHED_SPREAD
    tokens = max(1, min(wanted, max_tokens))
    finish = "stop" if wanted <= max_tokens else "length"
    return Answer(seed % TABLE_TOKENS, tokens, finish)


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """Return the text of the whole answer."""
    answer = answer_to(model, prompt, max_tokens)
    return answer.text(0, answer.tokens)


def directive(prompt: str, name: str) -> int | None:
    """Return the number of a directive in a prompt, if it has one."""
    for found, number in _DIRECTIVE.findall(prompt):
        if found == name:
            return int(number)
    return None


@functools.cache
def _table() -> str:
    words = (
        xxhash.xxh3_64_hexdigest(b"%d" % i)[: TOKEN_WIDTH - 1]
        for i in range(TABLE_TOKENS)
    )
    return " ".join(words) + " "
