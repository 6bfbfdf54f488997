"""Predicted work of a request, with its output length learned for each class.

Load pattern: a mix in which hold checks and confirm flags answer in a few tokens
while appraisals and call sheets answer in thousands, all with the same generous
``max_tokens``.

Without it: counting requests, or taking ``max_tokens`` at its word, makes a check
look as dear as an appraisal. Queues then refuse checks that cost nothing and take
appraisals that can't be finished.

Thresholds: lengths within a class are skewed, so a quantile is kept and not a mean.
:data:`DEFAULT_QUANTILE` lies a little above the median, because an underestimate
admits work that is thrown away half done, while an overestimate only waits.
:data:`WINDOW` samples place that quantile within about 4 points of its rank (the
standard error of a rank, the root of 0.6 x 0.4 / 128), and are forgotten in seconds
at a class's usual rate.
"""

from __future__ import annotations

import bisect
import collections

from ..model import Cost
from ..model import ModelCall

WINDOW = 128
"""Output lengths kept for each class."""

MAX_CLASSES = 256
"""Classes kept; the one unused for longest is forgotten first."""

DEFAULT_QUANTILE = 0.6
"""Rank of the length that a prediction takes from the window."""

PRIOR_TOKENS = 128
"""Output length assumed while a class has no sample, unless the caller takes less."""


class LengthWindow:
    """The last output lengths of one class, in order of arrival and sorted."""

    def __init__(self) -> None:
        self.recent: collections.deque[int] = collections.deque()
        self.ordered: list[int] = []

    def add(self, tokens: int) -> None:
        """Take a sample in, and the oldest out where the window is full."""
        if len(self.recent) == WINDOW:
            oldest = self.recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.recent.append(tokens)
        bisect.insort(self.ordered, tokens)

    def quantile(self, rank: float) -> int:
        """Return the length at a rank between 0 and 1.

        :raises IndexError: if there is no sample.
        """
        return self.ordered[min(len(self.ordered) - 1, int(rank * len(self.ordered)))]


class OutputPredictor:
    """Predicts output lengths by class.

    :param quantile: rank of the length that is predicted.
    """

    def __init__(self, quantile: float = DEFAULT_QUANTILE) -> None:
        self.rank = quantile
        self.windows: collections.OrderedDict[str, LengthWindow] = (
            collections.OrderedDict()
        )

    def learn(self, request_class: str, tokens: int) -> None:
        """Take in the output length of an answer that came whole."""
        window = self.windows.setdefault(request_class, LengthWindow())
        self.windows.move_to_end(request_class)
        window.add(tokens)
        if len(self.windows) > MAX_CLASSES:
            self.windows.popitem(last=False)

    def tokens(self, request_class: str, max_tokens: int) -> int:
        """Return the predicted output length, at least 1."""
        window = self.windows.get(request_class)
        expected = window.quantile(self.rank) if window else PRIOR_TOKENS
        return max(1, min(expected, max_tokens))

    def cost(self, call: ModelCall) -> Cost:
        """Return the predicted work of a whole call."""
        return Cost(
            call.prompt_tokens, self.tokens(call.request_class, call.max_tokens)
        )


def still_to_come(predicted: int, produced: int) -> int:
    """Return the output tokens expected after so many were produced.

    An answer past its prediction is expected to go on for as long again as a quarter
    of what it produced: lengths are skewed, so what is late is seldom almost done.
    """
    return max(predicted - produced, produced // 4 if produced >= predicted else 1, 1)
