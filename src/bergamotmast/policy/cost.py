"""Predicted work of a request, with the output length learned by request class.

Load pattern: hold checks and confirm flags answer in a few tokens, appraisals and call
sheets in thousands, and all have the same generous ``max_tokens``.

Without it: counting requests, or taking ``max_tokens`` as the length, makes a check
look as expensive as an appraisal. Queues then refuse checks that cost nothing and
accept appraisals that can't be finished in time.

Thresholds: lengths within a class are skewed, so the predictor uses a quantile and not
a mean. :data:`DEFAULT_QUANTILE` is a little above the median, because an underestimate
admits work that is thrown away half done, while an overestimate only delays it.
:data:`LENGTH_SAMPLES` samples give that quantile to within about 4 points of its rank
(the standard error of a rank, the root of 0.6 x 0.4 / 128) and are replaced within
seconds at the usual rate of a class.
"""

from __future__ import annotations

import bisect
import collections

from ..model import Cost
from ..model import ModelCall

LENGTH_SAMPLES = 128
"""Output lengths kept for each class."""

MAX_CLASSES = 256
"""Classes kept; the least recently used one is dropped first."""

DEFAULT_QUANTILE = 0.6
"""Quantile of the window that is predicted."""

DEFAULT_OUTPUT_TOKENS = 128
"""Output length assumed for a class without samples, unless ``max_tokens`` is lower."""


class LengthWindow:
    """Sliding window of output lengths of one class, in order of arrival and sorted."""

    def __init__(self) -> None:
        self.recent: collections.deque[int] = collections.deque()
        self.ordered: list[int] = []

    def add(self, tokens: int) -> None:
        """Add a sample; a full window drops its oldest one."""
        if len(self.recent) == LENGTH_SAMPLES:
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
    """Predicts output lengths by request class.

    :param quantile: quantile of the window that is predicted.
    """

    def __init__(self, quantile: float = DEFAULT_QUANTILE) -> None:
        self.rank = quantile
        self.windows: collections.OrderedDict[str, LengthWindow] = (
            collections.OrderedDict()
        )

    def learn(self, request_class: str, tokens: int) -> None:
        """Record the output length of a complete answer."""
        window = self.windows.setdefault(request_class, LengthWindow())
        self.windows.move_to_end(request_class)
        window.add(tokens)
        if len(self.windows) > MAX_CLASSES:
            self.windows.popitem(last=False)

    def tokens(self, request_class: str, max_tokens: int) -> int:
        """Return the predicted output length, at least 1."""
        window = self.windows.get(request_class)
        expected = window.quantile(self.rank) if window else DEFAULT_OUTPUT_TOKENS
        return max(1, min(expected, max_tokens))

    def cost(self, call: ModelCall) -> Cost:
        """Return the predicted work of a whole call."""
        return Cost(
            call.prompt_tokens, self.tokens(call.request_class, call.max_tokens)
        )


def remaining_output_tokens(predicted: int, produced: int) -> int:
    """Return the output tokens expected after ``produced`` ones.

    An answer longer than predicted is expected to continue for a quarter of what it has
    produced: lengths are skewed, so an overdue answer is rarely almost done.
    """
    return max(predicted - produced, produced // 4 if produced >= predicted else 1, 1)
