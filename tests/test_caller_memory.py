from __future__ import annotations

from bergamotmast.policy.caller_memory import BODY_COPIES
from bergamotmast.policy.caller_memory import MAX_GRANT_SECONDS
from bergamotmast.policy.caller_memory import MIN_INACTIVE_SECONDS
from bergamotmast.policy.caller_memory import BodyGrants
from bergamotmast.policy.caller_memory import ConnectionCharges
from bergamotmast.policy.caller_memory import MemoryLimits

MB = 1_000_000
LIMITS = MemoryLimits(20 * MB, 10 * MB, 1, 1, 1, 1)


def charged(*names):
    charges = ConnectionCharges()
    for name in names:
        charges.charge(name, 10)
        charges.on_caller_active(name, 0.0)
    return charges


def grants_for(*names, size=MB):
    grants = BodyGrants(LIMITS)
    for name in names:
        grants.ask(name, size)
    return grants


def given(grants, held=0, now=0.0):
    found = []
    while (name := grants.grant_next(held, now)) is not None:
        found.append(name)
    return found


def test_caller_that_has_been_inactive_for_longest_is_closed_first():
    charges = charged("a", "b", "c")
    charges.on_caller_active("a", 1.0)
    assert charges.longest_inactive() == "b"
    assert charges.longest_inactive(among=("a", "c")) == "c"


def test_connection_whose_request_runs_is_not_closed():
    """A flood of connections ends requests that are already at an upstream."""
    charges = charged("a", "b")
    charges.on_caller_done("a")
    charges.on_caller_done("b")
    assert charges.longest_inactive() is None


def test_ordinary_request_outlasts_a_crowd_that_is_larger_than_the_memory():
    """A crowd that comes all at once must not push out a request that arrives."""
    charges = charged("ordinary")
    for number in range(1_000):
        charges.charge(number, 10)
        charges.on_caller_active(number, number)
        if number % 50 == 0:
            charges.on_caller_active("ordinary", number)
        while charges.held > 1_000:
            victim = charges.longest_inactive()
            assert victim != "ordinary"
            charges.remove(victim)


def test_connection_is_replaced_only_after_time_for_a_request():
    """A crowd that connects again and again replaces all connections at once."""
    charges = charged("a")
    assert not charges.may_be_replaced("a", MIN_INACTIVE_SECONDS / 2)
    assert charges.may_be_replaced("a", MIN_INACTIVE_SECONDS)


def test_charges_are_returned_as_connections_close():
    charges = charged("a", "b")
    charges.charge("a", 70)
    assert charges.held == 80
    charges.remove("a")
    charges.remove("a")
    charges.remove("b")
    assert (charges.held, charges.longest_inactive()) == (0, None)


def test_large_bodies_are_read_only_if_they_fit_as_a_whole():
    """If all bodies grow a little, none of them can be completed."""
    grants = grants_for(*"abcdefg")
    assert given(grants) == list("gfedc")
    assert grants.granted == LIMITS.large_bodies
    grants.release("d")
    assert given(grants) == ["b"]


def test_connections_leave_less_room_for_large_bodies():
    grants = grants_for(*"abcdefg")
    assert given(grants, held=14 * MB) == list("gfe")


def test_one_body_is_read_whatever_its_size_and_the_load():
    """A single request within the limits is refused, as it seems too large."""
    grants = grants_for("a", "b", size=100 * MB)
    assert given(grants, held=30 * MB) == ["b"]
    assert grants.granted == LIMITS.large_bodies
    grants.release("b")
    assert given(grants, held=30 * MB) == ["a"]


def test_complete_body_returns_what_it_did_not_need():
    grants = grants_for("a", "b", size=5 * MB)
    assert given(grants) == ["b"]
    grants.complete("b", MB)
    assert grants.granted == MB * BODY_COPIES
    grants.release("b")
    assert given(grants) == ["a"]


def test_stalled_body_gives_way_only_if_others_wait():
    """Bodies that stop short of their end keep all others from being read."""
    received = dict.fromkeys("abcde", 7)
    grants = grants_for(*"abcde")
    given(grants)
    checks = [grants.overdue(received.__getitem__, now) for now in (0.5, 1.0, 1.5)]
    assert checks == [[], [], []]
    grants.ask("f", MB)
    received["c"] = 8
    assert sorted(grants.overdue(received.__getitem__, 2.0)) == list("abde")


def test_body_that_only_trickles_gives_way_at_last():
    """A byte from time to time keeps a grant for ever."""
    grants = grants_for(*"abcde")
    given(grants)
    grants.ask("f", MB)
    sizes = iter(range(1_000_000))
    late = MAX_GRANT_SECONDS + 0.1
    assert grants.overdue(lambda _: next(sizes), 5.0) == []
    assert sorted(grants.overdue(lambda _: next(sizes), late)) == list("abcde")


def test_body_that_has_been_received_never_gives_way():
    grants = grants_for(*"abcde")
    given(grants)
    grants.ask("f", MB)
    grants.complete("a", MB)
    for now in (1.0, 2.0, 30.0):
        assert "a" not in grants.overdue(lambda _: 7, now)


def test_grant_that_is_not_needed_any_more_is_not_given():
    grants = grants_for(*"abcde")
    given(grants)
    grants.ask("f", MB)
    grants.release("f")
    grants.release("a")
    assert given(grants) == []


def test_newest_body_is_read_before_a_crowd_that_waits():
    """A caller waits behind a crowd of stalled bodies until its deadline."""
    grants = grants_for(*"abcde")
    given(grants)
    for name in ("crowd-1", "crowd-2", "ordinary"):
        grants.ask(name, MB)
    grants.release("a")
    assert given(grants) == ["ordinary"]
