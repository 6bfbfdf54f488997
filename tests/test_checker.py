from __future__ import annotations

import pytest

from bergamotmast import history as h
from bergamotmast.checker import Limits
from bergamotmast.checker import Rule
from bergamotmast.checker import check
from bergamotmast.checker import summary

SENT = h.RequestSent(at=0, request="r", request_class="c", expected_text="whole")
NON_REPEATABLE = h.RequestSent(
    at=0, request="r", request_class="c", repeatable=False, idempotency_key="k"
)
SAME_KEY_AGAIN = h.RequestSent(
    at=0, request="r2", request_class="c", repeatable=False, idempotency_key="k"
)


def answered(at=2, request="r", code=0, outcome="ran", text="whole", cut_off=False):
    return h.RequestAnswered(
        at=at, request=request, code=code, outcome=outcome, text=text, cut_off=cut_off
    )


def refused(at=2, request="r", code=201, outcome="not_run"):
    return answered(at, request, code, outcome, text="")


def ran(at=1, upstream="u", request="r", key=""):
    return h.Execution(at=at, upstream=upstream, request=request, key=key)


def taken(at, epoch, revision, assignment="prefill"):
    return h.OrderTaken(
        at=at, engine="e", epoch=epoch, revision=revision, assignment=assignment
    )


def ended(at, epoch, revision, completed=True):
    return h.OrderEnded(
        at=at, engine="e", epoch=epoch, revision=revision, completed=completed
    )


def written(at, epoch, revision):
    return h.PlanWritten(at=at, epoch=epoch, revision=revision, writer="w")


def accepted(at, generation):
    return h.ConfigAccepted(at=at, generation=generation)


def in_force(at, generation, process="p"):
    return h.ConfigInForce(at=at, process=process, generation=generation)


def process(kind, at):
    return kind(at=at, process="p")


END = h.PlannedChange(at=100, upstream="u", change="none")

VALID_HISTORIES = {
    "answered whole": [SENT, ran(), answered()],
    "refused and not run": [SENT, refused()],
    "a failed stream gave the head of its answer": [
        SENT,
        ran(),
        answered(code=502, text="who"),
    ],
    "a stream resumed at another upstream": [SENT, ran(), ran(2, "v"), answered(3)],
    "an unknown outcome that ran": [
        SENT,
        ran(3),
        refused(2, code=500, outcome="unknown"),
    ],
    "one run for two requests of one key": [
        NON_REPEATABLE,
        SAME_KEY_AGAIN,
        ran(key="k"),
        answered(),
        refused(request="r2", code=501, outcome="unknown"),
    ],
    "an order taken again after a lost reply": [taken(1, 1, 1), taken(2, 1, 1)],
    "an order after the last ended": [taken(1, 1, 1), ended(2, 1, 1), taken(3, 2, 2)],
    "an order after a crash lost the last": [
        taken(1, 1, 1),
        ended(2, 1, 1, completed=False),
        taken(3, 1, 1),
        ended(4, 1, 1),
    ],
    "plans that rise": [written(1, 1, 1), written(2, 1, 2), written(3, 2, 3)],
    "work in the first seconds of leaving": [
        h.LeavingAnnounced(at=1, upstream="u"),
        SENT,
        ran(4),
        answered(9),
    ],
    "work at an upstream that stays after all": [
        h.LeavingAnnounced(at=1, upstream="u"),
        h.StayingAnnounced(at=2, upstream="u"),
        SENT,
        ran(9),
        answered(9),
    ],
    "configuration in time": [in_force(0, 1), accepted(1, 2), in_force(19, 2), END],
    "a newer one in force counts": [
        in_force(0, 1),
        accepted(1, 2),
        accepted(2, 3),
        in_force(3, 3),
        END,
    ],
    "a stopped process owes nothing": [
        in_force(0, 1),
        accepted(1, 2),
        process(h.ProcessStopped, 18),
        END,
    ],
    "a process that was cut off has time from its return": [
        process(h.ProcessStarted, 0),
        in_force(0, 1),
        process(h.ProcessUnreachable, 1),
        accepted(2, 2),
        process(h.ProcessReachable, 50),
        in_force(68, 2),
        END,
    ],
    "a started process begins from nothing": [
        accepted(0, 2),
        in_force(1, 2),
        process(h.ProcessStopped, 2),
        process(h.ProcessStarted, 30),
        in_force(31, 1),
        in_force(40, 2),
        END,
    ],
}


@pytest.mark.parametrize("name", VALID_HISTORIES)
def test_valid_history_has_no_violations(name):
    assert check(VALID_HISTORIES[name]) == []


