"""Reads the history of a run and says which promises it broke."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses

from ..errors import ResultCode
from ..history import AnyRecord
from ..history import RequestAnswered
from ..history import RequestSent
from .fleet import FLEET_CHECKS
from .requests import REQUEST_CHECKS
from .rules import Limits
from .rules import Violation


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of a run, by request.

    :param sent: requests that callers sent.
    :param answered_whole: requests whose first answer was whole.
    :param refused: requests that ended with a result code other than 0, by code.
    :param unknown: requests whose caller was told that the outcome is unknown.
    :param duplicates: answers beyond the first of a request.
    :param lost: requests that never ended.
    :param cut_off: requests whose answer broke off without a code.
    """

    sent: int
    answered_whole: int
    refused: dict[int, int]
    unknown: int
    duplicates: int
    lost: int
    cut_off: int


def check(
    records: cabc.Sequence[AnyRecord], limits: Limits | None = None
) -> list[Violation]:
    """Return every broken promise of a history, oldest first.

    :param records: the records in the order they happened.
    :param limits: the times the promises allow; the usual ones if ``None``.
    """
    allowed = limits or Limits()
    found = [
        violation
        for rule_check in (*REQUEST_CHECKS, *FLEET_CHECKS)
        for violation in rule_check(records, allowed)
    ]
    return sorted(found, key=lambda violation: violation.at)


def summary(records: cabc.Iterable[AnyRecord]) -> Summary:
    """Count how the requests of a history ended."""
    sent: set[str] = set()
    first: dict[str, RequestAnswered] = {}
    duplicates = 0
    for record in records:
        if isinstance(record, RequestSent):
            sent.add(record.request)
        elif isinstance(record, RequestAnswered):
            duplicates += record.request in first
            first.setdefault(record.request, record)
    ended = [answer for answer in first.values() if not answer.cut_off]
    codes = collections.Counter(answer.code for answer in ended)
    whole = codes.pop(int(ResultCode.OK), 0)
    return Summary(
        sent=len(sent),
        answered_whole=whole,
        refused=dict(sorted(codes.items())),
        unknown=sum(answer.outcome == "unknown" for answer in ended),
        duplicates=duplicates,
        lost=len(sent - first.keys()),
        cut_off=len(first) - len(ended),
    )
