from __future__ import annotations

import pytest

from briarseam.clients import budget as budgets

State = budgets.State
LIMITS = budgets.Limits(bytes=1000, descriptors=10)


class Clock:
    """Seconds that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def budget(clock):
    return budgets.Budget(LIMITS, clock)


@pytest.fixture
def woken():
    return []


@pytest.fixture
def connect(budget, clock, woken):
    """Return connections in a state, each a second after the one before."""

    def connect(state, size, name=""):
        account = budgets.Account(lambda: woken.append(name))
        assert budget.add(account, size, 1)
        budget.move(account, state)
        clock.now_s += 1.0
        return account

    return connect


def test_everything_counts_until_the_connection_is_closed(budget, connect):
    account = connect(State.SERVING, 100)
    budget.force(account, 50)
    assert (budget.bytes, budget.descriptors) == (150, 1)
    budget.settle(account, 30, 1)
    assert budget.bytes == 30
    budget.close(account)
    assert (budget.bytes, budget.descriptors) == (0, 0)


def test_what_exceeds_the_limit_is_refused_while_all_are_served(
    budget, connect
):
    refused = []
    budget.on_refused = lambda: refused.append(1)
    connect(State.SERVING, 900)
    assert not budget.add(budgets.Account(), 200)
    assert budget.bytes == 900
    assert refused == [1]


def test_no_limit_refuses_nothing(clock):
    budget = budgets.Budget(clock=clock)
    assert budget.add(budgets.Account(), 1 << 40, 1 << 20)


@pytest.mark.parametrize("state", [State.HEAD, State.BODY, State.STALLED])
def test_the_oldest_incomplete_request_gives_way_to_bytes(
    budget, connect, woken, state
):
    connect(State.SILENT, 100, "silent")
    connect(state, 400, "old")
    connect(State.HEAD, 400, "young")
    assert budget.add(budgets.Account(), 200)
    assert woken == ["old"]


def test_silent_connections_give_way_to_descriptors_first(
    budget, connect, woken
):
    connect(State.HEAD, 1, "head")
    for _ in range(9):
        connect(State.SILENT, 1, "silent")
    assert budget.add(budgets.Account(), 1, 1)
    assert woken == ["silent"]


def test_idle_connections_give_way_last(budget, connect, woken):
    connect(State.IDLE, 400, "idle")
    connect(State.SILENT, 400, "silent")
    assert budget.add(budgets.Account(), 300)
    assert woken == ["silent"]


def test_nothing_gives_way_that_has_only_begun(budget, connect, clock, woken):
    connect(State.HEAD, 900)
    clock.now_s -= 1.0 - budgets.MIN_AGE_S / 2
    assert not budget.add(budgets.Account(), 200)
    assert woken == []


def test_slow_reading_counts_from_its_beginning(budget, connect, clock, woken):
    reader = connect(State.SERVING, 400, "reader")
    slow_since_s = clock.now_s
    clock.now_s += 1.0
    connect(State.BODY, 400, "body")
    budget.move(reader, State.STALLED, slow_since_s)
    assert budget.add(budgets.Account(), 300)
    assert woken == ["reader"]


def test_a_connection_does_not_give_way_to_itself(budget, connect, woken):
    account = connect(State.BODY, 900)
    assert not budget.add(account, 200)
    assert woken == []


def test_no_more_is_taken_than_can_be_freed_soon(budget, connect):
    """Guards against memory of connections that gave way and still end."""
    for _ in range(5):
        connect(State.HEAD, 200)
    assert not budget.add(budgets.Account(), 200)
    assert budget.bytes == 1000
    assert budget.add(budgets.Account(), 100)


def test_a_connection_that_gave_way_gets_nothing_more(budget, connect):
    account = connect(State.HEAD, 900)
    budget.add(budgets.Account(), 200)
    assert account.is_evicted
    assert not budget.add(account, 1)
    with pytest.raises(budgets.EvictedError):
        account.check()
    budget.close(account)
    assert budget.ending_bytes == 0
    assert budget.ending_descriptors == 0


def test_a_socket_that_is_gone_gives_way(budget, clock):
    def interrupt():
        raise OSError("not connected")

    account = budgets.Account(interrupt)
    budget.add(account, 900)
    budget.move(account, State.HEAD)
    clock.now_s += 1.0
    assert budget.add(budgets.Account(), 200)


def test_many_are_not_closed_for_one(budget, connect, woken):
    for number in range(100):
        connect(State.SILENT, 10, f"{number}")
        budget.descriptors = 0
    assert not budget.add(budgets.Account(), 900)
    assert len(woken) == budgets.MAX_EVICTIONS


def test_limits_follow_the_machine():
    limits = budgets.limits_of(150 * budgets.MEGABYTE, 700)
    assert limits.bytes == int(60 * budgets.MEGABYTE)
    assert limits.descriptors == 375


def test_old_bodies_make_way_for_another(budget, connect, woken):
    connect(State.HEAD, 200, "head")
    connect(State.BODY, 200, "old")
    connect(State.BODY, 200, "young")
    assert budget.make_way(budgets.Account(), 150)
    assert woken == ["old"]
    assert not budget.make_way(budgets.Account(), 300)
    assert woken == ["old", "young"]
