"""Runs all checks on the history of a run, and counts how its requests ended."""

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
    """Number of requests of a run by how they ended.

    :param sent: requests that callers sent.
    :param answered_whole: requests whose first answer was complete (code 0).
    :param refused: requests whose first answer has another result code, by code.
    :param unknown: requests whose first answer reports an unknown outcome.
    :param duplicates: answers after the first one to a request.
    :param lost: requests without any answer.
    :param cut_off: requests whose answer was truncated and has no result code.
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
    """Return every violation in a history, oldest first.

    :param records: records in chronological order.
    :param limits: time limits of the guarantees; the defaults if ``None``.
    """
    allowed = limits or Limits()
    found = [
        violation
        for rule_check in (*REQUEST_CHECKS, *FLEET_CHECKS)
        for violation in rule_check(records, allowed)
    ]
    return sorted(found, key=lambda violation: violation.at)


def summary(records: cabc.Iterable[AnyRecord]) -> Summary:
    """Count how the requests of a history ended.

    Only the first answer to a request counts, except for ``duplicates``.
    """
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
