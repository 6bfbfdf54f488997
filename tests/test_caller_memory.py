from __future__ import annotations

from bergamotmast.policy.caller_memory import ConnectionCharges


def charged(*names):
    charges = ConnectionCharges()
    for name in names:
        charges.charge(name, 10)
        charges.on_caller_active(name)
    return charges


def test_caller_that_has_been_inactive_for_longest_is_closed_first():
    charges = charged("a", "b", "c")
    charges.on_caller_active("a")
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
        charges.on_caller_active(number)
        if number % 50 == 0:
            charges.on_caller_active("ordinary")
        while charges.held > 1_000:
            victim = charges.longest_inactive()
            assert victim != "ordinary"
            charges.remove(victim)


def test_charges_are_returned_as_connections_close():
    charges = charged("a", "b")
    charges.charge("a", 70)
    assert charges.held == 80
    charges.remove("a")
    charges.remove("a")
    charges.remove("b")
    assert (charges.held, charges.longest_inactive()) == (0, None)