INVALID_HISTORIES = {
    "answered twice": (Rule.ANSWERED_ONCE, [SENT, ran(), answered(), answered(3)]),
    "answered and never sent": (Rule.ANSWERED_ONCE, [answered()]),
    "never answered": (Rule.NOT_LOST, [SENT, ran()]),
    "cut off": (Rule.NOT_CUT_OFF, [SENT, ran(), answered(text="wh", cut_off=True)]),
    "a character missing": (Rule.WHOLE_ANSWER, [SENT, ran(), answered(text="whle")]),
    "the end missing": (Rule.WHOLE_ANSWER, [SENT, ran(), answered(text="whol")]),
    "a chunk twice": (Rule.WHOLE_ANSWER, [SENT, ran(), answered(text="wholele")]),
    "nothing at all": (Rule.WHOLE_ANSWER, [SENT, ran(), answered(text="")]),
    "a wrong head of a failed answer": (
        Rule.WHOLE_ANSWER,
        [SENT, ran(), answered(code=502, text="oh")],
    ),
    "whole, but told unknown": (
        Rule.WHOLE_ANSWER,
        [SENT, ran(), answered(outcome="unknown")],
    ),
    "ran before it was told not run": (Rule.TRULY_NOT_RUN, [SENT, ran(), refused()]),
    "ran after it was told not run": (Rule.TRULY_NOT_RUN, [SENT, refused(), ran(9)]),
    "a request twice": (
        Rule.AT_MOST_ONCE,
        [NON_REPEATABLE, ran(), ran(2, "v"), answered()],
    ),
    "a key twice, over two requests": (
        Rule.AT_MOST_ONCE,
        [
            NON_REPEATABLE,
            SAME_KEY_AGAIN,
            ran(),
            ran(2, "v", "r2"),
            answered(),
            answered(request="r2"),
        ],
    ),
    "a key twice, callers unrecorded": (
        Rule.AT_MOST_ONCE,
        [ran(key="k"), ran(2, request="r2", key="k")],
    ),
    "a second order under way": (Rule.ONE_ORDER, [taken(1, 1, 1), taken(2, 1, 2)]),
    "an order under way, an older one ended": (
        Rule.ONE_ORDER,
        [taken(1, 1, 2), ended(2, 1, 1), taken(3, 1, 3)],
    ),
    "an order of an older epoch": (
        Rule.ORDER_AUTHORITY,
        [taken(1, 2, 1), ended(2, 2, 1), taken(3, 1, 9)],
    ),
    "an order of an older revision, a while later": (
        Rule.ORDER_AUTHORITY,
        [
            taken(1, 1, 3),
            ended(2, 1, 3),
            taken(3, 1, 4),
            ended(4, 1, 4),
            taken(5, 1, 3),
        ],
    ),
    "two orders under one authority": (
        Rule.ORDER_AUTHORITY,
        [taken(1, 1, 1), ended(2, 1, 1), taken(3, 1, 1, "decode")],
    ),
    "a plan of an older epoch": (
        Rule.PLAN_FORWARD,
        [written(1, 2, 1), written(2, 1, 2)],
    ),
    "a plan written twice": (Rule.PLAN_FORWARD, [written(1, 1, 1), written(2, 1, 1)]),
    "work at a leaving upstream": (
        Rule.LEAVING,
        [h.LeavingAnnounced(at=1, upstream="u"), SENT, ran(4.1), answered(9)],
    ),
    "announced again does not start anew": (
        Rule.LEAVING,
        [
            h.LeavingAnnounced(at=1, upstream="u"),
            h.LeavingAnnounced(at=3, upstream="u"),
            SENT,
            ran(4.1),
            answered(9),
        ],
    ),
    "configuration back": (Rule.CONFIG_FORWARD, [in_force(1, 2), in_force(2, 1)]),
    "configuration never in force": (
        Rule.CONFIG_IN_FORCE,
        [in_force(0, 1), accepted(1, 2), END],
    ),
    "configuration late": (
        Rule.CONFIG_IN_FORCE,
        [in_force(0, 1), accepted(1, 2), in_force(19.1, 2), END],
    ),
    "started, and never configured": (
        Rule.CONFIG_IN_FORCE,
        [accepted(1, 1), process(h.ProcessStarted, 30), END],
    ),
    "restarted, and its old memory does not count": (
        Rule.CONFIG_IN_FORCE,
        [
            accepted(1, 1),
            in_force(2, 1),
            process(h.ProcessStopped, 3),
            process(h.ProcessStarted, 30),
            END,
        ],
    ),
    "back, and late all the same": (
        Rule.CONFIG_IN_FORCE,
        [
            in_force(0, 1),
            process(h.ProcessUnreachable, 1),
            accepted(2, 2),
            process(h.ProcessReachable, 50),
            in_force(68.1, 2),
            END,
        ],
    ),
}


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_invalid_history_violates_exactly_one_rule(name):
    rule, records = INVALID_HISTORIES[name]
    assert {violation.rule for violation in check(records)} == {rule}


def test_every_rule_has_an_invalid_history():
    assert {rule for rule, _ in INVALID_HISTORIES.values()} == set(Rule)


def test_limits_are_parameters():
    records = [in_force(0, 1), accepted(1, 2), in_force(4, 2), END]
    assert check(records) == []
    (violation,) = check(records, Limits(config_seconds=2))
    assert (violation.rule, violation.subject, violation.at) == (
        Rule.CONFIG_IN_FORCE,
        "p",
        3,
    )


def test_summary_counts_requests():
    requests = [
        h.RequestSent(at=0, request=name, request_class="c") for name in "abcdef"
    ]
    answers = [
        answered(request="a"),
        answered(request="a"),
        refused(request="b"),
        refused(request="c"),
        refused(request="d", code=500, outcome="unknown"),
        answered(request="e", cut_off=True),
    ]
    counts = summary([*requests, *answers])
    assert counts.sent == 6
    assert counts.answered_whole == 1
    assert counts.refused == {201: 2, 500: 1}
    assert (counts.unknown, counts.duplicates, counts.lost, counts.cut_off) == (1,) * 4
