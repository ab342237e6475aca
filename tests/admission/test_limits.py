from __future__ import annotations

import dataclasses

import pytest

from briarseam.admission import limits
from briarseam.admission import retry_budgets
from briarseam.admission import retry_schedule
from briarseam.configuration import schema
from briarseam.configuration import values
from tests import clocks

DIGEST = "0" * 32


@dataclasses.dataclass
class Cell:
    """Agents that share limits; sections pass when a test says so."""

    clock: clocks.ManualClock
    agents: dict

    def exchange(self, cut=frozenset()):
        for name, agent in self.agents.items():
            for other, peer in self.agents.items():
                if other != name and not cut & {name, other}:
                    peer.consume(name, agent.provide())


def build(count, **changes):
    clock = clocks.ManualClock()
    organisation = values.Organisation(token_digest=DIGEST, **changes)
    view = schema.View(organisations={"north": organisation})
    agents = {
        f"agent-{number}": limits.Limits(lambda: view, lambda: count, clock)
        for number in range(count)
    }
    return Cell(clock, agents)


def offer(agent, count):
    """Offer requests; return how many were allowed."""
    allowed = [agent.acquire("north") for _ in range(count)]
    return sum(isinstance(one, limits.Allowed) for one in allowed)


def run(cell, seconds, offers, cut=frozenset()):
    """Let seconds pass with so many offers a second at each agent."""
    allowed = 0
    for _ in range(seconds * 10):
        cell.clock.now_s += 0.1
        for name, per_s in offers.items():
            allowed += offer(cell.agents[name], per_s // 10)
        cell.exchange(cut)
    return allowed


def test_the_cell_keeps_a_rate_that_comes_in_at_one_agent():
    """All of an organisation's callers use one entry.  Its agent may use
    most of the limit, since the others tell of no demand; together they
    never give out more than the limit.
    """
    cell = build(4, requests_per_s=40.0)
    run(cell, 10, {"agent-0": 100})
    allowed = run(cell, 10, {"agent-0": 100})
    assert 200 <= allowed <= 400


def test_the_cell_keeps_a_rate_that_comes_in_everywhere():
    """An organisation's burst arrives at all four agents, 400 a second
    under a limit of 40.  No more than the limit passes.
    """
    cell = build(4, requests_per_s=40.0)
    offers = {name: 100 for name in cell.agents}
    run(cell, 5, offers)
    assert 320 <= run(cell, 10, offers) <= 420


def test_a_cut_makes_the_rest_careful():
    """One of two agents is cut off under load.  Each side must not take
    the whole limit because the other has gone quiet: for the hold time
    the two together stay within it.
    """
    cell = build(2, requests_per_s=40.0)
    offers = {name: 100 for name in cell.agents}
    run(cell, 5, offers)
    allowed = run(cell, 5, offers, cut=frozenset({"agent-1"}))
    assert allowed <= 5 * 40 + 20


def test_running_requests_are_limited_and_freed():
    """An organisation may run eight at once over two agents; the ninth
    waits for one to end.
    """
    cell = build(2, max_running=8)
    agent = cell.agents["agent-0"]
    assert offer(agent, 8) == 6
    agent.release("north")
    assert offer(agent, 2) == 1


def test_an_organisation_without_limits_is_never_refused():
    """No limit configured means none, however many come."""
    cell = build(1)
    assert offer(cell.agents["agent-0"], 1000) == 1000


def test_the_section_of_a_heartbeat_stays_small():
    """Hundreds of organisations are busy at one agent.  What it tells
    its peers each second must not grow with them.
    """
    cell = build(2, requests_per_s=1.0)
    agent = cell.agents["agent-0"]
    names = {f"org-{number}" for number in range(500)}
    organisation = values.Organisation(DIGEST, requests_per_s=1.0)
    view = schema.View(organisations=dict.fromkeys(names, organisation))
    agent.view = lambda: view
    for name in names:
        for _ in range(3):
            agent.acquire(name)
    assert len(agent.provide()) < 200


def test_returns_are_spaced_by_what_is_served():
    """An outage refuses two hundred callers at once.  With the same
    Retry-After they would all be back in one moment; here they return at
    no more than the rate at which requests had been finishing.
    """
    clock = clocks.ManualClock()
    schedule = retry_schedule.RetrySchedule(clock)
    for _ in range(300):
        clock.now_s += 0.05
        schedule.record_end()
    waits = [schedule.assign() for _ in range(200)]
    per_second = [
        sum(1 for wait in waits if second <= wait < second + 1)
        for second in range(25)
    ]
    assert max(per_second) <= 20
    assert waits == sorted(waits)


def test_returns_never_lie_further_than_a_minute():
    """Thousands are refused in a row.  Nobody is sent away for longer
    than a minute.
    """
    schedule = retry_schedule.RetrySchedule(clocks.ManualClock())
    waits = [schedule.assign() for _ in range(5000)]
    assert max(waits) <= retry_schedule.MAX_RETRY_S


@pytest.mark.parametrize(
    ("first_tries", "allowed"),
    [
        pytest.param(0, 3, id="a-few-to-begin-with"),
        pytest.param(100, 10, id="a-part-of-first-tries"),
    ],
)
def test_retries_are_a_part_of_first_tries(first_tries, allowed):
    """An endpoint fails each request.  Its organisation's retries stop at
    the budget; without one, each request would be run several times.
    """
    budgets = retry_budgets.RetryBudgets(lambda: 0.1)
    for _ in range(first_tries):
        budgets.earn("north")
    spent = [budgets.spend("north") for _ in range(50)]
    assert sum(spent) == allowed


def test_what_replaced_agents_told_is_not_remembered():
    """Instances are replaced all day under new names.  An agent that lives
    for weeks must not keep what each of them once told.
    """
    cell = build(1)
    (agent,) = cell.agents.values()
    agent.consume("old", agent.provide())
    cell.clock.now_s += limits.DEMAND_TTL_S + 1
    agent.provide()
    assert not agent.peer_demands
