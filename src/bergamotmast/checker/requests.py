"""Checks of the answers that callers received against what upstreams executed."""

from __future__ import annotations

import collections.abc as cabc

from ..errors import Outcome
from ..errors import ResultCode
from ..history import AnyRecord
from ..history import Execution
from ..history import RequestAnswered
from ..history import RequestSent
from .rules import Check
from .rules import Limits
from .rules import Rule
from .rules import Violation


def _sent(records: cabc.Iterable[AnyRecord]) -> dict[str, RequestSent]:
    return {r.request: r for r in records if isinstance(r, RequestSent)}


def _answers(records: cabc.Iterable[AnyRecord]) -> list[RequestAnswered]:
    return [r for r in records if isinstance(r, RequestAnswered)]


def check_answered_once(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find duplicate answers, and answers to requests that were never sent."""
    sent: set[str] = set()
    answered: set[str] = set()
    for record in records:
        if isinstance(record, RequestSent):
            sent.add(record.request)
        elif isinstance(record, RequestAnswered):
            if record.request not in sent:
                yield _violation(
                    record, Rule.ANSWERED_ONCE, "answered before it was sent"
                )
            if record.request in answered:
                yield _violation(record, Rule.ANSWERED_ONCE, "answered again")
            answered.add(record.request)


def check_not_lost(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find requests that were never answered."""
    answered = {answer.request for answer in _answers(records)}
    for request in _sent(records).values():
        if request.request not in answered:
            yield Violation(
                Rule.NOT_LOST, request.at, request.request, "sent and never answered"
            )


def check_not_cut_off(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find answers that were truncated and have no result code."""
    for answer in _answers(records):
        if answer.cut_off:
            yield _violation(
                answer,
                Rule.NOT_CUT_OFF,
                f"truncated after {len(answer.text)} characters without a result code",
            )


def check_whole_answer(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find answers that differ from the upstream's answer.

    An answer that failed or was truncated may be shorter than the upstream's, but
    must be a prefix of it.
    """
    sent = _sent(records)
    for answer in _answers(records):
        request = sent.get(answer.request)
        expected = request.expected_text if request else ""
        if answer.code == ResultCode.OK and answer.outcome != Outcome.RAN.value:
            yield _violation(
                answer, Rule.WHOLE_ANSWER, f"code 0 with outcome {answer.outcome}"
            )
        if not expected:
            continue
        short = answer.code != ResultCode.OK or answer.cut_off
        right = expected.startswith(answer.text) if short else answer.text == expected
        if not right:
            yield _violation(
                answer, Rule.WHOLE_ANSWER, _difference(expected, answer.text)
            )


def check_truly_not_run(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find executed requests whose caller received the outcome "not run"."""
    runs: dict[str, Execution] = {}
    for record in records:
        if isinstance(record, Execution):
            runs.setdefault(record.request, record)
    for answer in _answers(records):
        run = runs.get(answer.request)
        if answer.outcome == Outcome.NOT_RUN.value and run is not None:
            detail = f'answered "not run" at {answer.at}, but ran at {run.upstream}'
            yield Violation(Rule.TRULY_NOT_RUN, run.at, answer.request, detail)


def check_at_most_once(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find non-repeatable requests and idempotency keys that ran more than once.

    A key counts across all requests that carry it and all entries. The key of a
    repeatable request guarantees nothing.
    """
    sent = _sent(records)
    ran: dict[str, Execution] = {}
    for record in records:
        if not isinstance(record, Execution):
            continue
        for identity in _at_most_once_keys(record, sent.get(record.request)):
            earlier = ran.setdefault(identity, record)
            if earlier is not record:
                detail = f"ran at {earlier.upstream} and again at {record.upstream}"
                yield Violation(Rule.AT_MOST_ONCE, record.at, identity, detail)


def _at_most_once_keys(run: Execution, request: RequestSent | None) -> set[str]:
    if request is None:
        return {f"key {run.key}"} if run.key else set()
    if request.repeatable:
        return set()
    keys = {key for key in (run.key, request.idempotency_key) if key}
    return {f"request {run.request}", *(f"key {key}" for key in keys)}


def _difference(expected: str, text: str) -> str:
    same = 0
    while same < min(len(expected), len(text)) and expected[same] == text[same]:
        same += 1
    return (
        f"{len(text)} characters instead of {len(expected)}, the first difference at "
        f"character {same}"
    )


def _violation(answer: RequestAnswered, rule: Rule, detail: str) -> Violation:
    return Violation(rule, answer.at, answer.request, detail)


REQUEST_CHECKS: tuple[Check, ...] = (
    check_answered_once,
    check_not_lost,
    check_not_cut_off,
    check_whole_answer,
    check_truly_not_run,
    check_at_most_once,
)
