"""Tokens of the requests that an entry knows to be at an engine, within its KV memory.

Load pattern: prompts of ten thousand tokens and more come in bursts, while answers that
hold long prompts run for seconds.

Without it: an engine with few but long requests looks idle and gets more, until what it
holds exceeds its memory and it crashes with all of them.

Each request counts with its prompt and the most that its answer may have. What other
entries have at an engine counts only while they announce its prefill.
"""

from __future__ import annotations


def needed_tokens(prompt_tokens: int, max_output_tokens: int) -> int:
    """Return the most tokens that a request may occupy at its decode engine.

    :param max_output_tokens: upper bound of the output tokens; 0 if unknown.
    """
    return prompt_tokens + max_output_tokens


class EngineMemory:
    """Memory of one engine.

    :param capacity: its KV memory in tokens.
    :param reserved: tokens of the streams that this entry has at the engine.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.reserved = 0

    def has_room(self, tokens: int, pending_tokens: int) -> bool:
        """Return whether a request fits beside what is known to be there.

        :param pending_tokens: tokens of the prompts that are queued or running there.
        """
        return self.reserved + pending_tokens + tokens <= self.capacity
