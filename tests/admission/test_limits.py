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
    """Agents that share limits; the test triggers the heartbeats."""

    clock: clocks.ManualClock
    agents: dict

    def exchange(self, cut=frozenset()):
        for name, agent in self.agents.items():
            for other, peer in self.agents.items():
                if other != name and not cut & {name, other}:
                    peer.consume(name, agent.provide())


def build_cell(count, **changes):
    clock = clocks.ManualClock()
    organisation = values.Organisation(token_digest=DIGEST, **changes)
    view = schema.View(organisations={"north": organisation})
    agents = {
        f"agent-{number}": limits.Limits(lambda: view, lambda: count, clock)
        for number in range(count)
    }
    return Cell(clock, agents)


def send_requests(agent, count):
    """Send requests to an agent; return how many were allowed."""
    allowed = [agent.acquire("north") for _ in range(count)]
    return sum(isinstance(one, limits.Allowed) for one in allowed)


def run_for(cell, seconds, rates, cut=frozenset()):
    """Send requests at a rate per agent; return how many were allowed."""
    allowed = 0
    for _ in range(seconds * 10):
        cell.clock.now_s += 0.1
        for name, per_s in rates.items():
            allowed += send_requests(cell.agents[name], per_s // 10)
        cell.exchange(cut)
    return allowed


def test_rate_limit_holds_with_demand_at_one_agent():
    """All requests of an organisation come to one agent.  It may use most of
    the limit, as the others publish no demand, but never more than it.
    """
    cell = build_cell(4, requests_per_s=40.0)
    run_for(cell, 10, {"agent-0": 100})
    allowed = run_for(cell, 10, {"agent-0": 100})
    assert 200 <= allowed <= 400


def test_rate_limit_holds_with_demand_at_all_agents():
    """A burst of 400 requests per second over four agents is limited to the
    organisation's 40 per second.
    """
    cell = build_cell(4, requests_per_s=40.0)
    rates = {name: 100 for name in cell.agents}
    run_for(cell, 5, rates)
    assert 320 <= run_for(cell, 10, rates) <= 420


def test_rate_limit_holds_during_a_partition():
    """One of two agents is partitioned under load.  Neither may use the
    complete limit because the other is silent: until the published demand
    expires, both together stay within it.
    """
    cell = build_cell(2, requests_per_s=40.0)
    rates = {name: 100 for name in cell.agents}
    run_for(cell, 5, rates)
    allowed = run_for(cell, 5, rates, cut=frozenset({"agent-1"}))
    assert allowed <= 5 * 40 + 20


def test_running_requests_are_limited():
    """With a limit of eight running requests over two agents, one agent
    allows six, and another one only after one of them ended.
    """
    cell = build_cell(2, max_running=8)
    agent = cell.agents["agent-0"]
    assert send_requests(agent, 8) == 6
    agent.release("north")
    assert send_requests(agent, 2) == 1


def test_an_organisation_without_limits_is_never_refused():
    """An organisation without configured limits is unlimited."""
    cell = build_cell(1)
    assert send_requests(cell.agents["agent-0"], 1000) == 1000


def test_the_section_of_a_heartbeat_stays_small():
    """The section that an agent sends its peers each second must not grow
    with the number of busy organisations.
    """
    cell = build_cell(2, requests_per_s=1.0)
    agent = cell.agents["agent-0"]
    names = {f"org-{number}" for number in range(500)}
    organisation = values.Organisation(DIGEST, requests_per_s=1.0)
    view = schema.View(organisations=dict.fromkeys(names, organisation))
    agent.view = lambda: view
    for name in names:
        for _ in range(3):
            agent.acquire(name)
    assert len(agent.provide()) < 200


def test_retry_times_are_spaced_by_the_service_rate():
    """Two hundred callers are refused at once in an outage.  With the same
    Retry-After they would all return at one moment; the schedule lets them
    return no faster than requests were completing.
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


def test_retry_times_are_bounded():
    """Even with thousands of refusals in a row no retry time exceeds the
    limit of a minute.
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
def test_retries_are_limited_to_a_share_of_first_tries(first_tries, allowed):
    """When an endpoint fails each request, retries stop at the
    organisation's budget; without one, each request would run several times.
    """
    budgets = retry_budgets.RetryBudgets(lambda: 0.1)
    for _ in range(first_tries):
        budgets.earn("north")
    spent = [budgets.spend("north") for _ in range(50)]
    assert sum(spent) == allowed


def test_demand_of_replaced_agents_is_removed():
    """Instances are replaced under new names throughout the day.  An agent
    that runs for weeks must not keep the demand of each of them.
    """
    cell = build_cell(1)
    (agent,) = cell.agents.values()
    agent.consume("old", agent.provide())
    cell.clock.now_s += limits.DEMAND_TTL_S + 1
    agent.provide()
    assert not agent.peer_demands
