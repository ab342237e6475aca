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
    """When endpoints fail, every instance retries every request.  Each
    keeps to its share, so that the total stays within the budget.
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


def test_budget_recovers_with_time(clock):
    budget = retry_budget.RetryBudget(0.0, 10, 10, lambda: 1, clock)
    assert withdraw_all(budget) == 6
    clock.now_s += 12
    assert withdraw_all(budget) == 6


def test_services_have_separate_budgets(clock):
    budget = retry_budget.RetryBudget(0.0, 10, 10, lambda: 1, clock)
    withdraw_all(budget, "engines")
    assert withdraw_all(budget, "portal") == 6


def test_window_drops_old_counts(clock):
    window = retry_budget.Window(10, clock)
    for _ in range(5):
        window.add()
        clock.now_s += 3
    assert window.total() <= 4
    clock.now_s += 20
    assert window.total() == 0
