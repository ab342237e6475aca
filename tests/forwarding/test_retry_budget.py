from __future__ import annotations

import pytest

from briarseam.forwarding import retry_budget
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


def withdraw_all(budget, service="portal"):
    count = 0
    while budget.try_withdraw(service):
        count += 1
    return count


def test_all_instances_together_stay_within_the_budget(clock):
    """Endpoints fail, and every instance sends every request once more.
    Each keeps to its share, so the sum stays below what is allowed.
    """
    budgets = [
        retry_budget.RetryBudget(0.2, 54, 10, lambda: 7, clock)
        for _ in range(7)
    ]
    for budget in budgets:
        for _ in range(100):
            budget.deposit("portal")
    total = sum(withdraw_all(budget) for budget in budgets)
    assert 0 < total <= 0.2 * 700 + 54


def test_budget_comes_back_with_time(clock):
    budget = retry_budget.RetryBudget(0.0, 10, 10, lambda: 1, clock)
    assert withdraw_all(budget) == 6
    clock.now_s += 12
    assert withdraw_all(budget) == 6


def test_services_have_budgets_of_their_own(clock):
    budget = retry_budget.RetryBudget(0.0, 10, 10, lambda: 1, clock)
    withdraw_all(budget, "engines")
    assert withdraw_all(budget, "portal") == 6


def test_window_forgets_what_is_old(clock):
    window = retry_budget.Window(10, clock)
    for _ in range(5):
        window.add()
        clock.now_s += 3
    assert window.total() <= 4
    clock.now_s += 20
    assert window.total() == 0
